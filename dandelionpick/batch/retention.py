"""Removes ended jobs once their retention time is over."""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import job_state
from dandelionpick.batch import parking
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import target_registry

SWEEP_PERIOD_S = 5.0
# Added to the retention that callers were promised; covers clock differences
# and late retries of a submission.
MARGIN_S = 30.0
# Each job needs three removals and a condition, as does the scheduler's key.
JOBS_PER_COMMIT = (store_api.MAX_COMMIT_ENTRIES - 1) // 4


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveContext:
    """Context of a commit that removes ended jobs."""

    epoch: ids.Epoch
    jobs: tuple[job_state.Job, ...]


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Drops unregistered targets, and removes jobs after their retention."""
    schedule = state.schedule
    now_s = step.moment.now_s
    if (
        schedule is None
        or schedule.stage is not stages.Stage.READY
        or now_s < schedule.sweep_at_s
    ):
        return
    schedule.sweep_at_s = now_s + SWEEP_PERIOD_S
    target_registry.drop_unregistered_targets(state, schedule, now_s)
    schedule.memory.expire(now_s)
    parking.release_ended(schedule, step)
    parking.unpark_fitting(schedule, step)
    kept_ms = (state.limits.retention_s + MARGIN_S) * 1_000
    jobs = [
        job
        for job in schedule.jobs.values()
        if job.ended
        and job.stored_version >= job.version
        and step.moment.unix_ms - job.progress.ended_ms > kept_ms
        and not any(task.runs for s in job.steps.values() for task in s.tasks)
    ][:JOBS_PER_COMMIT]
    if not jobs:
        return
    removals = [
        prefix + job.id
        for job in jobs
        for prefix in (
            state_lib.JOBS_PREFIX,
            state_lib.CANCELS_PREFIX,
            state_lib.PROGRESS_PREFIX,
        )
    ]
    commit = store_api.Commit(
        (
            store_api.Condition(state_lib.SCHEDULER_KEY, schedule.epoch),
            # A job may be accepted under the id after its removal; a repeated
            # removal must not take effect then.
            *(
                store_api.Condition(_key_of(job), job.accepted_revision)
                for job in jobs
            ),
        ),
        removals=tuple(removals),
    )
    context = RemoveContext(schedule.epoch, tuple(jobs))
    state_lib.call_store(state, step, commit, context)


def _key_of(job: job_state.Job) -> str:
    return state_lib.JOBS_PREFIX + job.id


@dispatch.on_reply.register
def _(
    context: RemoveContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    schedule = state.schedule
    if schedule is None or schedule.epoch != context.epoch:
        return
    removed: list[job_state.Job] = []
    if isinstance(reply, store_api.Committed):
        removed += context.jobs
    elif isinstance(reply, store_api.Conflict):
        # An earlier removal without a reply has taken effect.
        revisions = {item.key: item.revision for item in reply.items}
        removed += [
            job
            for job in context.jobs
            if revisions[_key_of(job)] != job.accepted_revision
        ]
    for job in removed:
        if schedule.jobs.get(job.id) is job:
            del schedule.jobs[job.id]
            schedule.unsaved.discard(job.id)
            schedule.isolation.jobs.pop(job.id, None)
            schedule.parked.pop(job.id, None)
            schedule.memory.release(job.id, step.moment.now_s)
    if not removed:
        step.note(
            effects.Component.SCHEDULER,
            f"{len(context.jobs)} ended jobs could not be removed yet",
        )


@dispatch.on_failure.register
def _(
    context: RemoveContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    step.note(
        effects.Component.SCHEDULER,
        f"removal of {len(context.jobs)} ended jobs will be retried",
    )
