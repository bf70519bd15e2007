"""Keeps the memory of jobs within its bound after they were accepted.

A scheduler may find more jobs in the store than it can hold: an earlier release
has accepted them, or its predecessor had more memory. Jobs beyond the bound
that have not begun are parked: known, shown and cancellable, but held as
encoded records until others have ended. What an ended job takes is given back
once its end is stored and nothing of it runs.
"""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import headroom
from dandelionpick.batch import job_memory
from dandelionpick.batch import job_progress
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import schedule_state

# Jobs up to this many times the bound are held, because instances accept jobs
# under credits of a moment ago.
PARK_FACTOR = 1.25
# Stands for what a job has submitted, once that is not needed any more.
NO_SPEC = model.JobSpec("", ())


def should_park(
    schedule: schedule_state.Schedule, job: job_state.Job, size: int
) -> bool:
    """Returns whether there is no memory for a job that has not begun."""
    memory = schedule.memory
    return (
        not job.ended
        and not job.progress_revision
        and memory.total + size > PARK_FACTOR * memory.budget
    )


def park(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    job: job_state.Job,
    value: bytes,
) -> None:
    """Holds a job as its encoded record."""
    size = job_memory.cost_bytes(job.record.spec)
    schedule.parked[job.id] = size
    job.parked_record = value
    _drop_spec(job)
    schedule.memory.put(
        job.id,
        job.record.organisation,
        job_memory.JOB_BYTES + len(value),
        step.moment.now_s,
    )
    step.count("jobs_parked_total")
    step.note(
        effects.Component.SCHEDULER,
        "job parked until other jobs have ended: no memory for its tasks",
        warning=True,
        job=job.id,
        organisation=job.record.organisation,
        megabytes=round(size / 1e6, 1),
    )


def unpark(
    schedule: schedule_state.Schedule, step: dispatch.Step, job_id: ids.JobId
) -> None:
    """Builds the steps of a job, if it is parked."""
    size = schedule.parked.pop(job_id, None)
    job = schedule.jobs.get(job_id)
    if size is None or job is None or job.ended:
        return
    with schedule.isolation.guard_job(step, job_id, "unparking"):
        job.record = model.decode_job(job.parked_record)
        job.parked_record = b""
        job_progress.add_steps(job)
    schedule.memory.put(
        job_id, job.record.organisation, size, step.moment.now_s
    )
    schedule.dirty = True
    step.note(effects.Component.SCHEDULER, "job unparked", job=job_id)


def unpark_fitting(
    schedule: schedule_state.Schedule, step: dispatch.Step
) -> None:
    """Unparks jobs for which there is memory now, in order of acceptance."""
    for job_id, size in list(schedule.parked.items()):
        if schedule.memory.total + size <= schedule.memory.budget:
            unpark(schedule, step, job_id)


def release_ended(
    schedule: schedule_state.Schedule, step: dispatch.Step
) -> None:
    """Drops the steps of ended jobs of which nothing runs any more.

    Recent jobs keep theirs, because headroom follows what they asked for.
    """
    since_ms = step.moment.unix_ms - headroom.DEMAND_WINDOW_S * 1_000
    for job in schedule.jobs.values():
        if not job.ended or job.stored_version < job.version:
            continue
        if job.record.accepted_ms > since_ms:
            continue
        if not job.steps and not job.parked_record:
            continue
        if any(task.runs for it in job.steps.values() for task in it.tasks):
            continue
        schedule.parked.pop(job.id, None)
        job.steps.clear()
        job.active.clear()
        job.parked_record = b""
        _drop_spec(job)
        job.progress.done.clear()
        job.progress.failures.clear()
        schedule.memory.shrink(job.id, job_memory.JOB_BYTES, step.moment.now_s)


def _drop_spec(job: job_state.Job) -> None:
    record = job.record
    job.record = model.JobRecord(
        record.queue,
        record.organisation,
        record.terms,
        NO_SPEC,
        record.accepted_ms,
    )
