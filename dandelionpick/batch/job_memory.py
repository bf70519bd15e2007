"""Bounds the memory that all accepted jobs take in the scheduler.

The scheduler holds each job in memory, and so does each of its successors.
Without a bound on their sum, a client that submits many jobs within the bound
of one ends every scheduler in turn. The bound is a share of the memory that a
process may use. An organisation gets at most half of what the others leave, so
that there is room for the next one.
"""

import collections
import dataclasses

from dandelionpick import ids
from dandelionpick.batch import model

# The rest is for the process itself, requests in progress and listings.
JOBS_SHARE = 0.4
ORGANISATION_SHARE = 0.5
# If the settings don't tell how much memory there is.
DEFAULT_MEMORY_MB = 256
# Bytes of a job, of a step as submitted, of a step of an occurrence, and of a
# task with a run, measured by `python -m bench.wide_jobs memory` and rounded up
# for the allocator's overhead.
JOB_BYTES = 4_096
STEP_SPEC_BYTES = 512
STEP_BYTES = 512
TASK_BYTES = 1_500
# How long an admitted job may take until it is read from the store.
RESERVED_S = 10.0
# Releases of memory are averaged over this time to tell when to come back.
RELEASE_AVERAGE_S = 30.0
MIN_RETRY_AFTER_S = 2.0
MAX_RETRY_AFTER_S = 60.0


def budget_bytes(memory_mb: float) -> int:
    """Returns the bytes that jobs may take, by the memory of the process.

    Args:
        memory_mb: megabytes that the process may use; 0 if unknown.
    """
    return int((memory_mb or DEFAULT_MEMORY_MB) * 1e6 * JOBS_SHARE)


def cost_bytes(spec: model.JobSpec) -> int:
    """Returns the bytes that a job takes at most while it has not ended."""
    occurrences = max(1, spec.occurrences)
    steps = len(spec.steps)
    tasks = sum(step.tasks for step in spec.steps)
    dependencies = sum(len(step.after) for step in spec.steps)
    return (
        JOB_BYTES
        + len(spec.payload)
        + steps * STEP_SPEC_BYTES
        + dependencies * 8
        + occurrences * (steps * STEP_BYTES + tasks * TASK_BYTES)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Bytes that a job takes; `until_s` is inf once it has been read."""

    organisation: ids.OrganisationId
    size: int
    until_s: float = float("inf")


@dataclasses.dataclass(slots=True)
class Ledger:
    """What the jobs of each organisation take.

    Attributes:
        budget: bytes for all jobs.
        held: what each job takes, with those that are being written.
        used: bytes by organisation.
        total: bytes of all jobs.
        released_per_s: average of the bytes that have become free.
        released_s: when it was last updated.
    """

    budget: int
    held: dict[ids.JobId, Held] = dataclasses.field(default_factory=dict)
    used: collections.Counter[ids.OrganisationId] = dataclasses.field(
        default_factory=collections.Counter
    )
    total: int = 0
    released_per_s: float = 0.0
    released_s: float = 0.0

    def missing(self, organisation: ids.OrganisationId, size: int) -> int:
        """Returns how many bytes have to become free for a job; 0 if none."""
        own = self.used[organisation]
        others = self.total - own
        allowed = int(ORGANISATION_SHARE * (self.budget - others))
        return max(
            0, self.total + size - self.budget, min(own + size - allowed, size)
        )

    def can_ever_fit(self, size: int) -> bool:
        """Returns whether a job fits if there is no other."""
        return size <= ORGANISATION_SHARE * self.budget

    def put(
        self,
        job_id: ids.JobId,
        organisation: ids.OrganisationId,
        size: int,
        now_s: float,
        until_s: float = float("inf"),
    ) -> None:
        """Sets what a job takes."""
        self._drop(job_id)
        self.held[job_id] = Held(organisation, size, until_s)
        self.used[organisation] += size
        self.total += size
        self._record_released(0, now_s)

    def release(self, job_id: ids.JobId, now_s: float) -> None:
        """Removes a job, if it is known."""
        self._record_released(self._drop(job_id), now_s)

    def shrink(self, job_id: ids.JobId, size: int, now_s: float) -> None:
        """Lowers what a job takes."""
        held = self.held.get(job_id)
        if held is not None and size < held.size:
            self.put(job_id, held.organisation, size, now_s)
            self._record_released(held.size - size, now_s)

    def expire(self, now_s: float) -> None:
        """Removes jobs that were admitted and have not been read in time."""
        for job_id, held in list(self.held.items()):
            if now_s >= held.until_s:
                self.release(job_id, now_s)

    def retry_after_s(self, missing: int) -> float:
        """Returns when so many bytes have become free at the present rate."""
        if missing >= MAX_RETRY_AFTER_S * self.released_per_s:
            return MAX_RETRY_AFTER_S
        return max(MIN_RETRY_AFTER_S, missing / self.released_per_s)

    def _drop(self, job_id: ids.JobId) -> int:
        held = self.held.pop(job_id, None)
        if held is None:
            return 0
        self.used[held.organisation] -= held.size
        self.total -= held.size
        return held.size

    def _record_released(self, size: int, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self.released_s)
        self.released_s = now_s
        kept = max(0.0, 1.0 - elapsed_s / RELEASE_AVERAGE_S)
        self.released_per_s *= kept
        self.released_per_s += size / RELEASE_AVERAGE_S
