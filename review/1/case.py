"""Case 1: a region with the scheduler and some workers loses the other one.

The region of the scheduler and of a third of the workers is cut off from the
region of the store, of the other instances and of the other workers.
"""

import asyncio
import pathlib
import sys

from review.stand_ins import deployment as deployment_lib

CUT_S = 12.0
WORK_S = 60.0
PHASE = {"cpu": 50_000, "mem_mb": 200_000, "gpu": 4, "estimate_ms": 60_000}
FAR = "edge-dunedin-1"
NEAR = ("edge-hamilton-1", "edge-hamilton-2")
# One job fills one worker; workers are filled in the order of their names.
FAR_WORKERS = ("w-2", "w-4")
NEAR_WORKERS = ("w-1", "w-3", "w-5", "w-6")
JOBS = {"00000000000000a1": "w-1", "00000000000000a2": "w-2"}


async def play(deployment: deployment_lib.Deployment, trouble: bool) -> None:
    """Plays the case."""
    network = deployment.network
    for name in sorted(FAR_WORKERS + NEAR_WORKERS):
        zone = "dunedin" if name in FAR_WORKERS else "hamilton"
        await deployment.add_worker(name, zone, rack=f"r-{zone}")
    await deployment.add_instance(FAR, "dunedin", "otago")

    async def far_schedules() -> bool:
        return deployment.scheduler() == FAR

    await deployment.wait_for(f"{FAR} schedules", far_schedules, 10)
    # Machines are added in the other region.
    for name in NEAR:
        await deployment.add_instance(name, "hamilton", "waikato")
    for job, worker in JOBS.items():
        await deployment.submit(job, WORK_S, [{"count": 2, **PHASE}])

        async def runs(job: str = job, worker: str = worker) -> bool:
            runs = deployment.runs_of(job) == 2
            return runs and deployment.workers_of(job) == {worker}

        await deployment.wait_for(f"{job} runs on {worker}", runs, 10)
    await asyncio.sleep(4.0)
    cuts = {(FAR, "store")}
    cuts |= {("store", worker) for worker in FAR_WORKERS}
    cuts |= {(FAR, worker) for worker in NEAR_WORKERS}
    cuts |= {(name, worker) for name in NEAR for worker in FAR_WORKERS}
    if trouble:
        deployment.ledger.write("cut", links=sorted(cuts))
        network.cuts |= cuts
    await asyncio.sleep(CUT_S)
    if trouble:
        network.cuts -= cuts
        deployment.ledger.write("healed")
    await asyncio.sleep(3.0)
    for job in JOBS:
        await deployment.state_of(job)


if __name__ == "__main__":
    sys.exit(deployment_lib.main(play, pathlib.Path(__file__).parent))
