"""Stores the progress of jobs before anything relies on it."""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import model
from dandelionpick.batch import polling
from dandelionpick.batch import run_records
from dandelionpick.batch import schedule_state
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api

# Each job needs a condition and a write; the scheduler's key needs a condition.
JOBS_PER_COMMIT = (store_api.MAX_COMMIT_ENTRIES - 1) // 2
RETRY_S = 0.2
# The progress of a job is written as a whole. That of a wide one is written
# less often, so that its bytes don't take the time of the scheduler and keep
# the ends of other jobs waiting.
SMALL_PROGRESS_BYTES = 16_384
PROGRESS_BYTES_PER_S = 500_000


@dataclasses.dataclass(frozen=True, slots=True)
class SavedProgress:
    """Progress of a job, as sent to the store."""

    job_id: ids.JobId
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SaveContext:
    """Context of a commit of progress."""

    epoch: ids.Epoch
    saved: tuple[SavedProgress, ...]


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Commits changed progress, one commit at a time."""
    schedule = state.schedule
    if schedule is None:
        return
    run_records.record_overdue(schedule, step.moment.now_s)
    if (
        schedule.saving
        or not schedule.unsaved
        or schedule.stage is stages.Stage.READING
        or step.moment.now_s < schedule.save_at_s
    ):
        return
    saved = _encode_some(schedule, step)
    if not saved:
        return
    commit = store_api.Commit(
        (
            store_api.Condition(state_lib.SCHEDULER_KEY, schedule.epoch),
            *(
                store_api.Condition(
                    key_of(item.job_id),
                    schedule.jobs[item.job_id].progress_revision,
                )
                for item in saved
            ),
        ),
        tuple(
            store_api.Write(key_of(item.job_id), item.value) for item in saved
        ),
    )
    schedule.saving = True
    state_lib.call_store(
        state, step, commit, SaveContext(schedule.epoch, saved)
    )


def _encode_some(
    schedule: schedule_state.Schedule, step: dispatch.Step
) -> tuple[SavedProgress, ...]:
    """Returns the progress of as many unsaved jobs as fit in a commit."""
    saved: list[SavedProgress] = []
    for job_id in schedule.unsaved:
        if len(saved) == JOBS_PER_COMMIT:
            break
        job = schedule.jobs[job_id]
        if step.moment.now_s < job.save_at_s:
            continue
        with schedule.isolation.guard_job(step, job_id, "saving"):
            value = model.encode(job.progress)
            saved.append(SavedProgress(job_id, job.version, value))
            if len(value) > SMALL_PROGRESS_BYTES:
                pause_s = len(value) / PROGRESS_BYTES_PER_S
                job.save_at_s = step.moment.now_s + pause_s
    return tuple(saved)


def key_of(job_id: ids.JobId) -> str:
    """Returns the key of a job's progress."""
    return state_lib.PROGRESS_PREFIX + job_id


def _schedule_if_current(
    context: SaveContext, state: state_lib.State
) -> schedule_state.Schedule | None:
    """Ends the commit in progress; returns None if its epoch is over."""
    schedule = state.schedule
    if schedule is None or schedule.epoch != context.epoch:
        return None
    schedule.saving = False
    return schedule


@dispatch.on_reply.register
def _(
    context: SaveContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    schedule = _schedule_if_current(context, state)
    if schedule is None:
        return
    if isinstance(reply, store_api.Committed):
        for saved in context.saved:
            _record_saved(schedule, saved, reply.revision)
        _acknowledge_ends(state, step, schedule)
    elif isinstance(reply, store_api.Conflict):
        _handle_conflict(schedule, state, step, context, reply)
    else:
        schedule.save_at_s = step.moment.now_s + RETRY_S
    tick(state, step)


@dispatch.on_failure.register
def _(
    context: SaveContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    # The next commit has the same conditions: it conflicts if this one took
    # effect, and keeps it from taking effect later.
    schedule = _schedule_if_current(context, state)
    if schedule is not None:
        schedule.save_at_s = step.moment.now_s + RETRY_S


def _record_saved(
    schedule: schedule_state.Schedule, saved: SavedProgress, revision: int
) -> None:
    job = schedule.jobs.get(saved.job_id)
    if job is None:
        return
    job.progress_revision = revision
    job.stored_version = max(job.stored_version, saved.version)
    if job.stored_version >= job.version:
        schedule.unsaved.discard(job.id)
        job.shown = job.progress.state


def _acknowledge_ends(
    state: state_lib.State,
    step: dispatch.Step,
    schedule: schedule_state.Schedule,
) -> None:
    """Lists targets that have ends, which acknowledges those now stored."""
    is_paced = polling.pause_between_listings_s(schedule) > 0
    for target in schedule.targets.values():
        if not target.ends or target.poll_pending or target.failed:
            continue
        if is_paced and step.moment.now_s < target.poll_at_s:
            continue
        polling.poll(state, step, target)


def _handle_conflict(
    schedule: schedule_state.Schedule,
    state: state_lib.State,
    step: dispatch.Step,
    context: SaveContext,
    conflict: store_api.Conflict,
) -> None:
    items = {item.key: item for item in conflict.items}
    if items[state_lib.SCHEDULER_KEY].revision != schedule.epoch:
        step.note(
            effects.Component.SCHEDULER,
            "progress can't be stored: another epoch has begun",
            warning=True,
        )
        state.election.fenced = True
        return
    for saved in context.saved:
        item = items[key_of(saved.job_id)]
        job = schedule.jobs.get(saved.job_id)
        if job is None:
            continue
        if item.value == saved.value:
            _record_saved(schedule, saved, item.revision)
        else:
            job.progress_revision = item.revision
