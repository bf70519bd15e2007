"""Reducer for all events of an instance that schedules batch jobs."""

import functools
from collections.abc import Iterable
from types import ModuleType

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import events
from dandelionpick import reduction
from dandelionpick.batch import catalog_copy
from dandelionpick.batch import configuration
from dandelionpick.batch import departures
from dandelionpick.batch import evacuation_reads
from dandelionpick.batch import evacuations
from dandelionpick.batch import leadership
from dandelionpick.batch import leaving
from dandelionpick.batch import monitoring
from dandelionpick.batch import planned_starts
from dandelionpick.batch import polling
from dandelionpick.batch import renewal
from dandelionpick.batch import requests
from dandelionpick.batch import retention
from dandelionpick.batch import roster
from dandelionpick.batch import run_time_store
from dandelionpick.batch import saving
from dandelionpick.batch import scheduling
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_health
from dandelionpick.batch import takeover
from dandelionpick.batch import target_registry
from dandelionpick.batch import waiting
from dandelionpick.batch import watching

# Imported only because they register message handlers.
HANDLER_MODULES: tuple[ModuleType, ...] = (target_registry, evacuation_reads)

# Run on each tick, in this order: handlers that update the known state come
# before those that make decisions from it.
TICK_HANDLERS: tuple[reduction.Handler, ...] = (
    watching.tick,
    catalog_copy.tick,
    leadership.tick,
    renewal.tick,
    monitoring.tick,
    takeover.tick,
    roster.tick,
    polling.tick,
    evacuations.tick,
    requests.tick,
    departures.tick,
    scheduling.tick,
    saving.tick,
    planned_starts.tick,
    run_time_store.tick,
    waiting.tick,
    retention.tick,
    leaving.tick,
)
# Run after every other event, so that whatever the event has made possible
# starts without waiting for the next tick.
FOLLOW_UP_HANDLERS: tuple[reduction.Handler, ...] = (
    catalog_copy.follow_up,
    takeover.tick,
    roster.follow_up,
    scheduling.tick,
    saving.tick,
    planned_starts.tick,
)


def reduce_guarded(
    state: state_lib.State, event: events.Event
) -> reduction.Reduction:
    """Applies an event and catches the exceptions of its handlers."""
    return reduction.apply_guarded(_handlers(event), state, event)


def _handlers(event: events.Event) -> Iterable[reduction.Handler]:
    if isinstance(event, events.Tick):
        return (_start, *TICK_HANDLERS)
    return (functools.partial(_apply, event), *FOLLOW_UP_HANDLERS)


def _start(state: state_lib.State, step: dispatch.Step) -> None:
    if not state.watches:
        configuration.start(state, step)
        leadership.start(state, step)


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
    dispatch.on_message(event.message, state, step, event.exchange_id)


@_apply.register
def _(
    event: events.Returned, state: state_lib.State, step: dispatch.Step
) -> None:
    pending = dispatch.pop_call(state, step, event.call_id)
    if pending is not None:
        store_health.record_reply(state, step, pending, event.reply)
        dispatch.on_reply(pending.context, state, step, event.reply)


@_apply.register
def _(
    event: events.Failed, state: state_lib.State, step: dispatch.Step
) -> None:
    pending = dispatch.pop_call(state, step, event.call_id)
    if pending is not None:
        store_health.record_reply(state, step, pending, None)
        dispatch.on_failure(pending.context, state, step, event.failure)


@_apply.register
def _(
    event: events.Stalled, state: state_lib.State, step: dispatch.Step
) -> None:
    # Deadlines are checked against a clock that keeps running during the stall,
    # and targets that a successor has listed refuse the orders of a scheduler
    # that was replaced in the meantime. The others would obey it.
    renewal.verify_after_suspension(state, step)
    step.note(
        effects.Component.SCHEDULER,
        f"event loop stalled for {event.stall_s:.1f} s",
        warning=True,
    )


@_apply.register
def _(
    event: events.StopRequested, state: state_lib.State, step: dispatch.Step
) -> None:
    leaving.request_shutdown(state, step)
