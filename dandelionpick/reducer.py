"""The reducer of an entry instance: applies every event to its state."""

import functools
from collections.abc import Sequence
from types import ModuleType

from dandelionpick import cancel
from dandelionpick import claim_sweep
from dandelionpick import claims
from dandelionpick import configuration
from dandelionpick import dispatch
from dandelionpick import drain
from dandelionpick import edit_intake
from dandelionpick import edits
from dandelionpick import effects
from dandelionpick import events
from dandelionpick import forwarding
from dandelionpick import hedging
from dandelionpick import job_lookup
from dandelionpick import jobs
from dandelionpick import lanes
from dandelionpick import listing
from dandelionpick import lookup
from dandelionpick import membership
from dandelionpick import operator_reads
from dandelionpick import quarantine
from dandelionpick import reduction
from dandelionpick import requests
from dandelionpick import schedule
from dandelionpick import shedding
from dandelionpick import stalls
from dandelionpick import state as state_lib
from dandelionpick import targets

# Imported only because they register message handlers.
MESSAGE_HANDLER_MODULES: tuple[ModuleType, ...] = (
    cancel,
    edits,
    job_lookup,
    jobs,
    operator_reads,
)

# Run in this order on each tick: the handlers that refresh the state come
# before those that make decisions.
TICK_HANDLERS = (
    listing.tick,
    membership.tick,
    configuration.tick,
    edit_intake.tick,
    claims.tick,
    targets.tick,
    quarantine.tick,
    lanes.tick,
    requests.tick,
    forwarding.tick,
    shedding.tick,
    hedging.tick,
    lookup.tick,
    schedule.tick,
    claim_sweep.tick,
    drain.tick,
)


def reduce(state: state_lib.State, event: events.Event) -> list[effects.Effect]:
    """Applies an event to the state, in place.

    Args:
        state: the state of one instance.
        event: what happened, with its time and a random number.

    Returns:
        The effects to perform, in order.
    """
    step = dispatch.Step(event.moment)
    for handler in _handlers(event):
        handler(state, step)
    return step.emitted


def reduce_guarded(
    state: state_lib.State, event: events.Event
) -> reduction.Reduction:
    """Applies an event; returns the effects and the handlers' exceptions."""
    return reduction.apply_guarded(_handlers(event), state, event)


def _handlers(event: events.Event) -> Sequence[reduction.Handler]:
    if isinstance(event, events.Tick):
        return TICK_HANDLERS
    return (functools.partial(_apply_event, event),)


@functools.singledispatch
def _apply_event(
    event: events.Event, state: state_lib.State, step: dispatch.Step
) -> None:
    raise TypeError(f"no handler for event {type(event).__name__}")


@_apply_event.register
def _(
    event: events.Received, state: state_lib.State, step: dispatch.Step
) -> None:
    step.trace = event.trace
    dispatch.on_message(event.message, state, step, event.exchange_id)


@_apply_event.register
def _(
    event: events.Returned, state: state_lib.State, step: dispatch.Step
) -> None:
    pending = dispatch.pop_call(state, step, event.call_id)
    if pending is None:
        return
    membership.record_target_reply(
        state, pending.destination, event.moment.now_s
    )
    dispatch.on_reply(pending.context, state, step, event.reply)


@_apply_event.register
def _(
    event: events.Failed, state: state_lib.State, step: dispatch.Step
) -> None:
    pending = dispatch.pop_call(state, step, event.call_id)
    if pending is None:
        return
    dispatch.on_failure(pending.context, state, step, event.failure)


@_apply_event.register
def _(
    event: events.Stalled, state: state_lib.State, step: dispatch.Step
) -> None:
    stalls.stalled(state, step, event.stall_s)
    schedule.stalled(state, step, event.stall_s)
    claims.mark_buckets_stale(state)


@_apply_event.register
def _(
    event: events.StopRequested, state: state_lib.State, step: dispatch.Step
) -> None:
    drain.request(state, step)
