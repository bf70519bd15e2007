"""Renews the lease of the scheduler's key, and notices when it is refused."""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import leadership
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api

# A quarter of the lease, so that three renewals may be lost before it ends.
KEEP_PERIOD_S = 0.3
KEEP_TIMEOUT_S = 0.4
# A refused renewal is repeated after this time, so that a refusal that lasts
# is known well before the lease ends.
KEEP_RETRY_S = 0.1
# A call that fails sooner than this was refused or reset; one that takes longer
# may only be slow.
PROMPT_S = 0.3
# Refused renewals in a row after which the store is taken to refuse us.
REFUSALS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class KeepContext:
    """The scheduler's lease is renewed."""

    epoch: ids.Epoch
    sent_s: float


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Renews the lease if that is due."""
    authority = state.authority
    now_s = step.moment.now_s
    if (
        authority.role is not state_lib.Role.LEADING
        or authority.keep_pending
        or now_s < authority.keep_at_s
    ):
        return
    authority.keep_pending = True
    authority.keep_at_s = now_s + KEEP_PERIOD_S
    state_lib.call_store(
        state,
        step,
        store_api.KeepLease(authority.lease),
        KeepContext(authority.epoch, now_s),
        KEEP_TIMEOUT_S,
    )


@dispatch.returned.register
def _(
    context: KeepContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    authority = state.authority
    if context.epoch != authority.epoch:
        return
    authority.keep_pending = False
    if isinstance(reply, store_api.LeaseHeld):
        authority.kept_s = max(authority.kept_s, context.sent_s)
        authority.refusals = 0
    elif isinstance(reply, store_api.LeaseEnded):
        authority.record = None
        leadership.step_down(state, step, "its lease has ended")
    else:
        _note_refusal(authority, step, context)


@dispatch.failed.register
def _(
    context: KeepContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    authority = state.authority
    if context.epoch != authority.epoch:
        return
    authority.keep_pending = False
    if step.moment.now_s - context.sent_s < PROMPT_S:
        _note_refusal(authority, step, context)


def _note_refusal(
    authority: state_lib.Authority, step: dispatch.Step, context: KeepContext
) -> None:
    if not authority.refusals:
        authority.refused_s = context.sent_s
    authority.refusals += 1
    authority.keep_at_s = step.moment.now_s + KEEP_RETRY_S


def refused_for_s(state: state_lib.State, now_s: float) -> float:
    """Returns for how long the store has refused the scheduler; 0 if not."""
    authority = state.authority
    if authority.refusals < REFUSALS:
        return 0.0
    return now_s - authority.refused_s
