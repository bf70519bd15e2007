"""Renews the lease of the scheduler's key and detects refused renewals."""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import leadership
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api

# A quarter of the lease, so that three renewals may be lost before it expires.
RENEWAL_PERIOD_S = 0.3
RENEWAL_TIMEOUT_S = 0.4
# A refused renewal is repeated after this time, so that a persistent refusal is
# detected well before the lease expires.
RENEWAL_RETRY_S = 0.1
# A call that fails sooner than this was refused or reset; one that takes longer
# may just be slow.
PROMPT_FAILURE_S = 0.3
# Number of consecutive refused renewals after which the store counts as
# refusing this instance.
REFUSAL_THRESHOLD = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RenewalContext:
    """Context of the call that renews the scheduler's lease."""

    epoch: ids.Epoch
    sent_s: float


def verify_after_suspension(
    state: state_lib.State, step: dispatch.Step
) -> None:
    """Renews the lease at once, and lets nothing start before."""
    election = state.election
    if election.role is not state_lib.Role.LEADING:
        return
    election.unverified = True
    election.suspended_s = step.moment.now_s
    _renew(state, step)


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Renews the lease if a renewal is due."""
    election = state.election
    now_s = step.moment.now_s
    if (
        election.role is not state_lib.Role.LEADING
        or election.renewal_pending
        or now_s < election.renew_at_s
    ):
        return
    _renew(state, step)


def _renew(state: state_lib.State, step: dispatch.Step) -> None:
    election = state.election
    now_s = step.moment.now_s
    election.renewal_pending = True
    election.renew_at_s = now_s + RENEWAL_PERIOD_S
    state_lib.call_store(
        state,
        step,
        store_api.KeepLease(election.lease),
        RenewalContext(election.epoch, now_s),
        RENEWAL_TIMEOUT_S,
    )


@dispatch.on_reply.register
def _(
    context: RenewalContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    election = state.election
    if context.epoch != election.epoch:
        return
    election.renewal_pending = False
    if isinstance(reply, store_api.LeaseHeld):
        election.unverified &= context.sent_s < election.suspended_s
        election.renewed_s = max(election.renewed_s, context.sent_s)
        election.refusals = 0
    elif isinstance(reply, store_api.LeaseEnded):
        election.record = None
        leadership.step_down(state, step, "its lease has ended")
    else:
        _record_refusal(election, step, context)


@dispatch.on_failure.register
def _(
    context: RenewalContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    election = state.election
    if context.epoch != election.epoch:
        return
    election.renewal_pending = False
    if step.moment.now_s - context.sent_s < PROMPT_FAILURE_S:
        _record_refusal(election, step, context)


def _record_refusal(
    election: state_lib.Election, step: dispatch.Step, context: RenewalContext
) -> None:
    if not election.refusals:
        election.first_refusal_s = context.sent_s
    election.refusals += 1
    election.renew_at_s = step.moment.now_s + RENEWAL_RETRY_S


def refused_for_s(state: state_lib.State, now_s: float) -> float:
    """Returns how long the store has refused the renewals; 0 if it does not."""
    election = state.election
    if election.refusals < REFUSAL_THRESHOLD:
        return 0.0
    return now_s - election.first_refusal_s
