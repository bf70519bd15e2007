"""Builders of jobs and schedules that learn run times."""

import itertools

from dandelionpick import ids
from dandelionpick.batch import features as features_lib
from dandelionpick.batch import job_progress
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import runs
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from tests import batch_builders
from tests import crest_builders

LEARNING = features_lib.Features(learn_run_times=True, order_by_run_times=True)
TARGET = ids.TargetId("t000")


def learning_state(is_learning: bool = True) -> state_lib.State:
    """Builds a scheduler with one idle target."""
    state = crest_builders.scheduler_state(1)
    if is_learning:
        state.schedule.features = LEARNING
    return state


def add_job(
    schedule: schedule_state.Schedule,
    estimate_s: float,
    organisation: str = "ward",
    tasks: int = 1,
    **fields,
) -> job_state.Job:
    """Adds a job of one step of tasks with one accelerator."""
    spec = model.StepSpec(
        tasks,
        model.Resources(1_000, 100, 1),
        int(estimate_s * 1_000),
        **fields,
    )
    record = model.JobRecord(
        ids.QueueName("q"),
        ids.OrganisationId(organisation),
        model.QueueTerms(crest_builders.POOL, 1, 3, 3.0, 1.0),
        model.JobSpec("", (spec,)),
        0,
    )
    job_id = ids.JobId(batch_builders.job_id(len(schedule.jobs) + 1))
    job = job_progress.build_job(job_id, record, 2, None)
    schedule.jobs[job_id] = job
    job.steps[0, 0].open = True
    return job


def add_run(
    schedule: schedule_state.Schedule,
    job: job_state.Job,
    began_s: float = 0.0,
    index: int = 0,
    **fields,
) -> job_state.Run:
    """Starts a run of a task at a time."""
    run = job_state.Run(
        job.steps[0, 0].tasks[index].key,
        ids.Attempt(1),
        TARGET,
        model.Resources(),
        job_state.RunState.RUNNING,
        began_s,
        confirmed_s=fields.pop("confirmed_s", began_s),
        **fields,
    )
    runs.add(schedule, run, job.steps[0, 0].tasks[index])
    return run


END_NUMBERS = itertools.count(1)
