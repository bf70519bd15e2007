"""Updates parts of gangs from the workers' reports, and evaluates them."""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import job_state
from dandelionpick import kinds
from dandelionpick import state as state_lib
from dandelionpick import worker_messages

HOLD_TIMEOUT_S = 5.0
CONFIRM_TIMEOUT_S = 5.0
LEASE_S = 60.0
# A worker that restarts later than this after the start of a part is not
# taken to have crashed under it.
EARLY_CRASH_S = 60.0
# A message in flight arrives at most this long after it was sent.
MAX_MESSAGE_DELAY_S = 2.0

PartState = kinds.PartState
STATE_RANK = {
    None: 0,
    PartState.HELD: 1,
    PartState.STARTING: 2,
    PartState.RUNNING: 3,
    PartState.FINISHED: 4,
    PartState.FAILED: 4,
    PartState.STOPPED: 4,
}

# Length of the hold or lease that a part has when it enters a state.
INITIAL_LEASE_S = {
    PartState.HELD: HOLD_TIMEOUT_S,
    PartState.STARTING: CONFIRM_TIMEOUT_S,
    PartState.RUNNING: CONFIRM_TIMEOUT_S,
}


def destination_of(
    state: state_lib.State, worker: ids.InstanceId
) -> effects.Destination | None:
    """Returns where calls to a worker go; None if it is not listed."""
    entry = state.members.entries.get(worker)
    if entry is None:
        return None
    return effects.Destination(kinds.Service.WORKER, entry.id, entry.address)


def apply_status(
    step: dispatch.Step,
    part: job_state.Part,
    status: worker_messages.PartStatus | None,
    incarnation: ids.Incarnation,
    sent_s: float,
) -> None:
    """Updates a part from its status in a worker's reply.

    States only move forward, so a reply that arrives out of order has no
    effect.

    Args:
        step: the current step.
        part: the part to update.
        status: the reported status; None if the worker has another
            incarnation and did not report the part.
        incarnation: incarnation of the worker that replied.
        sent_s: when the call that it replied to was sent.
    """
    if part.state is PartState.FINISHED:
        return
    if not part.incarnation:
        part.incarnation = incarnation
    if incarnation != part.incarnation:
        record_restart(step, part)
        return
    if status is None:
        part.lost = True
        return
    part.ran = part.ran or status.ran
    if part.stopped or STATE_RANK[status.state] < STATE_RANK[part.state]:
        return
    if status.state is not part.state:
        part.state_changed_s = step.moment.now_s
        if status.state in INITIAL_LEASE_S:
            lease_s = INITIAL_LEASE_S[status.state]
            part.lease_end_s = step.moment.now_s + lease_s
    part.state = status.state
    part.status_sent_s = max(part.status_sent_s, sent_s)
    part.checkpoint = status.checkpoint or part.checkpoint
    part.result = status.result or part.result


def record_restart(step: dispatch.Step, part: job_state.Part) -> None:
    """Records that a part is lost because its worker has restarted."""
    if not part.lost and part.state in (
        PartState.STARTING,
        PartState.RUNNING,
    ):
        started_s = step.moment.now_s - part.state_changed_s
        part.crashed = started_s < EARLY_CRASH_S
    part.lost = True


def is_proved_not_run(gang: job_state.Gang) -> bool:
    """Returns whether no part of a stopped gang ever ran, or ever will.

    This is proved when each worker holds a tombstone for the gang and has
    reported that its part was never confirmed.
    """
    return all(
        part.stopped and not part.lost and not part.ran
        for part in gang.parts.values()
    )


def awaits_stop(part: job_state.Part) -> bool:
    """Returns whether a part of a stopped gang may still occupy its worker."""
    return not (part.stopped or part.lost)


def occupies_accelerators(part: job_state.Part) -> bool:
    """Returns whether a part holds accelerators, as far as is known."""
    if part.stopped or part.lost:
        return False
    return part.state is None or part.state in job_state.OCCUPYING_STATES
