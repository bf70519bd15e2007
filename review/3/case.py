"""Case 3: more than 500 ends wait on a worker while the store is down.

A worker lists at most 500 ends at a time. Work items whose end is beyond them
are neither running nor in the list.
"""

import asyncio
import pathlib
import sys

from review.stand_ins import deployment as deployment_lib
from standins import platform_store

DOWN_S = 4.5
WORK_S = 12.0
TASKS = 600
PHASE = {"cpu": 200, "mem_mb": 500, "estimate_ms": 12_000, "count": TASKS}
JOB = "00000000000000c1"


async def play(deployment: deployment_lib.Deployment, trouble: bool) -> None:
    """Plays the case."""
    ledger = deployment.ledger
    for number in (1, 2):
        await deployment.add_worker(f"w-{number}", "hamilton")
    for number in (1, 2):
        name = f"edge-hamilton-{number}"
        await deployment.add_instance(name, "hamilton", "waikato")
    await deployment.submit(JOB, WORK_S, [PHASE])

    async def all_run() -> bool:
        return deployment.runs_of(JOB) == TASKS

    await deployment.wait_for("all work items run", all_run, 10)
    first_end_s = ledger.starts[0].at_s + WORK_S
    await asyncio.sleep(first_end_s - 0.5 - ledger.now_s())
    if trouble:
        ledger.write("store down")
        deployment.store.outages[""] = platform_store.Outage.BUSY
    await asyncio.sleep(DOWN_S)
    if trouble:
        deployment.store.outages.clear()
        ledger.write("store back")

    async def completed() -> bool:
        return await deployment.state_of(JOB) == "completed"

    await deployment.wait_for("the job is completed", completed, 40)
    await asyncio.sleep(2.0)


if __name__ == "__main__":
    sys.exit(deployment_lib.main(play, pathlib.Path(__file__).parent))
