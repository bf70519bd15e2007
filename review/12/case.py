"""Work is done twice because the roster forgets an executor with unsaved ends.

Executors that are partitioned from the store do work while answers of the store
are lost. Their entries expire, and their work ends. Then the scheduler is
killed. Its successor doesn't know of these executors and starts the work again.
"""

import asyncio
import base64
import json
import os
import pathlib
import secrets
import sys

import aiohttp

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "third"))

import rig as rig_lib  # noqa: E402

ROUNDS = 8
# One in five of 24 executors is cut off.
JOBS = 4
CUT_S = 5.0
LOST_SHARE = 0.35
# Measured from the start of the cut.
LOST_AT_S = 3.4
LOST_FOR_S = 1.0
END_AT_S = (4.02, 4.08, 4.14, 4.2)
KILL_AT_S = 4.4
# Every executor has an entry again and takes part in the next round.
SETTLE_S = 5.0
SCHEDULER_KEY = "dandelionpick/intake/authority"


async def disturb(rig, session, what: str, **body) -> None:
    """Begins or ends a disturbance of the platform."""
    rig.note(f"{what}: {body}")
    await session.post(f"http://{rig.store}/control", json=body)


async def find_scheduler(rig, session) -> rig_lib.Entry:
    """Returns the instance that the store has as scheduler."""
    url = f"http://{rig.store}/kv-key"
    async with session.get(url, params={"key": SCHEDULER_KEY}) as response:
        item = await response.json()
    name = json.loads(base64.b64decode(item["value"]))["instance"]
    return next(entry for entry in rig.entries if entry.name == name)


async def hand_in(rig, session, number: int, work_s: float) -> str:
    """Hands in a job of one work item that takes a whole executor."""
    body = {
        "spec": json.dumps({"work_s": work_s}),
        "phases": [
            {"count": 1, "cpu": 1000, "gpu": 8, "estimate_ms": work_s * 1000}
        ],
    }
    job_id = secrets.token_hex(8)
    await session.post(f"http://{rig.store}/jobs/{job_id}", json=body)
    path = f"/urgent/{job_id}"
    for attempt in range(20):
        address = rig.entries[(number + attempt) % len(rig.entries)].callers
        status, _ = await rig_lib.call(
            session, address, "POST", path, rig_lib.ORDINARY_KEY, body
        )
        rig.note(f"POST {path}: {status}")
        if status == 200:
            return job_id
        await asyncio.sleep(0.1)
    raise RuntimeError("a job was not accepted in calm")


async def show(rig, session) -> dict:
    """Returns the platform's record."""
    async with session.get(f"http://{rig.store}/record") as response:
        return await response.json()


async def play_round(rig, session, trouble: bool) -> None:
    """Plays one round."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    cut_s = began_s + 0.8
    job_ids = []
    for number, end_s in enumerate(END_AT_S):
        left_s = cut_s + end_s - loop.time()
        job_ids.append(await hand_in(rig, session, number, left_s))
    await asyncio.sleep(cut_s - loop.time())
    if not trouble:
        await asyncio.sleep(CUT_S + SETTLE_S)
        return
    running = (await show(rig, session))["running"]
    used = [
        name
        for name, tasks in running.items()
        if any(task.split(".")[0] in job_ids for task in tasks)
    ]
    await disturb(rig, session, "cut off from the store", cut=used[:JOBS])
    await asyncio.sleep(cut_s + LOST_AT_S - loop.time())
    await disturb(
        rig,
        session,
        "the store loses answers to writes, and does these late",
        lost_share=LOST_SHARE,
        for_s=LOST_FOR_S,
    )
    await asyncio.sleep(cut_s + KILL_AT_S - loop.time())
    entry = await find_scheduler(rig, session)
    rig.note(f"{entry.name}, the scheduler, is killed")
    entry.child.kill()
    await asyncio.sleep(cut_s + CUT_S - loop.time())
    await disturb(rig, session, "reach the store again", cut=[])
    await asyncio.sleep(SETTLE_S)


async def main() -> int:
    """Plays the rounds; returns the exit status."""
    rig = rig_lib.Rig(FOLDER / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        await rig.start_platform(
            "review.third.cut_platform", rig_lib.configuration(), "24"
        )
        await rig.start_entries(3)
        guard = asyncio.ensure_future(rig.guard())
        async with aiohttp.ClientSession() as session:
            await asyncio.sleep(2)
            for _ in range(ROUNDS):
                if rig.seconds() > 100:
                    break
                await play_round(rig, session, trouble)
            record = await show(rig, session)
        guard.cancel()
        rig.note("what the platform has seen, by its own clock:")
        for line in record["lines"]:
            rig.note(f"  {line}")
        broken = record["broken"]
        rig.note(
            f"TWICE is broken {len(broken)} times" if broken else "TWICE held"
        )
        return 1 if broken else 0
    finally:
        rig.stop()


if __name__ == "__main__":
    sys.exit(rig_lib.run_case(main()))
