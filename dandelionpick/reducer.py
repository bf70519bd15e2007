"""The one reducer over all events."""

import functools

from dandelionpick import configuration
from dandelionpick import dispatch
from dandelionpick import drain
from dandelionpick import effects
from dandelionpick import events
from dandelionpick import forwarding
from dandelionpick import hedging
from dandelionpick import lanes
from dandelionpick import listing
from dandelionpick import membership
from dandelionpick import quarantine
from dandelionpick import requests
from dandelionpick import shedding
from dandelionpick import stalls
from dandelionpick import state as state_lib
from dandelionpick import targets

# Runs in this order on each tick: knowledge first, decisions after it.
TICKS = (
    listing.tick,
    membership.tick,
    configuration.tick,
    targets.tick,
    quarantine.tick,
    lanes.tick,
    requests.tick,
    forwarding.tick,
    shedding.tick,
    hedging.tick,
    drain.tick,
)


def reduce(state: state_lib.State, event: events.Event) -> list[effects.Effect]:
    """Applies an event to the state, in place.

    Args:
        state: the state of one instance.
        event: what happened, with its time and a random draw.

    Returns:
        The effects to perform, in order.
    """
    step = dispatch.Step(event.moment)
    _apply(event, state, step)
    return step.emitted


@functools.singledispatch
def _apply(
    event: events.Event, state: state_lib.State, step: dispatch.Step
) -> None:
    raise TypeError(f"no handler for event {type(event).__name__}")


@_apply.register
def _(
    event: events.Received, state: state_lib.State, step: dispatch.Step
) -> None:
    step.trace = event.trace
    dispatch.receive(event.message, state, step, event.exchange_id)


@_apply.register
def _(
    event: events.Returned, state: state_lib.State, step: dispatch.Step
) -> None:
    pending = state.calls.pop(event.call_id, None)
    if pending is None:
        return
    step.trace = pending.trace
    membership.note_heard(state, pending.destination, event.moment.now_s)
    dispatch.returned(pending.context, state, step, event.reply)


@_apply.register
def _(
    event: events.Failed, state: state_lib.State, step: dispatch.Step
) -> None:
    pending = state.calls.pop(event.call_id, None)
    if pending is None:
        return
    step.trace = pending.trace
    dispatch.failed(pending.context, state, step, event.failure)


@_apply.register
def _(event: events.Tick, state: state_lib.State, step: dispatch.Step) -> None:
    for tick in TICKS:
        tick(state, step)


@_apply.register
def _(
    event: events.Stalled, state: state_lib.State, step: dispatch.Step
) -> None:
    stalls.stalled(state, step, event.stall_s)


@_apply.register
def _(
    event: events.StopRequested, state: state_lib.State, step: dispatch.Step
) -> None:
    drain.request(state, step)
