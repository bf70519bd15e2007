"""Lists and watches prefixes of the store, and hands changes on."""

import dataclasses
import functools
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import kinds
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import watches

# Pause after a call that the store refused or did not answer; short against
# the 2.5 s in which a configuration has to be in force.
RETRY_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class WatchContext:
    """Which watch a call belongs to, and when it was sent."""

    kind: type
    serial: int
    sent_s: float


@functools.singledispatch
def apply_item(
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    """Takes an item that was listed or has changed."""
    raise TypeError(f"no handler for items of {type(watch).__name__}")


@functools.singledispatch
def apply_removal(
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
) -> None:
    """Takes the removal of an item."""
    raise TypeError(f"no handler for removals of {type(watch).__name__}")


@functools.singledispatch
def apply_listed(
    watch: watches.Watch, state: state_lib.State, step: dispatch.Step
) -> None:
    """Takes note that the whole prefix was read."""


def start(
    state: state_lib.State, step: dispatch.Step, watch: watches.Watch
) -> None:
    """Adds a watch and lists its prefix, replacing one of the same type."""
    earlier = state.watches.get(type(watch))
    watch.serial = earlier.serial + 1 if earlier else 1
    state.watches[type(watch)] = watch
    _issue(state, step, watch)


def stop(state: state_lib.State, kind: type) -> None:
    """Ends a watch; its call in progress is ignored."""
    watch = state.watches.get(kind)
    if watch is not None:
        watch.pending = True
        watch.serial += 1


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Issues the calls that are due."""
    for watch in state.watches.values():
        if not watch.pending and step.moment.now_s >= watch.retry_s:
            _issue(state, step, watch)


def refresh(
    state: state_lib.State, step: dispatch.Step, watch: watches.Watch
) -> None:
    """Reads the prefix again at once."""
    watch.serial += 1
    _relist(watch)
    _issue(state, step, watch)


def confirmed_s(state: state_lib.State, kind: type) -> float:
    """Returns when what is known of a prefix was complete."""
    watch = state.watches.get(kind)
    return watch.confirmed_s if watch else float("-inf")


def _relist(watch: watches.Watch) -> None:
    watch.listed = False
    watch.page_after = ""
    watch.seen = set()


def _issue(
    state: state_lib.State, step: dispatch.Step, watch: watches.Watch
) -> None:
    watch.pending = True
    context = WatchContext(type(watch), watch.serial, step.moment.now_s)
    message: Any
    if watch.listed:
        message = store_api.Watch(watch.prefix, watch.revision, watch.wait_s)
    else:
        message = store_api.List(watch.prefix, watch.page_after)
    # The adapter bounds the time of a watch by its wait.
    timeout_s = watch.wait_s + 1.0 if watch.listed else 1.0
    state_lib.call_store(state, step, message, context, timeout_s)


@dispatch.returned.register
def _(
    context: WatchContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    watch = state.watches.get(context.kind)
    if watch is None or watch.serial != context.serial:
        return
    watch.pending = False
    _take(reply, watch, state, step, context)


@dispatch.failed.register
def _(
    context: WatchContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    watch = state.watches.get(context.kind)
    if watch is None or watch.serial != context.serial:
        return
    watch.pending = False
    watch.retry_s = step.moment.now_s + RETRY_S * (0.5 + step.moment.draw)


@functools.singledispatch
def _take(
    reply: Any,
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    context: WatchContext,
) -> None:
    raise TypeError(f"no handler for reply {type(reply).__name__}")


@_take.register
def _(
    reply: store_api.Refused,
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    context: WatchContext,
) -> None:
    watch.retry_s = step.moment.now_s + RETRY_S * (0.5 + step.moment.draw)


@_take.register
def _(
    reply: store_api.HistoryLost,
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    context: WatchContext,
) -> None:
    step.note(
        effects.Part.STORE,
        f"history of {watch.prefix} lost after revision {watch.revision};"
        " listing it again",
    )
    _relist(watch)
    _issue(state, step, watch)


@_take.register
def _(
    reply: store_api.Listed,
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    context: WatchContext,
) -> None:
    _note_rtt(state, context, step.moment.now_s)
    if not watch.page_after:
        watch.first_revision = reply.revision
    for item in reply.items:
        watch.seen.add(item.key)
        take_item(state, step, watch, item)
    if reply.more and reply.items:
        watch.page_after = reply.items[-1].key
        _issue(state, step, watch)
        return
    for key in set(watch.known) - watch.seen:
        _removal(state, step, watch, key)
    watch.listed = True
    watch.seen = set()
    watch.page_after = ""
    watch.revision = watch.first_revision
    watch.confirmed_s = max(watch.confirmed_s, context.sent_s)
    apply_listed(watch, state, step)
    if not watch.pending and watch.wait_s > 0:
        _issue(state, step, watch)
    elif watch.wait_s <= 0:
        watch.pending = True


@_take.register
def _(
    reply: store_api.Changed,
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    context: WatchContext,
) -> None:
    for item in reply.items:
        if item.key in reply.removed and not item.value:
            _removal(state, step, watch, item.key)
        else:
            take_item(state, step, watch, item)
    watch.revision = max(watch.revision, reply.revision)
    watch.confirmed_s = max(watch.confirmed_s, context.sent_s)
    if not watch.pending and watch.serial == context.serial:
        _issue(state, step, watch)


def _note_rtt(
    state: state_lib.State, context: WatchContext, now_s: float
) -> None:
    health = state.store_health
    health.best_rtt_s = min(health.best_rtt_s, now_s - context.sent_s)


def take_item(
    state: state_lib.State,
    step: dispatch.Step,
    watch: watches.Watch,
    item: store_api.Item,
) -> None:
    """Applies an item unless a newer one is known."""
    # A page may be older than a change that was already seen.
    if item.revision <= watch.known.get(item.key, 0):
        return
    watch.known[item.key] = item.revision
    apply_item(watch, state, step, item)


def _removal(
    state: state_lib.State,
    step: dispatch.Step,
    watch: watches.Watch,
    key: str,
) -> None:
    if watch.known.pop(key, None) is not None:
        apply_removal(watch, state, step, key)
