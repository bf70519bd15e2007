"""What the scheduler knows about jobs, runs and targets."""

import dataclasses
import enum

import msgspec

from dandelionpick import ids
from dandelionpick.batch import model
from dandelionpick.batch import target_api

# Attempts of one epoch are numbered from epoch << ATTEMPT_BITS, so that they
# rise from scheduler to scheduler without a write.
ATTEMPT_BITS = 16


class RunState(enum.Enum):
    """State of a run as the scheduler knows it.

    UNRESOLVED: the start got no reply and may still take effect.
    """

    ORDERED = "ordered"
    UNRESOLVED = "unresolved"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt of a task on one target; it occupies room until it is gone.

    Attributes:
        needs: the room that it occupies.
        job_known: the task belongs to a job that the scheduler knows.
        ordered_s: when the start was sent or the run was adopted.
        confirmed_s: a listing that was sent later shows the run or its end.
        stop_sent_s: when the last stop was sent; -inf before the first.
        stopped_s: when a stop was obeyed: a listing that was sent later and
            lacks the run proves that it never runs.
        percent: how much of the work is done.
        progressed_s: when percent last rose.
    """

    task: model.TaskKey
    attempt: ids.Attempt
    target: ids.TargetId
    needs: model.Resources
    state: RunState
    ordered_s: float
    job_known: bool = True
    confirmed_s: float = float("inf")
    stop_sent_s: float = float("-inf")
    stopped_s: float = float("inf")
    stop_pending: bool = False
    checkpoint: str = ""
    percent: float = 0.0
    progressed_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Task:
    """A task of a job.

    Attributes:
        done: it ended as done.
        runs: attempts that occupy room.
        checkpoint: where the next attempt resumes.
        percent: work that the checkpoint saves.
        avoided_targets: targets on which it failed, or failed to start.
        preemptions: runs that were stopped for more urgent work.
    """

    key: model.TaskKey
    done: bool = False
    failures: int = 0
    checkpoint: str = ""
    percent: float = 0.0
    runs: dict[ids.Attempt, Run] = dataclasses.field(default_factory=dict)
    avoided_targets: set[ids.TargetId] = dataclasses.field(default_factory=set)
    preemptions: int = 0


@dataclasses.dataclass(slots=True)
class StepRun:
    """A step of one occurrence of a job.

    Attributes:
        open: its turn has come.
        open_s: when its turn came.
        tasks_left: tasks that are not done.
        attempts: starts so far under this epoch.
    """

    spec: model.StepSpec
    occurrence: int
    number: int
    tasks: list[Task]
    tasks_left: int
    open: bool = False
    open_s: float = 0.0
    attempts: int = 0


@dataclasses.dataclass(slots=True)
class Job:
    """An accepted job.

    Attributes:
        accepted_revision: the store's revision of its acceptance.
        version: rises with each change of progress.
        stored_version: the version that the store holds.
        progress_revision: the store's revision of its progress.
        shown: the state that callers see; an end is shown once it is stored.
        first_start_s: when its first task started; None before.
        steps: by occurrence and number.
    """

    id: ids.JobId
    record: model.JobRecord
    accepted_revision: int
    progress: model.Progress = dataclasses.field(default_factory=model.Progress)
    version: int = 0
    stored_version: int = 0
    progress_revision: int = 0
    shown: model.JobState = model.JobState.QUEUED
    cancelled: bool = False
    first_start_s: float | None = None
    steps: dict[tuple[int, int], StepRun] = dataclasses.field(
        default_factory=dict
    )

    @property
    def ended(self) -> bool:
        """Whether no more tasks start."""
        return self.progress.state in model.ENDED_STATES


@dataclasses.dataclass(slots=True)
class Target:
    """A target as the scheduler knows it.

    Attributes:
        entry: None if its entry is gone.
        born_ms: the life that the runs belong to; 0 before the first listing.
        clock_ms: the target's clock at clock_s.
        lease_ends_s: everything that runs there ends by then, unless the lease
            is extended.
        read: it was listed under this epoch, so older orders are void.
        poll_pending: a listing is in progress.
        poll_at_s: no listing before this time.
        failed: the last listing failed.
        failing_since_s: when the first of the failed listings was sent.
        departed: it was draining when its entry was removed; once it does not
            answer any more, nothing runs there.
        backoff_until_s: nothing is started there before.
        failures: failed runs since the last one that was done.
        quarantined_until_s: nothing is started there before, because work fails
            or stands still there.
        unread_until_s: until then an earlier scheduler's runs may be there,
            unless it was read.
        silent_until_ms: the store says since the target fell silent that
            everything there ends by this Unix time; no lease is extended
            before the store has forgotten it. 0 if the store says nothing.
        runs: what occupies room, by task and attempt.
        used: the sum of it.
        ends: ends that are not acknowledged: number, job and the version of
            its progress that has to be stored first.
        processed: number of the last end that was processed.
        last_attempts: highest attempt that ended there, by task.
    """

    id: ids.TargetId
    address: str
    entry: target_api.TargetEntry | None
    born_ms: int = 0
    clock_ms: int = 0
    clock_s: float = 0.0
    lease_ends_s: float = float("-inf")
    read: bool = False
    poll_pending: bool = False
    poll_serial: int = 0
    poll_at_s: float = float("-inf")
    failed: bool = False
    failing_since_s: float = float("inf")
    backoff_until_s: float = float("-inf")
    departed: bool = False
    failures: int = 0
    quarantined_until_s: float = float("-inf")
    unread_until_s: float = float("-inf")
    silent_until_ms: int = 0
    runs: dict[tuple[model.TaskKey, ids.Attempt], Run] = dataclasses.field(
        default_factory=dict
    )
    used: model.Resources = model.Resources()
    ends: list[tuple[int, ids.JobId, int]] = dataclasses.field(
        default_factory=list
    )
    processed: int = 0
    last_attempts: dict[model.TaskKey, ids.Attempt] = dataclasses.field(
        default_factory=dict
    )

    def free(self) -> model.Resources:
        """Returns the room that nothing occupies."""
        if self.entry is None:
            return model.Resources()
        return self.entry.capacity.minus(self.used)


@dataclasses.dataclass(slots=True)
class Reservation:
    """Room that is being freed for a step.

    Attributes:
        resources: what is kept, by target.
    """

    resources: dict[ids.TargetId, model.Resources]
    expires_s: float


@dataclasses.dataclass(slots=True)
class PoolView:
    """What the targets of a pool can hold.

    Attributes:
        expires_s: when it has to be built anew.
        entries_by_rack: targets that take work, by rack.
        idle_since_s: since when much of the room has been free; inf if it
            is not.
        task_capacity: how many tasks of a shape a rack can hold; filled on
            demand.
    """

    expires_s: float
    entries_by_rack: dict[ids.Rack, list[target_api.TargetEntry]]
    idle_since_s: float
    task_capacity: dict[tuple[ids.Rack, model.Resources, str], int] = (
        dataclasses.field(default_factory=dict)
    )

    def max_tasks_in(self, spec: model.StepSpec, rack: ids.Rack) -> int:
        """Returns how many tasks of a step an empty rack can hold."""
        key = rack, spec.needs, spec.required_label
        if key not in self.task_capacity:
            self.task_capacity[key] = sum(
                spec.needs.count_fitting_in(entry.capacity)
                for entry in self.entries_by_rack.get(rack, ())
                if not spec.required_label
                or spec.required_label in entry.labels
            )
        return self.task_capacity[key]


class Roster(msgspec.Struct, omit_defaults=True):
    """Targets that may run something, for the next scheduler.

    Attributes:
        scheduler: the instance that has written it.
        addresses: by target.
        silent_until_ms: when everything has ended on targets that have fallen
            silent, in Unix milliseconds.
    """

    scheduler: str = ""
    addresses: dict[ids.TargetId, str] = msgspec.field(default_factory=dict)
    silent_until_ms: dict[ids.TargetId, int] = msgspec.field(
        default_factory=dict
    )


class Stage(enum.Enum):
    """How far a takeover has come."""

    READING = "reading"
    FENCING = "fencing"
    READY = "ready"


@dataclasses.dataclass(slots=True)
class Schedule:
    """Everything that the scheduler knows, apart from the configuration.

    Attributes:
        began_s: when the takeover began.
        dirty: something has changed that may let a task start.
        last_pass_s: when the last scheduling pass ran.
        unsaved: jobs whose progress has to be stored.
        saving: a commit of progress is in progress.
        save_at_s: no commit before this time.
        reservations: room that is being freed, by job and step.
        over_guarantee: urgent jobs that exceed their organisation's
            guarantee, as of the last pass.
        pool_views: what each pool can hold.
        headroom: accelerators that are kept free for urgent work, by pool,
            as of the last pass.
        roster: what the store holds about targets that may run something.
        roster_at_s: the roster is neither read nor written before.
        sweep_at_s: when ended jobs are looked for.
        early_cancels: cancellations that were read before their job.
        early_progress: progress that was read before its job, with its
            revision.
    """

    epoch: ids.Epoch
    began_s: float
    stage: Stage = Stage.READING
    fencing_started_s: float = 0.0
    jobs: dict[ids.JobId, Job] = dataclasses.field(default_factory=dict)
    targets: dict[ids.TargetId, Target] = dataclasses.field(
        default_factory=dict
    )
    dirty: bool = True
    last_pass_s: float = float("-inf")
    unsaved: set[ids.JobId] = dataclasses.field(default_factory=set)
    saving: bool = False
    save_at_s: float = float("-inf")
    reservations: dict[tuple[ids.JobId, int, int], Reservation] = (
        dataclasses.field(default_factory=dict)
    )
    over_guarantee: frozenset[ids.JobId] = frozenset()
    pool_views: dict[ids.PoolName, PoolView] = dataclasses.field(
        default_factory=dict
    )
    headroom: dict[ids.PoolName, int] = dataclasses.field(default_factory=dict)
    roster: Roster = dataclasses.field(default_factory=lambda: Roster())
    roster_revision: int = 0
    roster_read: bool = False
    roster_pending: bool = False
    roster_at_s: float = float("-inf")
    sweep_at_s: float = 0.0
    early_cancels: set[ids.JobId] = dataclasses.field(default_factory=set)
    early_progress: dict[ids.JobId, tuple[model.Progress, int]] = (
        dataclasses.field(default_factory=dict)
    )

    def task_of(self, key: model.TaskKey) -> Task | None:
        """Returns a task, or None if its job is not known."""
        job = self.jobs.get(key.job_id)
        step = job and job.steps.get((key.occurrence, key.step))
        if not step or not 0 <= key.index < len(step.tasks):
            return None
        return step.tasks[key.index]
