"""A late write of the store, and much later a rack that loses its links."""

import asyncio
import pathlib
import signal
import sys
from typing import Any

from review.small_platform import executor as executor_lib
from review.small_platform import world as world_lib

# One executor of eight is less than the site's share of 0.17.
EXECUTORS = 8
INSTANCES = 3
# Largest doses of the site: 5.5 s for a cut of executors, 0.35 of the writes
# for 4.5 s, 3.5 s until a killed process is back. A late write is carried out
# 1 to 6 s later.
HEAL_AFTER_LOSS_S = 0.6
LOST_S = 4.5
LOST_SHARE = 0.35
LATE_S = 3.0
SECOND_CUT_S = 5.5
KILLED_S = 3.5
# Until then, all leases of before have ended.
QUIET_S = 14.0
WORK_S = 40.0
SHORT_WORK_S = 0.5


def is_about_executors(body: dict[str, Any], executor: str) -> bool:
    """Returns whether a write of the system speaks of an executor's silence."""
    texts = [write["value"] for write in body["writes"]]
    return any(_says_silent(text, executor) for text in texts)


def _says_silent(text: str, executor: str) -> bool:
    value = world_lib.decode_value(text)
    return isinstance(value, dict) and executor in value.get(
        "silent_until_ms", {}
    )


def set_healed(world: world_lib.World, victim: executor_lib.Executor) -> None:
    """Ends the cut of an executor, if it is cut off."""
    if victim.server.cut:
        victim.server.cut = False
        world.record(f"{victim.id}: the cut has healed")


async def wait_for_loss(world: world_lib.World, with_trouble: bool) -> float:
    """Waits until a write was lost, and a little; returns the time taken."""
    begun_s = world.now_s()
    while with_trouble and not world.store.lost:
        if world.now_s() - begun_s > LOST_S - HEAL_AFTER_LOSS_S:
            raise world_lib.CannotRunError("there was no write to lose")
        await asyncio.sleep(0.01)
    await asyncio.sleep(HEAL_AFTER_LOSS_S)
    return world.now_s() - begun_s


async def submit_short_jobs(world: world_lib.World, first: int) -> None:
    """Hands in short jobs, so that the store has other writes to serve."""
    for number in range(first, first + 12):
        job = f"{number:016x}"
        name = f"edge-{number % INSTANCES}"
        await world.submit(name, job, SHORT_WORK_S, "batch")
        await asyncio.sleep(0.3)


async def play(world: world_lib.World, with_trouble: bool) -> None:
    """Cuts an executor, loses a write, and later cuts and kills."""
    await world.wait_for_holder()
    await asyncio.sleep(3.0)
    status = await world.submit("edge-0", f"{1:016x}", WORK_S)
    if status != 200:
        raise world_lib.CannotRunError("the job was not accepted")
    await asyncio.sleep(2.0)
    task = f"{1:016x}.0.0.0"
    run = next(run for run in world.judge.runs if run.task == task)
    victim = next(e for e in world.executors if e.id == run.executor)
    if with_trouble:
        world.store.late_s = LATE_S

        def loses(body: dict[str, Any]) -> bool:
            return not world.store.lost and is_about_executors(body, victim.id)

        world.store.loses = loses
        begun = world.store.writes
        victim.server.cut = True
        world.record(f"{victim.id}: is cut off and runs on")
    others = asyncio.ensure_future(submit_short_jobs(world, 100))
    cut_s = await wait_for_loss(world, with_trouble)
    set_healed(world, victim)
    await asyncio.sleep(LOST_S - cut_s)
    world.store.loses = None
    if with_trouble:
        written, lost = world.store.writes - begun, world.store.lost
        world.record(f"store: {lost} of {written} writes got no answer")
        if lost > LOST_SHARE * written:
            raise world_lib.CannotRunError("too many writes were lost")
    await others
    await asyncio.sleep(QUIET_S)
    # Calm for long; then the machine that holds the lease loses power together
    # with the links of the executor.
    if with_trouble:
        world.record(f"{victim.id}: is cut off and runs on")
        victim.server.cut = True
        killed = world.holder()
        world.send_signal(killed, signal.SIGKILL)
        await asyncio.sleep(KILLED_S)
        world.start_instance(killed)
        await asyncio.sleep(SECOND_CUT_S - KILLED_S)
    set_healed(world, victim)
    await asyncio.sleep(4.0)
    for name, child in world.children.items():
        if child.poll() is None:
            await world.state_of(name, f"{1:016x}")


if __name__ == "__main__":
    folder = pathlib.Path(__file__).resolve().parent
    trouble = sys.argv[1:] != ["0"]
    sys.exit(world_lib.run_case(folder, EXECUTORS, INSTANCES, play, trouble))
