"""One accepted job with a number too large for a float stops all placement."""

import asyncio
import os
import pathlib
import sys
import time

import aiohttp

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "third"))

import rig as rig_lib  # noqa: E402

# The bound of the pages, after the end of the traffic.
FINISH_S = 14.0
ORDINARY_JOBS = 8
PERIOD_S = 2.0
BODY = {
    "spec": "{}",
    "phases": [{"count": 1, "cpu": 1000, "gpu": 1, "estimate_ms": 1000}],
    "repeat_count": 1,
    "interval_ms": 3000,
    "start_at_ms": 10**400,
}


async def main() -> int:
    """Plays the case; returns the exit status."""
    rig = rig_lib.Rig(FOLDER / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        await rig.start_platform(
            "standins.platform_serve", rig_lib.configuration(), "24"
        )
        await rig.start_entries(3)
        guard = asyncio.ensure_future(rig.guard())
        async with aiohttp.ClientSession() as session:
            paths = []
            for number in range(2):
                paths.append(
                    await rig_lib.hand_in_ordinary(rig, session, number)
                )
            await asyncio.sleep(PERIOD_S)
            if trouble:
                await rig_lib.hand_in(
                    rig, session, 0, "batch", rig_lib.STRANGER_KEY, BODY
                )
            for number in range(ORDINARY_JOBS):
                paths.append(
                    await rig_lib.hand_in_ordinary(rig, session, number)
                )
                await asyncio.sleep(PERIOD_S)
            ended_s = time.monotonic()
            rig.note("the traffic ends")
            await asyncio.sleep(FINISH_S)
            lost = await count_lost(rig, session, paths, ended_s)
        guard.cancel()
        ends = sum(entry.ended_by_itself for entry in rig.entries)
        rig.note(f"processes that have ended: {ends}")
        rig.note(f"LOST is broken for {lost} jobs" if lost else "LOST held")
        return 1 if lost else 0
    finally:
        rig.stop()


async def count_lost(
    rig: rig_lib.Rig,
    session: aiohttp.ClientSession,
    paths: list[tuple[str, int]],
    ended_s: float,
) -> int:
    """Returns how many accepted ordinary jobs have never been started.

    Each executor has room for the work items of all of them together.
    """
    async with session.get(f"http://{rig.store}/broken") as response:
        starts = (await response.json())["starts"]
    lost = 0
    for path, status in paths:
        job_id = path.rpartition("/")[2]
        begun = sum(task.startswith(job_id) for task in starts)
        reply = await rig_lib.call(
            session, rig.entries[0].callers, "GET", path, rig_lib.ORDINARY_KEY
        )
        waited_s = time.monotonic() - ended_s
        rig.note(
            f"{waited_s:.0f} s after the traffic: {path}, answered {status}:"
            f" {begun} work items started, GET {reply}"
        )
        lost += status == 200 and not begun
    return lost


if __name__ == "__main__":
    sys.exit(rig_lib.run_case(main()))
