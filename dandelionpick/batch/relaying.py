"""Hands requests to the scheduler, which knows the state of all jobs."""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import messages
from dandelionpick.batch import open_requests
from dandelionpick.batch import state as state_lib

# Round trips between regions take 25 ms; a scheduler that stays silent for
# this long is asked no more about this request.
RELAY_TIMEOUT_S = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class RelayContext:
    """A request at the scheduler."""

    exchange_id: ids.ExchangeId


def relay(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> bool:
    """Hands a request to the scheduler; returns False if none is known."""
    record = state.authority.record
    if record is None or record.incarnation == state.incarnation:
        return False
    request.writes += 1
    dispatch.call(
        state,
        step,
        effects.Destination(
            kinds.Service.PEER, record.instance, record.address
        ),
        messages.Relay(request.request),
        RelayContext(request.exchange_id),
        RELAY_TIMEOUT_S,
    )
    return True


@dispatch.returned.register
def _(
    context: RelayContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    request = state.open_requests.get(context.exchange_id)
    if request is None:
        return
    request.writes -= 1
    if isinstance(reply, messages.Relayed):
        state.catalog.floor = max(state.catalog.floor, reply.catalog_version)
        if open_requests.is_for_store(reply.reply):
            open_requests.refuse_for_store(state, step, request)
        else:
            open_requests.finish(state, step, request, reply.reply)
        return
    request.scheduler_silent = True
    open_requests.retry_later(state, step, request)


@dispatch.failed.register
def _(
    context: RelayContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    request = state.open_requests.get(context.exchange_id)
    if request is not None:
        request.scheduler_silent = True
    open_requests.note_write_lost(state, step, request, failure)
