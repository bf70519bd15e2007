"""An oracle of the promises about jobs.

It knows jobs, the changes of state of parts on the workers, and what callers
were answered; nothing of how the scheduler works.
"""

import dataclasses

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import kinds
from standins import worker as worker_lib

# A part ends with its lease of 60 s; a stop takes a few retries more.
GANG_STOP_LIMIT_S = 75.0

State = kinds.PartState
ENDED_STATES = (State.STOPPED, State.FAILED)
STATE_ORDER = list(State)


@dataclasses.dataclass
class Job:
    """A submitted job and what is known of it.

    Attributes:
        ran: gangs of which a part entered state running.
        answers: outcomes that callers were told.
    """

    submission: caller_messages.SubmitJob
    idempotent: bool
    ran: set = dataclasses.field(default_factory=set)
    answers: list = dataclasses.field(default_factory=list)


class Oracle:
    """Checks what it is shown; raises AssertionError.

    Attributes:
        models: all workers by id, also those that are down.
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
        """Notes a submission."""
        self.jobs.setdefault(job.key, Job(job, idempotent))

    def answered(
        self, status: caller_messages.JobStatus | None, final: bool = False
    ) -> None:
        """Notes what a caller was told; `final` if it asked after all faults.

        Earlier answers may have overtaken each other.
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
        """Tells whether all parts of a gang finished."""
        return all(
            self.states.get((gang_id, worker)) is State.FINISHED
            for worker in self.workers_by_gang[gang_id]
        )

    def check(self, now_s: float) -> None:
        """Reads what happened on the workers and checks every promise."""
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
                assert state not in worker_lib.OCCUPYING, (
                    f"{gang_id} lost a part at {lost_s:.1f}, but {worker}"
                    f" is {state} at {now_s:.1f}"
                )
        for key, job in self.jobs.items():
            if kinds.Outcome.NOT_RUN in job.answers:
                assert not job.ran, f"{key} was answered not_run and ran"
            if not job.idempotent:
                assert len(job.ran) <= 1, f"{key} ran {len(job.ran)} times"

    def read_transitions(self, now_s: float) -> None:
        """Takes in the changes of state since the last call, in order."""
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
        """Takes in one change of state."""
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
