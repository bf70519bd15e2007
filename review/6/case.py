"""An idle executor crashes and starts again under its id, then gets work."""

import asyncio
import pathlib
import sys

from review.small_platform import world as world_lib

# One executor of eight is less than the site's share of 0.14.
EXECUTORS = 8
INSTANCES = 3
ROUNDS = 4
# A quick restart, as by the supervisor of the machine; it is well inside the
# site's 4.5 s.
DOWN_S = 0.4
# An executor writes its entry about every 1.5 s; the new life does so sooner.
REPORT_AFTER_S = 0.25
JOBS = 3
WORK_S = 3.0


async def play(world: world_lib.World, with_trouble: bool) -> None:
    """Restarts an idle executor just before jobs arrive, some times."""
    await world.wait_for_holder()
    # Everything has settled, and nothing runs yet.
    await asyncio.sleep(4.0)
    # Among idle ones, the first by its id gets work first.
    executor = world.executors[0]
    jobs = []
    for number in range(ROUNDS):
        if with_trouble:
            await executor.crash()
            await asyncio.sleep(DOWN_S)
            await executor.start_again(REPORT_AFTER_S)
        else:
            await asyncio.sleep(DOWN_S)
        for index in range(JOBS):
            job = f"{100 * number + index + 1:016x}"
            name = f"edge-{index % INSTANCES}"
            if await world.submit(name, job, WORK_S) == 200:
                jobs.append(job)
        await asyncio.sleep(2.0 * WORK_S + 0.7 * number)
    for job in jobs:
        await world.state_of("edge-0", job)


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    trouble = sys.argv[1:] != ["0"]
    sys.exit(world_lib.run_case(folder, EXECUTORS, INSTANCES, play, trouble))
