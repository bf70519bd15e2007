"""In-memory state of jobs: their steps, tasks and runs."""

import dataclasses
import enum

from dandelionpick import ids
from dandelionpick.batch import model


class RunState(enum.Enum):
    """State of a run as far as the scheduler knows.

    PLANNED means that the start is sent once the store has a record of it, and
    UNRESOLVED that it got no reply and may still take effect.
    """

    PLANNED = "planned"
    ORDERED = "ordered"
    UNRESOLVED = "unresolved"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt of a task on a target; it occupies resources until removed.

    Attributes:
        needs: the resources that it occupies.
        job_known: the task belongs to a job that the scheduler knows.
        ordered_s: when the start was planned or last sent, or the run was
            adopted.
        first_ordered_s: when a start that was repeated was first sent.
        repetitions: how often the start was sent again.
        sent_to_ms: start of the target's incarnation that was known when the
            run was added, in Unix milliseconds; 0 if none was.
        confirmed_by_ms: the same of the incarnation that has the run; 0 if no
            reply has told which one it is.
        unresolved_s: when the call that starts it failed; inf before. A listing
            that was sent later and lacks the run shows that the start has not
            taken effect so far.
        confirmed_s: when the start was confirmed; inf before. A listing that
            was sent later shows the run or its end.
        proved: it has run for so long that it does not crash its target.
        stop_sent_s: when the last stop was sent; -inf before the first.
        stopped_s: when a stop was obeyed; inf before. If a listing that was
            sent later lacks the run, it will never run.
        percent: how much of the work is done.
        first_percent: how much of it was done when the run started.
        progressed_s: when `percent` last rose.
    """

    task: model.TaskKey
    attempt: ids.Attempt
    target: ids.TargetId
    needs: model.Resources
    state: RunState
    ordered_s: float
    sent_to_ms: int = 0
    confirmed_by_ms: int = 0
    job_known: bool = True
    unresolved_s: float = float("inf")
    confirmed_s: float = float("inf")
    proved: bool = False
    stop_sent_s: float = float("-inf")
    stopped_s: float = float("inf")
    stop_pending: bool = False
    checkpoint: str = ""
    percent: float = 0.0
    first_percent: float = 0.0
    progressed_s: float = 0.0
    first_ordered_s: float = float("inf")
    repetitions: int = 0


@dataclasses.dataclass(slots=True)
class Task:
    """A task of a job.

    Attributes:
        done: whether a run of it has ended as done.
        runs: attempts that occupy resources.
        checkpoint: where the next attempt resumes.
        percent: how much of the work the checkpoint covers.
        avoided_targets: targets on which it failed or did not start.
        preemptions: how many runs were stopped for more urgent work.
        moves: how many runs were moved before any visible progress.
        records: its runs that have not ended as far as is known. Those that
            are not in `runs` were lost with their target.
        records_version: version of the job's progress that has the records.
        accounted: no run that an earlier scheduler has started can be on a
            target that was not listed.
    """

    key: model.TaskKey
    done: bool = False
    failures: int = 0
    checkpoint: str = ""
    percent: float = 0.0
    runs: dict[ids.Attempt, Run] = dataclasses.field(default_factory=dict)
    avoided_targets: set[ids.TargetId] = dataclasses.field(default_factory=set)
    preemptions: int = 0
    moves: int = 0
    records: list[model.RunRecord] = dataclasses.field(default_factory=list)
    records_version: int = 0
    accounted: bool = False


@dataclasses.dataclass(slots=True)
class StepRun:
    """A step of one occurrence of a job.

    Attributes:
        open: whether its tasks may start.
        open_s: when it opened.
        met: how many of the steps that it comes after are known to be done, in
            their order.
        tasks_left: number of tasks that are not done.
        attempts: number of attempts so far in this epoch.
        undone_attempt: the last attempt of which a target has listed an end
            other than done; 0 if there is none.
    """

    spec: model.StepSpec
    occurrence: int
    number: int
    tasks: list[Task]
    tasks_left: int
    open: bool = False
    open_s: float = 0.0
    met: int = 0
    attempts: int = 0
    undone_attempt: ids.Attempt = ids.Attempt(0)


@dataclasses.dataclass(slots=True)
class Job:
    """An accepted job.

    Attributes:
        accepted_revision: the store's revision when it was accepted.
        version: rises with each change of `progress`.
        stored_version: the version that the store holds.
        progress_revision: the store's revision of its progress.
        shown: the state that callers see; an end becomes visible once it is
            stored.
        placed: a target has been chosen for one of its tasks.
        begun: a task of it has started on a target.
        steps: by occurrence and number.
        steps_left: number of steps that are not done.
        active: steps of due occurrences that are not done. Occurrences become
            active in their order, as far as the bound on active steps allows.
        next_occurrence: the first occurrence that was not active so far.
        units_from: where the next scheduling pass goes on among the active
            steps, if there are more than one pass looks at.
        save_at_s: its progress is not written again before this time.
        parked_record: the encoded record of a job that waits for memory, whose
            steps are not built; b"" otherwise.
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
    placed: bool = False
    begun: bool = False
    steps: dict[tuple[int, int], StepRun] = dataclasses.field(
        default_factory=dict
    )
    steps_left: int = 0
    active: dict[tuple[int, int], StepRun] = dataclasses.field(
        default_factory=dict
    )
    next_occurrence: int = 0
    units_from: int = 0
    save_at_s: float = float("-inf")
    parked_record: bytes = b""

    @property
    def ended(self) -> bool:
        """Whether the job has ended, so that no more tasks start."""
        return self.progress.state in model.ENDED_STATES

    def step_of(self, key: model.TaskKey) -> StepRun:
        """Returns the step of one of its tasks."""
        return self.steps[key.occurrence, key.step]
