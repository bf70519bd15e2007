"""Reads the configuration from another instance of the region.

The scheduler says from which one (`catalog_sources.py`). The reading instance
keeps a long-poll call open there in place of its watch at the store. It returns
to the store as soon as a call fails, the source can't reach the store, or the
copy was not confirmed for too long.
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
# The same for the first call, as the last confirmation by the store may be old.
FIRST_WAIT_S = 0.3
TIMEOUT_MARGIN_S = 0.6
# A source that other instances read has its own copy confirmed this often.
SOURCE_WATCH_S = 0.5
# If nothing fails, a copy is confirmed every 1.4 s, the time of a watch of the
# source and of a call to it. A change has to be in force after 2.5 s.
MAX_AGE_S = 2.0
# A source is first called when the store has just confirmed the own copy, after
# a watch of 1.2 s, so that the copy is young enough until the source replies.
MAX_START_AGE_S = 1.4
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
    if watch is None:
        return
    age_s = step.moment.now_s - watch.confirmed_s
    if catalog.copying:
        if age_s > MAX_AGE_S:
            reason = f"its copy was not confirmed for {age_s:.1f} s"
            _return_to_store(state, step, watch, reason)
        return
    if (
        not watch.listed
        or not catalog.source
        or age_s > MAX_START_AGE_S
        or step.moment.now_s < catalog.store_until_s
    ):
        return
    watching.stop(state, watches.CatalogWatch)
    catalog.copying = True
    step.note(
        effects.Component.CONFIGURATION,
        f"reading new versions from {catalog.source}",
    )
    _send_call(state, step, watch, FIRST_WAIT_S)


def _send_call(
    state: state_lib.State,
    step: dispatch.Step,
    watch: watches.Watch,
    wait_s: float = WAIT_S,
) -> None:
    source = state.catalog.source
    dispatch.call(
        state,
        step,
        effects.Destination(kinds.Service.PEER, source, source),
        messages.ReadCatalog(state.catalog.revision, wait_s),
        CopyContext(watch.generation, step.moment.now_s),
        wait_s + TIMEOUT_MARGIN_S,
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
    watch = state.watches[watches.CatalogWatch]
    if watch.wait_s != SOURCE_WATCH_S and watch.listed:
        watch.wait_s = SOURCE_WATCH_S
        watching.restart_call(state, step, watch)
    now_s = step.moment.now_s
    state.catalog.readers[exchange_id] = state_lib.CatalogReader(
        message.after_revision, now_s, now_s + min(message.wait_s, WAIT_S)
    )
    follow_up(state, step)


def follow_up(state: state_lib.State, step: dispatch.Step) -> None:
    """Answers the readers that have waited, or lack the current version.

    All are answered once the store fails this instance: the change that they
    wait for might not arrive here.
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
    elif not state.catalog.source:
        _return_to_store(state, step, watch, "the scheduler says so")
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
    watching.restart_call(state, step, watch)
