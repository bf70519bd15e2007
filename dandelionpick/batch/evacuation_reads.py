"""Answers operators' queries for the evacuations in progress.

Only the scheduler knows them; another instance passes the query on to it.
"""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import evacuations
from dandelionpick.batch import inspection
from dandelionpick.batch import messages
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib

RELAY_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RelayContext:
    """Context of a query that was passed on to the scheduler."""

    exchange_id: ids.ExchangeId


@dispatch.on_message.register
def _(
    message: messages.ReadEvacuations,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    schedule = state.schedule
    if schedule is not None and inspection.is_ready_scheduler(state):
        step.respond(exchange_id, _build_reply(state, schedule))
        return
    scheduler = state.election.record
    if (
        message.relayed
        or scheduler is None
        or scheduler.incarnation == state.incarnation
    ):
        step.respond(exchange_id, messages.NotScheduler())
        return
    dispatch.call(
        state,
        step,
        effects.Destination(
            kinds.Service.PEER, scheduler.instance, scheduler.address
        ),
        messages.ReadEvacuations(relayed=True),
        RelayContext(exchange_id),
        RELAY_TIMEOUT_S,
    )


@dispatch.on_reply.register
def _(
    context: RelayContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    if not isinstance(reply, messages.Evacuations):
        reply = messages.NotScheduler()
    step.respond(context.exchange_id, reply)


@dispatch.on_failure.register
def _(
    context: RelayContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    step.respond(context.exchange_id, messages.NotScheduler())


def _build_reply(
    state: state_lib.State, schedule: schedule_state.Schedule
) -> messages.Evacuations:
    """Returns what the last tick has found, by domain."""
    known = schedule.evacuations
    return messages.Evacuations(
        state.identity.instance,
        evacuations.is_watched(state),
        known.is_outdated,
        tuple(
            messages.EvacuationView(
                domain,
                evacuation.since_ms,
                len(evacuation.targets),
                dict(evacuation.runs),
            )
            for domain, evacuation in sorted(known.by_domain.items())
        ),
    )
