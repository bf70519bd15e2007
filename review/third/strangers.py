"""A job is shown to, and cancelled by, callers without a key of its tenant.

The stranger has a key of its own tenant, and uses the route of that tenant's
queue. Somebody without any key uses a route that is anonymous. A finding beside
the cases: `PYTHONPATH=target/deps:. python3 review/third/strangers.py` writes
`strangers/record.txt` here and exits with 3 if a job was lost. TROUBLE=0 leaves
the strangers out.
"""

import asyncio
import json
import os
import pathlib
import sys

import aiohttp
import rig as rig_lib

FOLDER = pathlib.Path(__file__).resolve().parent / "strangers"

WORK_S = 6.0
# A job takes its work and the time until it is shown; visible_ms is 3,000.
WAIT_S = WORK_S + 5.0
BODY = {
    "spec": json.dumps({"work_s": WORK_S}),
    "phases": [{"count": 2, "cpu": 1000, "gpu": 1, "estimate_ms": 6000}],
}


async def ask(
    rig: rig_lib.Rig,
    session: aiohttp.ClientSession,
    method: str,
    path: str,
    key: str,
) -> tuple[int, dict]:
    """Sends a call to an instance other than the one that took the job."""
    address = rig.entries[1].callers
    reply = await rig_lib.call(session, address, method, path, key)
    rig.note(f"{method} {path} with {key or 'no key'}: {reply}")
    return reply


async def main() -> int:
    """Plays the case; returns the exit status."""
    FOLDER.mkdir(exist_ok=True)
    rig = rig_lib.Rig(FOLDER / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        await rig.start_platform(
            "standins.platform_serve", rig_lib.configuration(), "24"
        )
        await rig.start_entries(3)
        async with aiohttp.ClientSession() as session:
            broken = await play(rig, session, trouble)
        rig.note(f"LOST is broken for {broken} jobs" if broken else "LOST held")
        return 1 if broken else 0
    finally:
        rig.stop()


async def play(
    rig: rig_lib.Rig, session: aiohttp.ClientSession, trouble: bool
) -> int:
    """Hands three jobs in; returns how many were lost without cause."""
    key = rig_lib.ORDINARY_KEY
    paths = []
    for _ in range(3):
        path, status = await rig_lib.hand_in(
            rig, session, 0, "urgent", key, BODY
        )
        if status != 200:
            raise RuntimeError(f"{path} was not accepted: {status}")
        paths.append(path)
    await asyncio.sleep(2)
    for path in paths:
        await ask(rig, session, "GET", path, key)
    if trouble:
        names = [path.rpartition("/")[2] for path in paths]
        stranger = rig_lib.STRANGER_KEY
        await ask(rig, session, "GET", f"/batch/{names[0]}", stranger)
        await ask(rig, session, "DELETE", f"/batch/{names[0]}", stranger)
        await ask(rig, session, "GET", f"/open/{names[1]}", "")
        await ask(rig, session, "DELETE", f"/open/{names[1]}", "")
    await asyncio.sleep(WAIT_S)
    broken = 0
    for path in paths:
        _, reply = await ask(rig, session, "GET", path, key)
        broken += reply.get("state") in ("cancelled", "failed")
    return broken


if __name__ == "__main__":
    sys.exit(rig_lib.run_case(main()))
