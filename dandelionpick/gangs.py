"""The gang protocol: hold, start, confirm, renew.

The state of a gang is the state of its parts on the workers. `advance` sends
the messages that the last reports of the workers call for, so that a gang that
was found by listing the workers continues exactly like one that this instance
created. The workers enforce holds, leases and tombstones. A second scheduler
that drives the same gang can only repeat messages, and a repeated message has
no further effect.
"""

import dataclasses
import enum
import hashlib

from dandelionpick import dispatch
from dandelionpick import document_results
from dandelionpick import effects
from dandelionpick import gang_parts
from dandelionpick import gang_stops
from dandelionpick import ids
from dandelionpick import job_claims
from dandelionpick import job_outcomes
from dandelionpick import job_state
from dandelionpick import job_status
from dandelionpick import kinds
from dandelionpick import state as state_lib
from dandelionpick import worker_messages

CALL_RETRY_DELAY_S = 0.5

PartState = kinds.PartState
CONFIRMED_STATES = (PartState.RUNNING, PartState.FINISHED)


class PartAction(enum.Enum):
    """What a call asked a worker to do with a part."""

    HOLD = "hold"
    START = "start"


@dataclasses.dataclass(frozen=True, slots=True)
class PartCalled:
    """Context of a call that holds or starts one part."""

    gang_id: ids.GangId
    worker: ids.InstanceId
    action: PartAction
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementWritten:
    """Context of the write of a non-idempotent job's placement."""

    gang_id: ids.GangId


def new_gang_id(
    state: state_lib.State, name: job_state.JobName, run: int
) -> ids.GangId:
    """Returns an id that no other instance and no earlier run uses."""
    state.jobs.gangs_made += 1
    key_digest = hashlib.sha256(
        job_claims.record_name(name).encode()
    ).hexdigest()
    number = state.jobs.gangs_made
    return ids.GangId(f"{key_digest[:32]}-{run}-{state.incarnation}-{number}")


def create(
    state: state_lib.State,
    step: dispatch.Step,
    record: job_state.JobRecord,
    parts: dict[ids.InstanceId, tuple[list[int], int]],
) -> job_state.Gang:
    """Creates the gang of a new run and sends holds to all of its workers.

    Args:
        state: the reducer's state.
        step: the current step.
        record: the job.
        parts: indices of accelerators and number of tasks by worker.

    Returns:
        The new gang.
    """
    job = record.job
    name = (job.organisation, job.key)
    last_run, _ = state.jobs.checkpoints.get(name, (0, ""))
    run = max(record.run, last_run) + 1
    gang_id = new_gang_id(state, name, run)
    labels = worker_messages.PartLabels(
        job.organisation, job.job_class, job.key, run, sorted(parts)
    )
    gang = job_state.Gang(gang_id, labels, {}, step.moment.now_s)
    state.jobs.gangs[gang_id] = gang
    step.note(effects.Component.JOBS, f"placing run {run} of job {job.key}")
    for worker in labels.workers:
        accelerators, tasks = parts[worker]
        part = job_state.Part(worker, accelerators, tasks)
        gang.parts[worker] = part
        view = state.jobs.workers[worker]
        view.gangs.add(gang_id)
        part.incarnation = view.report.incarnation
        hold = worker_messages.HoldPart(
            gang_id=gang_id,
            labels=labels,
            accelerators=accelerators,
            tasks=tasks,
            cores=job.cores * tasks,
            memory_gb=job.memory_gb * tasks,
            hold_s=gang_parts.HOLD_TIMEOUT_S,
            incarnation=part.incarnation,
        )
        part.latest_lease_end_s = (
            step.moment.now_s
            + gang_parts.HOLD_TIMEOUT_S
            + gang_parts.MAX_MESSAGE_DELAY_S
        )
        call_part(state, step, gang, part, hold, PartAction.HOLD)
    return gang


def call_part(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    part: job_state.Part,
    message: worker_messages.HoldPart | worker_messages.StartPart,
    action: PartAction,
) -> None:
    """Sends a hold or start to the worker of a part."""
    destination = gang_parts.destination_of(state, part.worker)
    if destination is None:
        return
    part.pending = True
    context = PartCalled(gang.gang_id, part.worker, action, step.moment.now_s)
    dispatch.call(
        state,
        step,
        destination,
        message,
        context,
        state.limits.call_timeout_s,
    )


@dispatch.on_reply.register
def _(
    context: PartCalled,
    state: state_lib.State,
    step: dispatch.Step,
    reply: worker_messages.PartReply | worker_messages.PartRefused,
) -> None:
    gang = state.jobs.gangs.get(context.gang_id)
    if gang is None:
        return
    part = gang.parts[context.worker]
    part.pending = False
    if isinstance(reply, worker_messages.PartReply):
        gang_parts.apply_status(
            step, part, reply.part, reply.incarnation, context.sent_s
        )
    elif gang.stop is None:
        step.note(
            effects.Component.JOBS,
            f"{part.worker} refused to {context.action.value} a part of"
            f" {gang.labels.key}: {reply.reason.value}",
        )
        gang_stops.stop(state, step, gang, job_state.StopCause.REFUSED)
        return
    advance(state, step, gang)


@dispatch.on_failure.register
def _(
    context: PartCalled,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    gang = state.jobs.gangs.get(context.gang_id)
    if gang is None:
        return
    part = gang.parts[context.worker]
    part.pending = False
    part.retry_s = step.moment.now_s + CALL_RETRY_DELAY_S
    if gang.stop is None and context.action is PartAction.HOLD:
        gang_stops.stop(state, step, gang, job_state.StopCause.REFUSED)


def advance(
    state: state_lib.State, step: dispatch.Step, gang: job_state.Gang
) -> None:
    """Takes the next step of the protocol for a gang."""
    if gang.stop is not None:
        gang_stops.advance(state, step, gang)
        return
    parts = gang.parts.values()
    states = {part.state for part in parts}
    if PartState.FAILED in states:
        gang_stops.stop(state, step, gang, job_state.StopCause.FAILED)
    elif PartState.STOPPED in states or any(part.lost for part in parts):
        gang_stops.stop(state, step, gang, job_state.StopCause.LOST)
    elif states == {PartState.FINISHED}:
        job_outcomes.finish_job(state, step, gang)
    elif None in states:
        return
    elif PartState.HELD in states:
        start(state, step, gang)
    elif is_up_to_date(state, step, gang):
        confirm(state, step, gang)


def is_up_to_date(
    state: state_lib.State, step: dispatch.Step, gang: job_state.Gang
) -> bool:
    """Returns whether the known state of all parts is recent enough to act on.

    State from before a stall of the event loop is not: in the meantime leases
    may have expired and another instance may have stopped the gang.
    """
    for part in gang.parts.values():
        if part.state is PartState.FINISHED:
            continue
        unconfirmed = part.state is not PartState.RUNNING
        limit_s = (
            gang_parts.CONFIRM_TIMEOUT_S if unconfirmed else gang_parts.LEASE_S
        )
        if part.status_sent_s < state.jobs.trusted_since_s:
            return False
        if step.moment.now_s - part.status_sent_s >= limit_s:
            return False
    return True


def start(
    state: state_lib.State, step: dispatch.Step, gang: job_state.Gang
) -> None:
    """Starts the held parts.

    The placement of a non-idempotent job is written to the store first.
    """
    record = job_status.record_of(state, gang.name)
    if record is None or not is_up_to_date(state, step, gang):
        return
    if not record.idempotent and not _ensure_placed(state, step, gang, record):
        return
    _, checkpoint = state.jobs.checkpoints.get(gang.name, (0, ""))
    message = worker_messages.StartPart(
        gang_id=gang.gang_id,
        lease_s=gang_parts.CONFIRM_TIMEOUT_S,
        payload=record.job.payload,
        checkpoint=checkpoint or record.checkpoint,
    )
    now_s = step.moment.now_s
    for part in gang.parts.values():
        if part.state is not PartState.HELD or part.pending:
            continue
        if now_s >= part.retry_s:
            part.latest_lease_end_s = (
                now_s
                + gang_parts.CONFIRM_TIMEOUT_S
                + gang_parts.MAX_MESSAGE_DELAY_S
            )
            call_part(state, step, gang, part, message, PartAction.START)


def _ensure_placed(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    record: job_state.JobRecord,
) -> bool:
    """Returns whether the stored placement of the job names this gang.

    Starts to write a placement if the job has none, and stops the gang if the
    job may no longer run as this gang.
    """
    if gang.placed or gang.placing:
        return gang.placed
    if record.placement is not None:
        gang.placed = record.placement.gang_id == gang.gang_id
        if not gang.placed:
            gang_stops.stop(state, step, gang, job_state.StopCause.OBSOLETE)
        return gang.placed
    if gang.adopted or record.state in job_state.FINAL_STATES or record.cancel:
        gang_stops.stop(state, step, gang, job_state.StopCause.OBSOLETE)
        return False
    gang.placing = True
    placement = job_state.Placement(
        gang.gang_id,
        gang.labels.workers,
        [gang.parts[worker].incarnation for worker in gang.labels.workers],
    )
    job_outcomes.update_record(
        state,
        step,
        record,
        {"placement": placement},
        PlacementWritten(gang.gang_id),
    )
    return False


@document_results.handle_result.register
def _(
    context: PlacementWritten,
    state: state_lib.State,
    step: dispatch.Step,
    result: document_results.Committed
    | document_results.Superseded
    | document_results.Unavailable,
) -> None:
    gang = state.jobs.gangs.get(context.gang_id)
    if gang is None or gang.stop is not None:
        return
    gang.placing = False
    if isinstance(result, document_results.Committed):
        gang.placed = True
        advance(state, step, gang)
    else:
        gang_stops.stop(state, step, gang, job_state.StopCause.REFUSED)


def confirm(
    state: state_lib.State, step: dispatch.Step, gang: job_state.Gang
) -> None:
    """Confirms started parts.

    Once all parts are confirmed, the short leases of running parts are
    extended to their full length.
    """
    parts = gang.parts.values()
    all_confirmed = all(part.state in CONFIRMED_STATES for part in parts)
    for part in parts:
        if part.pending or step.moment.now_s < part.retry_s:
            continue
        if part.state is PartState.STARTING:
            renew(
                state,
                step,
                part.worker,
                [gang.gang_id],
                gang_parts.CONFIRM_TIMEOUT_S,
            )
        elif (
            all_confirmed
            and not part.full_lease
            and part.state is PartState.RUNNING
        ):
            renew(state, step, part.worker, [gang.gang_id], gang_parts.LEASE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class LeasesRenewed:
    """Context of a call that confirms or renews parts on one worker."""

    worker: ids.InstanceId
    gang_ids: tuple[ids.GangId, ...]
    lease_s: float
    sent_s: float


def renew(
    state: state_lib.State,
    step: dispatch.Step,
    worker: ids.InstanceId,
    gang_ids: list[ids.GangId],
    lease_s: float,
) -> None:
    """Confirms parts of gangs on one worker, or renews their leases."""
    destination = gang_parts.destination_of(state, worker)
    if destination is None:
        return
    now_s = step.moment.now_s
    for gang_id in gang_ids:
        part = state.jobs.gangs[gang_id].parts[worker]
        part.pending = True
        part.latest_lease_end_s = max(
            part.latest_lease_end_s,
            now_s + lease_s + gang_parts.MAX_MESSAGE_DELAY_S,
        )
    dispatch.call(
        state,
        step,
        destination,
        worker_messages.RenewLeases(gang_ids, lease_s),
        LeasesRenewed(worker, tuple(gang_ids), lease_s, now_s),
        state.limits.call_timeout_s,
    )
