"""Ends jobs as completed, failed or cancelled."""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick.batch import job_progress
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import orders
from dandelionpick.batch import state as state_lib


def end(
    state: state_lib.State,
    step: dispatch.Step,
    job: job_state.Job,
    job_state: model.JobState,
) -> None:
    """Ends a job and stops its remaining runs."""
    schedule = state.schedule
    if schedule is None or job.ended:
        return
    job_progress.record_end(job, job_state, step.moment.unix_ms)
    schedule.unsaved.add(job.id)
    schedule.dirty = True
    step.note(
        effects.Component.SCHEDULER,
        f"job {job_state.value}",
        job=job.id,
        queue=job.record.queue,
        priority=job.record.terms.priority,
        seconds=round(_seconds_since(job.record.accepted_ms, step), 2),
        epoch=schedule.epoch,
    )
    orders.stop_job(state, step, job)


def _seconds_since(unix_ms: int, step: dispatch.Step) -> float:
    return (step.moment.unix_ms - unix_ms) / 1_000


def cancel(
    state: state_lib.State, step: dispatch.Step, job: job_state.Job
) -> None:
    """Cancels a job that has not ended."""
    job.cancelled = True
    end(state, step, job, model.JobState.CANCELLED)


def end_if_complete(
    state: state_lib.State, step: dispatch.Step, job: job_state.Job
) -> None:
    """Ends a job whose last task is done."""
    if not job.ended and job_progress.is_complete(job):
        end(state, step, job, model.JobState.COMPLETED)
