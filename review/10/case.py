"""An idle executor restarts under its id, and its new life ends short work."""

import asyncio
import pathlib
import sys

from review.small_platform import world as world_lib

# One executor of eight is less than the site's share of 0.14.
EXECUTORS = 8
INSTANCES = 3
ROUNDS = 8
# A quick restart, as by the supervisor of the machine; it is well inside the
# site's 4.5 s.
DOWN_S = 0.4
# An executor writes its entry about every 1.5 s; the new life does so sooner.
REPORT_AFTER_S = 1.2
JOBS = 4
FIRST_WORK_S = 0.3
WORK_S = 0.05


async def submit_at_once(
    world: world_lib.World, first: int, work_s: float
) -> list[str]:
    """Hands in some jobs at once; returns those that were accepted."""
    jobs = [f"{first + index:016x}" for index in range(JOBS)]
    statuses = await asyncio.gather(
        *(
            world.submit(f"edge-{index % INSTANCES}", job, work_s)
            for index, job in enumerate(jobs)
        )
    )
    return [
        job for job, status in zip(jobs, statuses, strict=True) if status == 200
    ]


async def play(world: world_lib.World, with_trouble: bool) -> None:
    """Lets an executor end some work, restart while idle, and end more."""
    await world.wait_for_holder()
    await asyncio.sleep(4.0)
    # Among idle ones, the first by its id gets work first.
    executor = world.executors[0]
    jobs = await submit_at_once(world, 1, FIRST_WORK_S)
    await asyncio.sleep(3.5)
    for number in range(ROUNDS):
        if with_trouble:
            await executor.crash()
            await asyncio.sleep(DOWN_S)
            await executor.start_again(REPORT_AFTER_S)
        else:
            await asyncio.sleep(DOWN_S)
        jobs += await submit_at_once(world, 100 * (number + 1), WORK_S)
        await asyncio.sleep(4.3)
    for job in jobs:
        await world.state_of("edge-0", job)


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    trouble = sys.argv[1:] != ["0"]
    sys.exit(world_lib.run_case(folder, EXECUTORS, INSTANCES, play, trouble))
