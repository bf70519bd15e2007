"""Case 2: a worker that drains is cut off, and its work starts elsewhere.

The worker serves on until it exits, as our pages allow; its entry is removed
after three heartbeat intervals of silence.
"""

import asyncio
import pathlib
import sys

from review.stand_ins import deployment as deployment_lib

CUT_S = 5.5
# How long the worker serves after it has reported that it drains: `drain_ms`
# and "many seconds".
SERVES_S = 10.0
WORK_S = 30.0
PHASE = {"cpu": 50_000, "mem_mb": 200_000, "gpu": 4, "estimate_ms": 30_000}
JOB = "00000000000000b1"
WORKERS = 14
LEAVING = "w-01"


async def play(deployment: deployment_lib.Deployment, trouble: bool) -> None:
    """Plays the case."""
    ledger = deployment.ledger
    for number in range(1, WORKERS + 1):
        await deployment.add_worker(f"w-{number:02}", "hamilton")
    for number in (1, 2):
        name = f"edge-hamilton-{number}"
        await deployment.add_instance(name, "hamilton", "waikato")
    await deployment.submit(JOB, WORK_S, [{"count": 2, **PHASE}])

    async def runs() -> bool:
        at_work = deployment.runs_of(JOB) == 2
        return at_work and deployment.workers_of(JOB) == {LEAVING}

    await deployment.wait_for(f"the job runs on {LEAVING}", runs, 10)
    await asyncio.sleep(3.0)
    worker = deployment.workers[LEAVING]
    worker.state = "draining"
    deployment.report(worker)
    ledger.write("draining", worker=LEAVING)
    await asyncio.sleep(0.5)
    if trouble:
        ledger.write("cut", worker=LEAVING)
        deployment.network.isolated.add(LEAVING)
        deployment.network.cuts.add(("store", LEAVING))
    await asyncio.sleep(CUT_S)
    if trouble:
        deployment.network.isolated.discard(LEAVING)
        deployment.network.cuts.discard(("store", LEAVING))
        ledger.write("healed", worker=LEAVING)
    await asyncio.sleep(SERVES_S - CUT_S - 0.5)
    ledger.write("exits", worker=LEAVING)
    worker.crash()
    deployment.network.crash(LEAVING)
    deployment.remove_entry(worker)
    await asyncio.sleep(4.0)
    await deployment.state_of(JOB)


if __name__ == "__main__":
    sys.exit(deployment_lib.main(play, pathlib.Path(__file__).parent))
