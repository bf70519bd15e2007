"""Replays one-task jobs of several organisations on a full pool."""

import dataclasses

from dandelionpick import ids
from dandelionpick.batch import features as features_lib
from dandelionpick.batch import job_progress
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import runs
from dandelionpick.batch import scheduling
from tests import batch_builders
from tests import crest_builders

TERMS = model.QueueTerms(
    crest_builders.POOL,
    2,
    max_attempts=3,
    objective_factor=3.0,
    objective_extra_s=18.0,
)
TASK = model.StepSpec(1, model.Resources(1_000, 1_000, 1), 1_000)
RUN_S = 1.0
TICK_S = 0.25


@dataclasses.dataclass
class Replay:
    """A scheduler's passes while the runs of its jobs come and go.

    Attributes:
        waits: how long each job waited for its start, by organisation.
    """

    targets: int
    fair_shares: bool

    def __post_init__(self):
        self.state = crest_builders.scheduler_state(self.targets)
        self.schedule = self.state.schedule
        self.schedule.features = features_lib.Features(
            fair_shares=self.fair_shares
        )
        self.schedule.starts.limit = float("inf")
        self.now_s = 1.0
        self.jobs: list[job_state.Job] = []
        self.waits: dict[str, list[float]] = {}

    def submit(self, organisation: str) -> None:
        """Adds a job that is accepted now."""
        record = model.JobRecord(
            ids.QueueName("q"),
            ids.OrganisationId(organisation),
            TERMS,
            model.JobSpec("", (TASK,)),
            round(self.now_s * 1_000),
        )
        job_id = ids.JobId(batch_builders.job_id(len(self.jobs) + 1))
        job = job_progress.build_job(job_id, record, 2, None)
        self.schedule.jobs[job_id] = job
        self.jobs.append(job)

    def advance(self) -> None:
        """Ends runs that are over, and runs a scheduling pass."""
        for job in list(self.schedule.jobs.values()):
            self._end_if_over(job)
        self.schedule.dirty = True
        moment = batch_builders.moment(self.now_s)
        scheduling.tick(self.state, batch_builders.step(moment))
        self.now_s += TICK_S

    def _end_if_over(self, job: job_state.Job) -> None:
        task = job.steps[0, 0].tasks[0]
        for run in list(task.runs.values()):
            if self.now_s < run.ordered_s + RUN_S:
                continue
            runs.remove(self.schedule, run)
            wait_s = run.ordered_s - job.record.accepted_ms / 1_000
            waits = self.waits.setdefault(job.record.organisation, [])
            waits.append(wait_s)
            del self.schedule.jobs[job.id]
