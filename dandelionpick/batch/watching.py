"""Lists and watches key prefixes in the store, and dispatches the changes."""

import dataclasses
import functools
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import kinds
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import watches

# Pause after a call that the store refused or did not answer; short compared
# with the 2.5 s within which a new configuration has to be in force.
RETRY_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class WatchContext:
    """Context of a call for a watch.

    Attributes:
        kind: type of the watch.
        generation: generation of the watch at the time of the call.
        sent_s: when the call was sent.
    """

    kind: type
    generation: int
    sent_s: float


@functools.singledispatch
def apply_item(
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    """Applies an item that was listed or has changed."""
    raise TypeError(f"no handler for items of {type(watch).__name__}")


@functools.singledispatch
def apply_removal(
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
) -> None:
    """Applies the removal of an item."""
    raise TypeError(f"no handler for removals of {type(watch).__name__}")


@functools.singledispatch
def apply_listed(
    watch: watches.Watch, state: state_lib.State, step: dispatch.Step
) -> None:
    """Runs when all pages of the prefix have been applied."""


def start(
    state: state_lib.State, step: dispatch.Step, watch: watches.Watch
) -> None:
    """Adds a watch and lists its prefix, replacing one of the same type."""
    earlier = state.watches.get(type(watch))
    watch.generation = earlier.generation + 1 if earlier else 1
    state.watches[type(watch)] = watch
    _send_call(state, step, watch)


def stop(state: state_lib.State, kind: type) -> None:
    """Stops a watch; the reply to its call in progress is ignored."""
    watch = state.watches.get(kind)
    if watch is not None:
        watch.pending = True
        watch.generation += 1


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Sends the calls that are due."""
    for watch in state.watches.values():
        if not watch.pending and step.moment.now_s >= watch.retry_at_s:
            _send_call(state, step, watch)


def refresh(
    state: state_lib.State, step: dispatch.Step, watch: watches.Watch
) -> None:
    """Lists the prefix again immediately."""
    watch.generation += 1
    _restart_listing(watch)
    _send_call(state, step, watch)


def confirmed_s(state: state_lib.State, kind: type) -> float:
    """Returns the time at which the applied items of a watch were complete."""
    watch = state.watches.get(kind)
    return watch.confirmed_s if watch else float("-inf")


def _restart_listing(watch: watches.Watch) -> None:
    watch.listed = False
    watch.last_listed_key = ""
    watch.listed_keys = set()


def _retry_later(watch: watches.Watch, step: dispatch.Step) -> None:
    """Plans the next call after one that failed or was refused."""
    if watch.relists:
        _restart_listing(watch)
    watch.retry_at_s = step.moment.now_s + RETRY_S * (
        0.5 + step.moment.random_value
    )


def _send_call(
    state: state_lib.State, step: dispatch.Step, watch: watches.Watch
) -> None:
    watch.pending = True
    context = WatchContext(type(watch), watch.generation, step.moment.now_s)
    message: Any
    if watch.listed:
        message = store_api.Watch(watch.prefix, watch.revision, watch.wait_s)
    else:
        message = store_api.List(watch.prefix, watch.last_listed_key)
    # The platform adapter derives the timeout of a Watch from its wait_s.
    timeout_s = watch.wait_s + 1.0 if watch.listed else 1.0
    state_lib.call_store(state, step, message, context, timeout_s)


@dispatch.on_reply.register
def _(
    context: WatchContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    watch = state.watches.get(context.kind)
    if watch is None or watch.generation != context.generation:
        return
    watch.pending = False
    _handle_reply(reply, watch, state, step, context)


@dispatch.on_failure.register
def _(
    context: WatchContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    watch = state.watches.get(context.kind)
    if watch is None or watch.generation != context.generation:
        return
    watch.pending = False
    _retry_later(watch, step)


@functools.singledispatch
def _handle_reply(
    reply: Any,
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    context: WatchContext,
) -> None:
    raise TypeError(f"no handler for reply {type(reply).__name__}")


@_handle_reply.register
def _(
    reply: store_api.Refused,
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    context: WatchContext,
) -> None:
    _retry_later(watch, step)


@_handle_reply.register
def _(
    reply: store_api.HistoryLost,
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    context: WatchContext,
) -> None:
    step.note(
        effects.Component.STORE,
        f"the store has dropped the history of {watch.prefix} after revision"
        f" {watch.revision}; listing the prefix again",
    )
    _restart_listing(watch)
    _send_call(state, step, watch)


@_handle_reply.register
def _(
    reply: store_api.Listed,
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    context: WatchContext,
) -> None:
    if not watch.last_listed_key:
        watch.listing_revision = reply.revision
        watch.listing_sent_s = context.sent_s
    for item in reply.items:
        watch.listed_keys.add(item.key)
        apply_if_newer(state, step, watch, item)
    if reply.more and reply.items:
        watch.last_listed_key = reply.items[-1].key
        _send_call(state, step, watch)
        return
    for key in set(watch.revisions) - watch.listed_keys:
        _remove(state, step, watch, key)
    watch.listed = True
    watch.listed_keys = set()
    watch.last_listed_key = ""
    watch.revision = watch.listing_revision
    watch.confirmed_s = max(watch.confirmed_s, watch.listing_sent_s)
    apply_listed(watch, state, step)
    if not watch.pending and watch.wait_s > 0:
        _send_call(state, step, watch)
    elif watch.wait_s <= 0:
        watch.pending = True


@_handle_reply.register
def _(
    reply: store_api.Changed,
    watch: watches.Watch,
    state: state_lib.State,
    step: dispatch.Step,
    context: WatchContext,
) -> None:
    for item in reply.items:
        if (item.key, item.revision) in reply.removed:
            _remove(state, step, watch, item.key)
        else:
            apply_if_newer(state, step, watch, item)
    watch.revision = max(watch.revision, reply.revision)
    watch.confirmed_s = max(watch.confirmed_s, context.sent_s)
    if not watch.pending and watch.generation == context.generation:
        _send_call(state, step, watch)


def apply_if_newer(
    state: state_lib.State,
    step: dispatch.Step,
    watch: watches.Watch,
    item: store_api.Item,
) -> None:
    """Applies an item unless a newer revision of it was applied."""
    # A page may be older than a change that was already applied.
    if item.revision <= watch.revisions.get(item.key, 0):
        return
    watch.revisions[item.key] = item.revision
    apply_item(watch, state, step, item)


def _remove(
    state: state_lib.State,
    step: dispatch.Step,
    watch: watches.Watch,
    key: str,
) -> None:
    if watch.revisions.pop(key, None) is not None:
        apply_removal(watch, state, step, key)
