"""Relays requests to the scheduler, which knows the state of all jobs."""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import messages
from dandelionpick.batch import open_requests
from dandelionpick.batch import state as state_lib

# Round trips between regions take 25 ms. If the scheduler does not reply within
# this time, the request is not relayed to it again.
RELAY_TIMEOUT_S = 0.6
# Refusals that another version of the configuration may not give.
DECIDED_BY_CONFIGURATION = frozenset(
    (
        errors.ProblemKind.NO_CONFIGURATION,
        errors.ProblemKind.UNAUTHENTICATED,
        errors.ProblemKind.UNKNOWN_PATH,
        errors.ProblemKind.FORBIDDEN,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class RelayContext:
    """Context of a call that relays a request."""

    exchange_id: ids.ExchangeId


def relay(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> bool:
    """Relays a request; returns False if no other scheduler is known."""
    scheduler = state.election.record
    if scheduler is None or scheduler.incarnation == state.incarnation:
        return False
    request.pending_writes += 1
    dispatch.call(
        state,
        step,
        effects.Destination(
            kinds.Service.PEER, scheduler.instance, scheduler.address
        ),
        messages.Relay(request.request),
        RelayContext(request.exchange_id),
        RELAY_TIMEOUT_S,
    )
    return True


def _is_outdated(state: state_lib.State, relayed: messages.Relayed) -> bool:
    """Returns whether a refusal follows from an earlier configuration."""
    catalog = state.catalog.current
    return (
        catalog is not None
        and relayed.catalog_version < catalog.version
        and isinstance(relayed.reply, messages.Refused)
        and relayed.reply.problem.kind in DECIDED_BY_CONFIGURATION
    )


@dispatch.on_reply.register
def _(
    context: RelayContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    request = state.open_requests.get(context.exchange_id)
    if request is None:
        return
    request.pending_writes -= 1
    if isinstance(reply, messages.Relayed):
        state.catalog.min_version = max(
            state.catalog.min_version, reply.catalog_version
        )
        if _is_outdated(state, reply):
            # This instance has admitted the request under a later version.
            request.skip_relay = True
            open_requests.retry_later(state, step, request)
        elif open_requests.is_store_unavailable(reply.reply):
            open_requests.refuse_store_unavailable(state, step, request)
        else:
            open_requests.finish(state, step, request, reply.reply)
        return
    request.skip_relay = True
    open_requests.retry_later(state, step, request)


@dispatch.on_failure.register
def _(
    context: RelayContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    request = state.open_requests.get(context.exchange_id)
    if request is not None:
        request.skip_relay = True
    open_requests.retry_lost_write(state, step, request, failure)
