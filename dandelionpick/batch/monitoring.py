"""Replaces a failed scheduler before its lease expires.

Otherwise nothing would be placed for some seconds after the scheduler's process
ended, or after the store began to refuse its renewals. Every other instance
keeps a long-poll call to the scheduler open. The call breaks when the process
ends, and the scheduler answers it when the store refuses its renewals. An
instance that the store still serves then replaces the scheduler's key. This is
as safe as waiting for the lease to expire, because targets refuse every epoch
that is lower than the highest one they have seen.
"""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import catalog_copy
from dandelionpick.batch import catalog_sources
from dandelionpick.batch import job_admission
from dandelionpick.batch import leadership
from dandelionpick.batch import messages
from dandelionpick.batch import monitoring_state
from dandelionpick.batch import renewal
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import succession

# How long a call stays open. A connection that no longer carries data is
# detected shortly afterwards, by the timeout of the call.
WAIT_S = 2.0
TIMEOUT_MARGIN_S = 0.6
# Pause after a call that the scheduler answered immediately, or refused.
MONITOR_RETRY_S = 0.2
# Two instances that can't connect to each other would replace each other
# forever, so that an instance replaces a scheduler early at most once per
# interval.
MIN_REPLACE_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class MonitorContext:
    """Context of a Monitor call to the scheduler.

    Attributes:
        is_retry: the previous call broke, too.
    """

    epoch: ids.Epoch
    sent_s: float
    is_retry: bool = False


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Calls the scheduler if due, and answers calls from other instances."""
    _answer_monitors(state, step)
    monitoring = state.monitoring
    if (
        not monitoring.call_pending
        and step.moment.now_s >= monitoring.call_at_s
    ):
        _call_scheduler(state, step)


def _call_scheduler(
    state: state_lib.State, step: dispatch.Step, is_retry: bool = False
) -> None:
    election = state.election
    record = election.record
    if (
        election.role is not state_lib.Role.FOLLOWING
        or record is None
        or record.instance == state.identity.instance
    ):
        return
    state.monitoring.call_pending = True
    dispatch.call(
        state,
        step,
        effects.Destination(
            kinds.Service.PEER, record.instance, record.address
        ),
        messages.Monitor(
            election.record_epoch,
            WAIT_S,
            state.identity.instance,
            state.identity.strength,
            state.identity.region,
            state.identity.peer_address,
            _store_rtt_s(state),
        ),
        MonitorContext(election.record_epoch, step.moment.now_s, is_retry),
        WAIT_S + TIMEOUT_MARGIN_S,
    )


def _store_rtt_s(state: state_lib.State) -> float:
    rtt_s = state.store_health.min_rtt_s
    return 0.0 if rtt_s == float("inf") else rtt_s


@dispatch.on_message.register
def _(
    message: messages.Monitor,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    election = state.election
    if (
        election.role is not state_lib.Role.LEADING
        or election.epoch != message.epoch
    ):
        step.respond(exchange_id, messages.NotScheduler())
        return
    now_s = step.moment.now_s
    until_s = now_s + min(message.wait_s, WAIT_S)
    state.monitoring.monitors[exchange_id] = monitoring_state.OpenMonitor(
        message.instance, until_s
    )
    if message.instance:
        succession.record_candidate(state, message, now_s)
    _answer_monitors(state, step)


def _answer_monitors(state: state_lib.State, step: dispatch.Step) -> None:
    now_s = step.moment.now_s
    refused_s = renewal.refused_for_s(state, now_s)
    monitors = state.monitoring.monitors
    for exchange_id, monitor in list(monitors.items()):
        reply: messages.PeerReply
        if state.election.role is not state_lib.Role.LEADING:
            reply = messages.NotScheduler()
        elif refused_s:
            reply = messages.StoreRefuses(refused_s)
        elif now_s >= monitor.until_s:
            reply = messages.StillScheduling(
                succession.rank_of(state, monitor.instance, now_s),
                catalog_sources.source_for(state, monitor.instance, now_s),
                job_admission.credit_for_instances(state, now_s),
                job_admission.crowded_organisations(state),
            )
        else:
            continue
        del monitors[exchange_id]
        step.respond(exchange_id, reply)


@dispatch.on_reply.register
def _(
    context: MonitorContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    monitoring = state.monitoring
    monitoring.call_pending = False
    if isinstance(reply, messages.StillScheduling):
        monitoring.rank = reply.rank
        catalog_copy.assign(state, reply.catalog_source)
        if reply.job_credit is not None:
            state.job_credit.left = reply.job_credit
            state.job_credit.crowded = frozenset(reply.crowded)
        _call_scheduler(state, step)
        return
    now_s = step.moment.now_s
    monitoring.call_at_s = now_s + MONITOR_RETRY_S
    if not isinstance(reply, messages.StoreRefuses):
        return
    health = state.store_health
    # The store may be unavailable to every instance, and then a replacement
    # would not help.
    if health.last_failure_s < now_s - reply.since_s:
        _replace_scheduler(state, step, context, "the store refuses it")


@dispatch.on_failure.register
def _(
    context: MonitorContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    monitoring = state.monitoring
    monitoring.call_pending = False
    now_s = step.moment.now_s
    prompt = now_s - context.sent_s < renewal.PROMPT_FAILURE_S
    if failure is kinds.CallFailure.NOT_SENT and prompt:
        monitoring.call_at_s = now_s + MONITOR_RETRY_S
        _replace_scheduler(
            state, step, context, "nothing listens at its address"
        )
    elif context.is_retry and prompt:
        monitoring.call_at_s = now_s + MONITOR_RETRY_S
    else:
        # A broken connection alone does not prove that the process has ended.
        _call_scheduler(state, step, is_retry=True)


def _replace_scheduler(
    state: state_lib.State,
    step: dispatch.Step,
    context: MonitorContext,
    reason: str,
) -> None:
    election = state.election
    monitoring = state.monitoring
    now_s = step.moment.now_s
    if (
        election.role is not state_lib.Role.FOLLOWING
        or election.record is None
        or election.record_epoch != context.epoch
        or election.campaign_at_s is not None
        or now_s < monitoring.last_replaced_s + MIN_REPLACE_INTERVAL_S
    ):
        return
    step.note(
        effects.Component.SCHEDULER,
        f"replacing {election.record.instance} in epoch {context.epoch}"
        f" before its lease ends: {reason}",
        warning=True,
    )
    leadership.challenge(state, step)
