"""Loads jobs, their progress and cancellations from the store.

Runs on the scheduler only.
"""

import sys

import msgspec

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import job_ends
from dandelionpick.batch import job_limits
from dandelionpick.batch import job_memory
from dandelionpick.batch import job_progress
from dandelionpick.batch import model
from dandelionpick.batch import parking
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import watches
from dandelionpick.batch import watching

# Stands for the record of a job that can be shown and cancelled, but not
# carried out.
UNREADABLE_RECORD = model.JobRecord(
    queue=ids.QueueName(""),
    organisation=ids.OrganisationId(""),
    terms=model.QueueTerms(ids.PoolName(""), priority=sys.maxsize),
    spec=model.JobSpec("", ()),
    accepted_ms=0,
)


def job_id_of(key: str) -> ids.JobId:
    """Returns the id of the job that a key in the store belongs to."""
    return ids.JobId(key.rpartition("/")[2])


@watching.apply_item.register
def _(
    watch: watches.ProgressWatch,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    if state.schedule is None:
        return
    try:
        progress = model.decode_progress(item.value)
    except (msgspec.DecodeError, RecursionError) as error:
        _note_unreadable(step, item, error)
        # Without its progress, work that is done would be done again.
        state.schedule.isolation.isolate(
            step, job_id_of(item.key), f"its progress is unreadable: {error}"
        )
        return
    state.schedule.early_progress[job_id_of(item.key)] = (
        progress,
        item.revision,
    )


@watching.apply_removal.register
def _(
    watch: watches.ProgressWatch,
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
) -> None:
    """Ignores removals: progress is not removed while it is being listed."""


@watching.apply_item.register
def _(
    watch: watches.IntakeWatch,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    schedule = state.schedule
    if schedule is None:
        return
    if item.key == state_lib.SCHEDULER_KEY:
        if item.revision != schedule.epoch:
            state.election.fenced = True
        return
    job_id = job_id_of(item.key)
    if item.key.startswith(state_lib.CANCELS_PREFIX):
        job = schedule.jobs.get(job_id)
        if job is None:
            schedule.early_cancels.add(job_id)
        else:
            with schedule.isolation.guard_job(step, job_id, "cancelling"):
                job_ends.cancel(state, step, job)
    elif _is_new(schedule, job_id, item.revision):
        _add_job(schedule, state, step, job_id, item)


def _is_new(
    schedule: schedule_state.Schedule, job_id: ids.JobId, revision: int
) -> bool:
    """Returns whether a job is not known, or replaces one that was removed.

    The removal of an ended job may have had no reply.
    """
    job = schedule.jobs.get(job_id)
    return job is None or (job.ended and revision > job.accepted_revision)


def _add_job(
    schedule: schedule_state.Schedule,
    state: state_lib.State,
    step: dispatch.Step,
    job_id: ids.JobId,
    item: store_api.Item,
) -> None:
    if job_id in schedule.jobs:
        schedule.isolation.jobs.pop(job_id, None)
    try:
        record = model.decode_job(item.value)
    except (msgspec.DecodeError, RecursionError) as error:
        _note_unreadable(step, item, error)
        schedule.isolation.isolate(
            step, job_id, f"its record is unreadable: {error}"
        )
        record = UNREADABLE_RECORD
    progress, revision = schedule.early_progress.pop(job_id, (None, 0))
    job = job_progress.new_job(job_id, record, item.revision, progress)
    job.progress_revision = revision
    schedule.jobs[job_id] = job
    problem = job_limits.find_problem(record.spec)
    if problem and not job.ended:
        # An earlier release may have accepted it.
        schedule.isolation.isolate(step, job_id, problem)
    size = job_memory.cost_bytes(record.spec)
    if parking.should_park(schedule, job, size):
        parking.park(schedule, step, job, item.value)
    else:
        schedule.memory.put(
            job_id, record.organisation, size, step.moment.now_s
        )
        with schedule.isolation.guard_job(step, job_id, "reading"):
            job_progress.add_steps(job)
    schedule.dirty = True
    if job_id in schedule.early_cancels:
        schedule.early_cancels.discard(job_id)
        job_ends.cancel(state, step, job)


def _note_unreadable(
    step: dispatch.Step, item: store_api.Item, error: Exception
) -> None:
    step.note(
        effects.Component.INTAKE,
        f"unreadable {item.key}: {error}",
        warning=True,
    )


@watching.apply_removal.register
def _(
    watch: watches.IntakeWatch,
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
) -> None:
    # Only the scheduler removes jobs, and it drops them from its own state.
    if key == state_lib.SCHEDULER_KEY:
        state.election.fenced = True


def end_completed_jobs(state: state_lib.State, step: dispatch.Step) -> None:
    """Ends the jobs whose tasks had all ended before the takeover."""
    schedule = state.schedule
    assert schedule is not None
    schedule.early_progress.clear()
    for job in schedule.jobs.values():
        with schedule.isolation.guard_job(step, job.id, "reading"):
            job_ends.end_if_complete(state, step, job)
