"""Checks that a guaranteed shape is reclaimed in time on a full pool.

A tenant with a guarantee claims it now and then, with one urgent job at a time.
"""

import asyncio
import json
import random
import time

from soak import callers
from soak import disturbances as disturbances_lib
from soak import ledger as ledger_lib
from soak import plan
from soak import processes

# The users' sites demand this of machines in touch.
BOUND_S = 2.7
PAUSE_S = (0.5, 2.0)
# A job that has not ended by then ends the claims, so that there never are more
# than the guarantee covers.
END_TIMEOUT_S = 30.0
WORK_S = 0.5
TASKS = 2
BODY = {
    "spec": json.dumps({"work_s": WORK_S}),
    "phases": [
        {
            "count": TASKS,
            "cpu": 1_000,
            "mem_mb": 100,
            "gpu": processes.GUARANTEED_GPUS // TASKS,
            "estimate_ms": round(WORK_S * 1_000),
        }
    ],
}
DISTURBING = (
    plan.ProcessFault,
    plan.LinkFault,
    plan.StoreFault,
    plan.TargetFault,
    plan.Evacuation,
)


class Claimant:
    """Submits one job after the other that the guarantee covers."""

    def __init__(self, caller: callers.Caller, seed: int):
        self.caller = caller
        self.random = random.Random(seed)

    async def run(self, end_s: float) -> None:
        """Claims the guarantee until the given time."""
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            job = await self.caller.submit(BODY, "urgent", processes.OTHER_KEY)
            if job is not None and not await self._has_ended(job):
                return

    async def _has_ended(self, job: callers.Job) -> bool:
        """Waits for the end of a job; returns whether it came in time."""
        end_s = time.monotonic() + END_TIMEOUT_S
        while job.state not in callers.ENDED_STATES:
            if time.monotonic() > end_s:
                return False
            await asyncio.sleep(callers.POLL_S)
            await self.caller.poll(job)
        return True


def check(
    jobs: list[callers.Job],
    first_starts_s: dict[str, float],
    disturbances: list[disturbances_lib.Disturbance],
    ledger: ledger_lib.Ledger,
) -> None:
    """Checks the jobs that nothing has disturbed until their bound.

    Args:
        jobs: the jobs that the guarantee covers.
        first_starts_s: when each task was first started at a target.
        disturbances: all faults.
        ledger: records the result.
    """
    for job in jobs:
        due_s = job.accepted_s + BOUND_S
        calm_until_s = disturbances_lib.undisturbed_until_s(
            job.accepted_s, disturbances, DISTURBING
        )
        if calm_until_s < due_s:
            continue
        started_s = max(
            first_starts_s.get(task, float("inf")) for task in job.tasks
        )
        ledger.check(
            ledger_lib.Promise.GUARANTEE_RECLAIMED,
            started_s <= due_s,
            f"{job.path} is covered by a guarantee and has begun"
            f" {started_s - job.accepted_s:.1f} s after its"
            " acknowledgement",
        )
