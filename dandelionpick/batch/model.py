"""Jobs as callers submit them and as the store holds them."""

import enum
import sys
from typing import NamedTuple

import msgspec

from dandelionpick import ids


class JobState(enum.Enum):
    """State of a job as its caller sees it."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_STATES = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


class Ending(enum.Enum):
    """How a run ended on its target.

    BROKEN means that another member of the gang ended, ALONE that the other
    members did not start in time, LAPSED that the target's lease expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Resources(msgspec.Struct, frozen=True, omit_defaults=True):
    """An amount of the resources of a target.

    Attributes:
        cpu_millis: thousandths of a processor core.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, available: "Resources") -> bool:
        """Returns whether this amount is at most `available`."""
        return (
            self.accelerators <= available.accelerators
            and self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
        )

    def count_fitting_in(self, available: "Resources") -> int:
        """Returns how many times this amount fits in `available`.

        An amount of zero fits any number of times.
        """
        count = sys.maxsize
        if self.accelerators:
            count = available.accelerators // self.accelerators
        if self.cpu_millis:
            count = min(count, available.cpu_millis // self.cpu_millis)
        if self.memory_mb:
            count = min(count, available.memory_mb // self.memory_mb)
        return max(0, count)

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum of two amounts."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the difference of two amounts, which may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Resources":
        """Returns the amount multiplied by a count."""
        return Resources(
            self.cpu_millis * count,
            self.memory_mb * count,
            self.accelerators * count,
        )


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Identical tasks of a job that may start at the same time.

    Attributes:
        needs: what each task occupies.
        estimate_ms: the caller's rough estimate of a task's run time.
        after: earlier steps that must be done first, numbered from 0.
        checkpoints: a stopped task can resume from its last checkpoint.
        gang: the tasks work only while all of them are present.
        one_rack: the gang is slower if it spans racks.
        data_rack: tasks are slower on any other rack; "" if none.
        required_label: a label that the target must have; "" if none.
        max_per_target: maximum number of its tasks on one target; 0 if
            unlimited.
        duplicates_allowed: the first of several copies to finish counts.
        until_cancelled: tasks run until the job is cancelled and are
            restarted however they end.
        tail_target_ms: tail latency that a serving task must stay below.
        filler: uses processor time that other tasks leave unused.
        tolerated_absent: serving tasks that may be missing at the same time.
    """

    tasks: int
    needs: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    one_rack: bool = False
    data_rack: str = ""
    required_label: str = ""
    max_per_target: int = 0
    duplicates_allowed: bool = False
    until_cancelled: bool = False
    image: str = ""
    tail_target_ms: int = 0
    filler: bool = False
    tolerated_absent: int = 0


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a caller submits.

    Attributes:
        payload: handed to each task unchanged.
        occurrences: how many times the steps run on a schedule; 0 for a job
            that runs once, immediately.
        first_due_ms: Unix milliseconds of the first occurrence.
        interval_ms: milliseconds between two occurrences.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0


class QueueTerms(msgspec.Struct, frozen=True, omit_defaults=True):
    """Scheduling terms that a queue sets for its jobs.

    Attributes:
        pool: the pool whose targets run them.
        priority: 0 comes first and may preempt others.
        max_attempts: a job fails with this many failed runs of a task.
        objective_factor: objective for the duration, as a multiple of the
            estimated run time.
        objective_extra_s: seconds added to the objective.
    """

    pool: ids.PoolName
    priority: int = 0
    max_attempts: int = 1
    objective_factor: float = 1.0
    objective_extra_s: float = 0.0


class JobRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job; written once.

    Attributes:
        terms: the queue's terms when the job was accepted; they hold if the
            queue is removed later.
        accepted_ms: Unix milliseconds.
    """

    queue: ids.QueueName
    organisation: ids.OrganisationId
    terms: QueueTerms
    spec: JobSpec
    accepted_ms: int


class CrashEvidence(enum.Enum):
    """What a crash of the target during a run says about the task.

    EARLY means that the run had started shortly before, LATE that it had been
    at work for a while, and UNCONFIRMED that the start got no reply, so that
    the target may have crashed before.
    """

    EARLY = "early"
    LATE = "late"
    UNCONFIRMED = "unconfirmed"


class RunRecord(msgspec.Struct, array_like=True, frozen=True):
    """A run that has not ended as far as is known.

    Attributes:
        target_started_ms: start of the target's incarnation, in Unix
            milliseconds; 0 if it is not known.
        evidence: what a crash of the target says, or would say now: EARLY
            once the start is confirmed, UNCONFIRMED before.
    """

    attempt: ids.Attempt
    target: ids.TargetId
    target_started_ms: int = 0
    evidence: CrashEvidence = CrashEvidence.EARLY


class Progress(msgspec.Struct, omit_defaults=True):
    """Progress of a job that must survive the loss of the scheduler.

    Attributes:
        state: QUEUED until the first task has started.
        done: indices of tasks that ended as done, by "occurrence.step".
        failures: attempts that failed, by "occurrence.step.index"; those of
            a gang are under its first task.
        runs: runs that have not ended, by "occurrence.step.index". They
            are in progress, or their target has crashed.
        ended_ms: Unix milliseconds of the job's end; 0 before it.
    """

    state: JobState = JobState.QUEUED
    done: dict[str, list[int]] = msgspec.field(default_factory=dict)
    failures: dict[str, list[ids.Attempt]] = msgspec.field(default_factory=dict)
    runs: dict[str, list[RunRecord]] = msgspec.field(default_factory=dict)
    ended_ms: int = 0


class Roster(msgspec.Struct, omit_defaults=True):
    """Stored list of the targets that may run something.

    The next scheduler reads it when it takes over.

    Attributes:
        scheduler: the instance that wrote it.
        addresses: address of each target.
        silent_until_ms: when everything on a silent target has ended, in Unix
            milliseconds, by target.
    """

    scheduler: str = ""
    addresses: dict[ids.TargetId, str] = msgspec.field(default_factory=dict)
    silent_until_ms: dict[ids.TargetId, int] = msgspec.field(
        default_factory=dict
    )


class TaskKey(NamedTuple):
    """Identifies a task among the tasks of all jobs."""

    job_id: ids.JobId
    occurrence: int
    step: int
    index: int

    def step_name(self) -> str:
        """Returns the key of Progress.done."""
        return f"{self.occurrence}.{self.step}"

    def task_name(self) -> str:
        """Returns the key of Progress.failures and Progress.runs."""
        return f"{self.occurrence}.{self.step}.{self.index}"


def encode(record: msgspec.Struct) -> bytes:
    """Encodes a record for the store."""
    return msgspec.json.encode(record)


decode_job = msgspec.json.Decoder(JobRecord).decode
decode_progress = msgspec.json.Decoder(Progress).decode
