"""An executor that drains loses its link to the store, then to the machines."""

import asyncio
import pathlib
import sys

from review.small_platform import world as world_lib

# One executor of 14 is less than the site's share of 0.0764 for those that are
# emptied, and of 0.17 for those that are cut off.
EXECUTORS = 14
INSTANCES = 3
JOBS = 4
WORK_S = 12.0
# Defaults and doses of the pages: 5 s for the cut from the store, 5.5 s for the
# cut from the machines, which resets connections.
STORE_CUT_S = 5.0
SECOND_CUT_AFTER_S = 4.0
CUT_S = 5.5


async def play(world: world_lib.World, with_trouble: bool) -> None:
    """Drains an executor at work and cuts off its links one by one."""
    await world.wait_for_holder()
    await asyncio.sleep(3.0)
    jobs = [f"{number + 1:016x}" for number in range(JOBS)]
    for number, job in enumerate(jobs):
        name = f"edge-{number % INSTANCES}"
        if await world.submit(name, job, WORK_S) != 200:
            raise world_lib.CannotRunError("a job was not accepted")
    await asyncio.sleep(1.5)
    name = world.judge.runs[0].executor
    executor = next(e for e in world.executors if e.id == name)
    # It goes on serving for many seconds, until its work is done.
    await executor.drain()
    await asyncio.sleep(0.1)
    if with_trouble:
        executor.store_cut = True
        world.record(f"{name}: is cut off from the store")
    await asyncio.sleep(SECOND_CUT_AFTER_S)
    if with_trouble:
        executor.server.reset_all()
        world.record(f"{name}: is cut off, its connections are reset")
    await asyncio.sleep(STORE_CUT_S - SECOND_CUT_AFTER_S)
    if with_trouble:
        executor.store_cut = False
        world.record(f"{name}: reaches the store again")
    await asyncio.sleep(SECOND_CUT_AFTER_S + CUT_S - STORE_CUT_S)
    if with_trouble:
        executor.server.resets = False
        world.record(f"{name}: the cut has healed")
    await asyncio.sleep(WORK_S)
    for job in jobs:
        await world.state_of("edge-0", job)


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    trouble = sys.argv[1:] != ["0"]
    sys.exit(world_lib.run_case(folder, EXECUTORS, INSTANCES, play, trouble))
