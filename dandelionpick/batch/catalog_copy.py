"""Reads the configuration from another instance of the region.

The scheduler says from which one (`catalog_sources.py`). The reading instance
keeps a long-poll call open there in place of its watch at the store. It returns
to the store as soon as a call fails, or the store fails the source.
"""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import messages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import watches
from dandelionpick.batch import watching

# How long a call stays open. The source's watch and this wait together stay
# well below the 3.5 s for which keys are accepted without confirmation.
WAIT_S = 0.8
TIMEOUT_MARGIN_S = 0.6
# A source that other instances read has its own copy confirmed this often.
SOURCE_WATCH_S = 0.5
# A source that was not confirmed for this long is left although the store
# serves it. Its readers would slow it down if it is reading a large version.
MAX_READING_AGE_S = 8.0
# The store is watched for at least this long after a source has failed.
STORE_PERIOD_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class CopyContext:
    """Context of a call to a source."""

    generation: int
    sent_s: float


def assign(state: state_lib.State, source: str | None) -> None:
    """Sets the address of the source; "" is the store, None no change."""
    if source is not None:
        state.catalog.source = source


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Answers readers, and reads from the source if there is one."""
    follow_up(state, step)
    catalog = state.catalog
    watch = state.watches.get(watches.CatalogWatch)
    if (
        watch is None
        or not watch.listed
        or catalog.copying
        or not catalog.source
        or step.moment.now_s < catalog.store_until_s
    ):
        return
    watching.stop(state, watches.CatalogWatch)
    catalog.copying = True
    step.note(
        effects.Component.CONFIGURATION,
        f"reading new versions from {catalog.source}",
    )
    _send_call(state, step, watch)


def _send_call(
    state: state_lib.State, step: dispatch.Step, watch: watches.Watch
) -> None:
    source = state.catalog.source
    dispatch.call(
        state,
        step,
        effects.Destination(kinds.Service.PEER, source, source),
        messages.ReadCatalog(state.catalog.revision, WAIT_S),
        CopyContext(watch.generation, step.moment.now_s),
        WAIT_S + TIMEOUT_MARGIN_S,
    )


@dispatch.on_message.register
def _(
    message: messages.ReadCatalog,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    if state.catalog.copying or not state.catalog.value:
        step.respond(exchange_id, messages.NoCatalog())
        return
    state.watches[watches.CatalogWatch].wait_s = SOURCE_WATCH_S
    now_s = step.moment.now_s
    state.catalog.readers[exchange_id] = state_lib.CatalogReader(
        message.after_revision, now_s, now_s + min(message.wait_s, WAIT_S)
    )
    follow_up(state, step)


def follow_up(state: state_lib.State, step: dispatch.Step) -> None:
    """Answers the readers that have waited, or lack the current version.

    All are answered once the store fails this instance: a change may not arrive
    here in time.
    """
    catalog = state.catalog
    now_s = step.moment.now_s
    store_fails = state.store_health.failing_since_s < float("inf")
    is_leaving = state.drain.requested_s is not None
    for exchange_id, reader in list(catalog.readers.items()):
        if is_leaving:
            del catalog.readers[exchange_id]
            step.respond(exchange_id, messages.NoCatalog())
            continue
        is_newer = catalog.revision > reader.after_revision
        if not is_newer and not store_fails and now_s < reader.until_s:
            continue
        del catalog.readers[exchange_id]
        watch = state.watches[watches.CatalogWatch]
        step.respond(
            exchange_id,
            messages.CatalogCopy(
                catalog.revision,
                watch.revision,
                now_s - watch.confirmed_s,
                now_s - reader.received_s,
                catalog.value if is_newer else b"",
                store_fails,
            ),
        )


@dispatch.on_reply.register
def _(
    context: CopyContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    watch = state.watches[watches.CatalogWatch]
    if not state.catalog.copying or watch.generation != context.generation:
        return
    if not isinstance(reply, messages.CatalogCopy):
        _return_to_store(state, step, watch, "it does not watch the store")
        return
    if reply.age_s > MAX_READING_AGE_S:
        reason = f"its copy was not confirmed for {reply.age_s:.1f} s"
        _return_to_store(state, step, watch, reason)
        return
    if not state.catalog.source:
        _return_to_store(state, step, watch, "the scheduler says so")
        return
    if reply.value:
        item = store_api.Item(
            state.formats.catalog_key, reply.value, reply.revision
        )
        watching.apply_if_newer(state, step, watch, item)
    watch.revision = max(watch.revision, reply.watch_revision)
    # The source's copy was confirmed `age_s` before it replied, which was at
    # least `held_s` after the call was sent.
    confirmed_s = context.sent_s + reply.held_s - reply.age_s
    watch.confirmed_s = max(watch.confirmed_s, confirmed_s)
    if reply.store_fails:
        _return_to_store(state, step, watch, "the store fails it")
    else:
        _send_call(state, step, watch)


@dispatch.on_failure.register
def _(
    context: CopyContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    watch = state.watches[watches.CatalogWatch]
    if state.catalog.copying and watch.generation == context.generation:
        _return_to_store(state, step, watch, failure.value)


def _return_to_store(
    state: state_lib.State,
    step: dispatch.Step,
    watch: watches.Watch,
    reason: str,
) -> None:
    """Watches the store again, from the last change that is known."""
    catalog = state.catalog
    step.note(
        effects.Component.CONFIGURATION,
        f"watching the store instead of {catalog.source}: {reason}",
    )
    catalog.copying = False
    catalog.store_until_s = step.moment.now_s + STORE_PERIOD_S
    watch.pending = False
    watching.tick(state, step)
