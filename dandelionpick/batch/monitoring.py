"""Replaces a scheduler that has ended, or that the store refuses, early.

Answers the seconds in which nothing is placed because the lease of a scheduler
that can't go on has not ended yet. Every other instance keeps a call open at
the scheduler. The call breaks when the process ends, and the scheduler answers
it when the store refuses its renewals. An instance that the store serves then
replaces the scheduler's key. That is as safe as waiting for the lease, because
targets obey no epoch that is lower than the highest one they have seen.
"""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import leadership
from dandelionpick.batch import messages
from dandelionpick.batch import renewal
from dandelionpick.batch import state as state_lib

# How long a call stays open; a silent connection is noticed soon after.
WAIT_S = 2.0
TIMEOUT_MARGIN_S = 0.6
# Pause after a call that the scheduler answered at once, or refused.
RETRY_S = 0.2
# Where two instances can't reach each other, each would replace the other for
# ever; an instance replaces a scheduler early at most once in this time.
REPLACE_PERIOD_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class MonitorContext:
    """A call at the scheduler.

    Attributes:
        again: the call before it broke, too.
    """

    epoch: ids.Epoch
    sent_s: float
    again: bool = False


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Monitors the scheduler, and answers those who monitor this one."""
    _answer_monitors(state, step)
    monitoring = state.monitoring
    if not monitoring.pending and step.moment.now_s >= monitoring.call_at_s:
        _call(state, step)


def _call(
    state: state_lib.State, step: dispatch.Step, again: bool = False
) -> None:
    authority = state.authority
    record = authority.record
    if (
        authority.role is not state_lib.Role.FOLLOWING
        or record is None
        or record.instance == state.identity.instance
    ):
        return
    state.monitoring.pending = True
    dispatch.call(
        state,
        step,
        effects.Destination(
            kinds.Service.PEER, record.instance, record.address
        ),
        messages.Monitor(authority.record_epoch, WAIT_S),
        MonitorContext(authority.record_epoch, step.moment.now_s, again),
        WAIT_S + TIMEOUT_MARGIN_S,
    )


@dispatch.receive.register
def _(
    message: messages.Monitor,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    authority = state.authority
    if (
        authority.role is not state_lib.Role.LEADING
        or authority.epoch != message.epoch
    ):
        step.respond(exchange_id, messages.NotScheduler())
        return
    wait_s = min(message.wait_s, WAIT_S)
    state.monitoring.monitors[exchange_id] = step.moment.now_s + wait_s
    _answer_monitors(state, step)


def _answer_monitors(state: state_lib.State, step: dispatch.Step) -> None:
    now_s = step.moment.now_s
    refused_s = renewal.refused_for_s(state, now_s)
    monitors = state.monitoring.monitors
    for exchange_id, until_s in list(monitors.items()):
        reply: messages.PeerReply
        if state.authority.role is not state_lib.Role.LEADING:
            reply = messages.NotScheduler()
        elif refused_s:
            reply = messages.StoreRefuses(refused_s)
        elif now_s >= until_s:
            reply = messages.StillScheduling()
        else:
            continue
        del monitors[exchange_id]
        step.respond(exchange_id, reply)


@dispatch.returned.register
def _(
    context: MonitorContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    monitoring = state.monitoring
    monitoring.pending = False
    if isinstance(reply, messages.StillScheduling):
        _call(state, step)
        return
    now_s = step.moment.now_s
    monitoring.call_at_s = now_s + RETRY_S
    if not isinstance(reply, messages.StoreRefuses):
        return
    health = state.store_health
    # The store may be away for everybody.
    if health.failed_s < now_s - reply.since_s:
        _replace(state, step, context, "the store refuses it")


@dispatch.failed.register
def _(
    context: MonitorContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    monitoring = state.monitoring
    monitoring.pending = False
    now_s = step.moment.now_s
    prompt = now_s - context.sent_s < renewal.PROMPT_S
    if failure is kinds.CallFailure.NOT_SENT and prompt:
        monitoring.call_at_s = now_s + RETRY_S
        _replace(state, step, context, "nothing listens at its address")
    elif context.again and prompt:
        monitoring.call_at_s = now_s + RETRY_S
    else:
        # A connection that broke says nothing about the process yet.
        _call(state, step, again=True)


def _replace(
    state: state_lib.State,
    step: dispatch.Step,
    context: MonitorContext,
    reason: str,
) -> None:
    authority = state.authority
    monitoring = state.monitoring
    now_s = step.moment.now_s
    if (
        authority.role is not state_lib.Role.FOLLOWING
        or authority.record is None
        or authority.record_epoch != context.epoch
        or authority.campaign_s is not None
        or now_s < monitoring.replaced_s + REPLACE_PERIOD_S
    ):
        return
    step.note(
        effects.Part.SCHEDULER,
        f"replacing {authority.record.instance} in epoch {context.epoch}"
        f" before its lease ends: {reason}",
        warning=True,
    )
    leadership.challenge(state, step)
