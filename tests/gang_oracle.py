"""Test oracle that checks the guaranteed invariants of jobs and gangs.

It observes submitted jobs, the state changes of parts on the workers and the
answers to callers. It is independent of how the scheduler works.
"""

import dataclasses

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import kinds
from standins import worker as worker_lib

# Limit for a gang to end on all workers after it has lost a part: the lease of
# 60 s, and a few retries of the stop.
GANG_STOP_LIMIT_S = 75.0

State = kinds.PartState
ENDED_STATES = (State.STOPPED, State.FAILED)
STATE_ORDER = list(State)


@dataclasses.dataclass
class Job:
    """A submitted job and what was observed of it.

    Attributes:
        ran: gangs of which a part entered the state RUNNING.
        answers: outcomes that were returned to callers.
    """

    submission: caller_messages.SubmitJob
    idempotent: bool
    ran: set = dataclasses.field(default_factory=set)
    answers: list = dataclasses.field(default_factory=list)


class Oracle:
    """Raises AssertionError when an observation violates an invariant.

    Attributes:
        models: all workers by id, including those that are down.
        read_counts: number of transitions read so far, by worker.
        states: last state of each part, by gang and worker.
        started_parts: parts that entered the state STARTING.
        first_loss_s: when the first part of a gang was stopped or failed.
        workers_by_gang: ids of all workers of each gang.
    """

    def __init__(self, models: dict[str, worker_lib.Worker]):
        self.models = models
        self.jobs: dict[str, Job] = {}
        self.read_counts = dict.fromkeys(models, 0)
        self.states: dict = {}
        self.started_parts: set = set()
        self.first_loss_s: dict = {}
        self.workers_by_gang: dict = {}

    def submitted(
        self, job: caller_messages.SubmitJob, idempotent: bool
    ) -> None:
        """Records the submission of a job."""
        self.jobs.setdefault(job.key, Job(job, idempotent))

    def answered(
        self, status: caller_messages.JobStatus | None, final: bool = False
    ) -> None:
        """Records and checks the status that a caller received.

        Args:
            status: the status; None if the caller received no answer.
            final: whether the caller asked after all faults. Earlier answers
                may have arrived out of order.
        """
        if status is None or status.key not in self.jobs:
            return
        answers = self.jobs[status.key].answers
        kind = status.problem and status.problem.kind
        if final and kind is errors.ProblemKind.UNKNOWN_KEY:
            accepted = kinds.Outcome.PENDING in answers
            assert not accepted, f"an accepted job is not known: {status}"
        answers.append(status.outcome)
        if status.outcome is kinds.Outcome.COMPLETED:
            gangs = self.jobs[status.key].ran
            assert gangs, f"completed but never ran: {status}"
            if status.state is kinds.JobState.FINISHED:
                assert any(self.all_parts_finished(gang) for gang in gangs), (
                    status
                )

    def all_parts_finished(self, gang_id) -> bool:
        """Returns whether all parts of a gang finished."""
        return all(
            self.states.get((gang_id, worker)) is State.FINISHED
            for worker in self.workers_by_gang[gang_id]
        )

    def check(self, now_s: float) -> None:
        """Reads new state changes from the workers; checks all invariants."""
        self.read_transitions(now_s)
        for name, model in self.models.items():
            taken: set[int] = set()
            for part in model.occupying():
                indices = set(part.hold.accelerators)
                assert not indices & taken, f"{name}: two parts share {indices}"
                taken |= indices
        for gang_id, lost_s in self.first_loss_s.items():
            if now_s - lost_s <= GANG_STOP_LIMIT_S:
                continue
            for worker in self.workers_by_gang[gang_id]:
                state = self.states.get((gang_id, worker))
                assert state not in worker_lib.OCCUPYING_STATES, (
                    f"{gang_id} lost a part at {lost_s:.1f}, but {worker}"
                    f" is {state} at {now_s:.1f}"
                )
        for key, job in self.jobs.items():
            if kinds.Outcome.NOT_RUN in job.answers:
                assert not job.ran, f"{key} was answered not_run and ran"
            if not job.idempotent:
                assert len(job.ran) <= 1, f"{key} ran {len(job.ran)} times"

    def read_transitions(self, now_s: float) -> None:
        """Applies the state changes since the last call, in order of time."""
        new = []
        for name, model in self.models.items():
            model.advance(now_s)
            changes = model.transitions[self.read_counts[name] :]
            self.read_counts[name] += len(changes)
            new += [(change, name) for change in changes]
        new.sort(
            key=lambda item: (item[0].at_s, STATE_ORDER.index(item[0].state))
        )
        for change, name in new:
            self.apply_transition(change, name)

    def apply_transition(
        self, change: worker_lib.Transition, name: str
    ) -> None:
        """Applies one state change and checks that it is allowed."""
        gang_id = change.gang_id
        self.workers_by_gang[gang_id] = change.labels.workers
        if change.state is State.STARTING:
            self.started_parts.add((gang_id, name))
        if change.state is State.RUNNING:
            missing = [
                worker
                for worker in change.labels.workers
                if (gang_id, worker) not in self.started_parts
            ]
            assert not missing, f"{gang_id} runs on {name} without {missing}"
            before = self.states.get((gang_id, name))
            assert before is State.STARTING, f"{gang_id} ran twice on {name}"
            if change.labels.key in self.jobs:
                self.jobs[change.labels.key].ran.add(gang_id)
        if change.state in ENDED_STATES:
            self.first_loss_s.setdefault(gang_id, change.at_s)
        self.states[(gang_id, name)] = change.state
