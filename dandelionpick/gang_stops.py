"""Stops gangs on all of their workers and decides the outcome for the job."""

import dataclasses

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import gang_parts
from dandelionpick import ids
from dandelionpick import job_outcomes
from dandelionpick import job_state
from dandelionpick import job_status
from dandelionpick import kinds
from dandelionpick import state as state_lib
from dandelionpick import worker_messages

STOP_RETRY_DELAY_S = 1.0
# An idempotent job may run again once each worker that has not replied has
# been sent this many stops; the parts there end when their leases expire.
MIN_STOP_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class StopSent:
    """Context of a stop of one part."""

    gang_id: ids.GangId
    worker: ids.InstanceId
    sent_s: float


def stop(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    cause: job_state.StopCause,
) -> None:
    """Starts to stop all parts of a gang unless it is already stopping."""
    if gang.stop is not None:
        return
    gang.stop = cause
    for part in gang.parts.values():
        part.retry_s = float("-inf")
    step.note(
        effects.Component.JOBS,
        f"stopping run {gang.labels.run} of job {gang.labels.key}:"
        f" {cause.value}",
        warning=cause is job_state.StopCause.LOST,
    )
    advance(state, step, gang)


def advance(
    state: state_lib.State, step: dispatch.Step, gang: job_state.Gang
) -> None:
    """Sends due stops, decides the job's outcome, and removes an ended gang."""
    now_s = step.moment.now_s
    for part in gang.parts.values():
        if not gang_parts.awaits_stop(part):
            continue
        if now_s > part.latest_lease_end_s:
            part.lost = True
        elif now_s >= part.retry_s:
            _send_stop(state, step, gang, part)
    awaiting = [p for p in gang.parts.values() if gang_parts.awaits_stop(p)]
    if not gang.outcome_decided and _may_decide_outcome(state, gang, awaiting):
        gang.outcome_decided = True
        job_outcomes.handle_stopped_gang(state, step, gang)
    if not awaiting:
        remove(state, gang)


def _may_decide_outcome(
    state: state_lib.State,
    gang: job_state.Gang,
    awaiting: list[job_state.Part],
) -> bool:
    """Returns whether the outcome of a stopped gang can be decided."""
    if not awaiting:
        return True
    record = job_status.record_of(state, gang.name)
    return (
        record is not None
        and record.idempotent
        and all(part.stop_attempts >= MIN_STOP_ATTEMPTS for part in awaiting)
    )


def remove(state: state_lib.State, gang: job_state.Gang) -> None:
    """Removes a gang that has ended from the state."""
    del state.jobs.gangs[gang.gang_id]
    for worker in gang.parts:
        view = state.jobs.workers.get(worker)
        if view is not None:
            view.gangs.discard(gang.gang_id)


def _send_stop(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    part: job_state.Part,
) -> None:
    part.retry_s = step.moment.now_s + STOP_RETRY_DELAY_S
    destination = gang_parts.destination_of(state, part.worker)
    if destination is None:
        part.stop_attempts += 1
        return
    dispatch.call(
        state,
        step,
        destination,
        worker_messages.StopPart(
            gang.gang_id, checkpoint=_needs_checkpoint(state, gang)
        ),
        StopSent(gang.gang_id, part.worker, step.moment.now_s),
        state.limits.call_timeout_s,
    )


def _needs_checkpoint(state: state_lib.State, gang: job_state.Gang) -> bool:
    record = job_status.record_of(state, gang.name)
    return record is not None and record.checkpointable and not record.cancel


@dispatch.on_reply.register
def _(
    context: StopSent,
    state: state_lib.State,
    step: dispatch.Step,
    reply: worker_messages.PartReply | worker_messages.PartRefused,
) -> None:
    gang = state.jobs.gangs.get(context.gang_id)
    if gang is None:
        return
    part = gang.parts[context.worker]
    if reply.incarnation != part.incarnation:
        gang_parts.record_restart(step, part)
    elif isinstance(reply, worker_messages.PartReply):
        gang_parts.apply_status(
            step, part, reply.part, reply.incarnation, context.sent_s
        )
        part.stopped = True
    else:
        part.stopped = reply.reason in (
            kinds.PartRefusal.UNKNOWN_PART,
            kinds.PartRefusal.TOMBSTONED,
        )
    advance(state, step, gang)


@dispatch.on_failure.register
def _(
    context: StopSent,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    gang = state.jobs.gangs.get(context.gang_id)
    if gang is not None:
        gang.parts[context.worker].stop_attempts += 1
