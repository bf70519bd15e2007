"""Synchronises the configuration document with the store.

The preferred instance of a failure domain watches the store. The others learn
of new revisions from heartbeats and fetch the document from a peer; they poll
the store only if no peer has recently confirmed their revision.
"""

import dataclasses

import msgspec

from dandelionpick import adoption
from dandelionpick import dispatch
from dandelionpick import document_sync
from dandelionpick import effects
from dandelionpick import kinds
from dandelionpick import membership
from dandelionpick import proposals
from dandelionpick import state as state_lib
from dandelionpick import store_messages
from dandelionpick import tree_state

DOCUMENT_KEY = "config/tree"
# A watch on an unresponsive connection times out after
# WATCH_WAIT_S + WATCH_TIMEOUT_MARGIN_S, well within the 12 s in which an
# accepted edit has to reach every instance.
WATCH_WAIT_S = 4.0
WATCH_TIMEOUT_MARGIN_S = 1.5
STORE_RETRY_S = 1.0
POLL_PERIOD_S = 5.0
# The confirmation that a healthy watcher passes on is at most one watch and one
# heartbeat period old.
STALE_AFTER_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreWatched:
    """Context of a watch or poll of the document in the store."""

    sent_s: float
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RepairWritten:
    """Context of a write of this instance's document over an older one."""

    revision: int


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Queries the store and fetches the document from peers when due."""
    now_s = step.moment.now_s
    configuration = state.configuration
    document_sync.update_confirmed_time(state, now_s)
    configuration.age_s = now_s - configuration.confirmed_s
    if (
        not configuration.store_call_pending
        and now_s >= configuration.next_store_call_s
    ):
        _query_store(state, step)
    document_sync.fetch_if_behind(state, step)


def _query_store(state: state_lib.State, step: dispatch.Step) -> None:
    """Watches the store if this instance is the preferred one.

    Other instances poll it if no peer has confirmed their revision recently.
    """
    now_s = step.moment.now_s
    configuration = state.configuration
    preferred = membership.preferred_instance(state, now_s)
    if preferred == state.identity.instance:
        _watch(state, step, WATCH_WAIT_S)
    elif configuration.age_s > STALE_AFTER_S:
        jitter = 0.9 + 0.2 * step.moment.random_value
        configuration.next_store_call_s = now_s + POLL_PERIOD_S * jitter
        _watch(state, step, 0.0)


def _watch(state: state_lib.State, step: dispatch.Step, wait_s: float) -> None:
    state.configuration.store_call_pending = True
    dispatch.call(
        state,
        step,
        state.store(),
        store_messages.Watch(
            DOCUMENT_KEY, state.configuration.store_version, wait_s
        ),
        StoreWatched(step.moment.now_s, wait_s),
        wait_s + WATCH_TIMEOUT_MARGIN_S,
    )


@dispatch.on_reply.register
def _(
    context: StoreWatched,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Value | store_messages.Unchanged,
) -> None:
    configuration = state.configuration
    configuration.store_call_pending = False
    if isinstance(reply, store_messages.Value):
        previous = configuration.document
        record_store_value(
            state, step, reply, _read_time_s(context, step.moment.now_s)
        )
        _raise_revision_if_replaced(state, step, previous)
    elif reply.version == configuration.store_version:
        _confirm(state, step, context.sent_s + context.wait_s)
    repair_stale_store(state, step)


def _raise_revision_if_replaced(
    state: state_lib.State, step: dispatch.Step, previous: tree_state.Document
) -> None:
    """Raises the revision after adopting another document with the same one.

    Peers that have the replaced document notice a change only by a higher
    revision. The repair that follows writes the new revision to the store.
    """
    configuration = state.configuration
    adopted = configuration.document
    if (
        previous.revision == 0
        or adopted is previous
        or adopted.revision != previous.revision
    ):
        return
    raised = proposals.raise_revision(adopted)
    adoption.put_in_force(
        state,
        step,
        raised,
        msgspec.json.encode(raised).decode(),
        configuration.organisations,
        adoption.STORE_SOURCE,
    )


def _read_time_s(context: StoreWatched, now_s: float) -> float:
    """Returns a conservative estimate of when a changed value was read.

    A reply that is delivered after its timeout waited in a paused process, so
    only the time of the call is certain.
    """
    if now_s - context.sent_s > context.wait_s + WATCH_TIMEOUT_MARGIN_S:
        return context.sent_s
    return max(context.sent_s, now_s - WATCH_TIMEOUT_MARGIN_S)


@dispatch.on_failure.register
def _(
    context: StoreWatched,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    configuration = state.configuration
    configuration.store_call_pending = False
    retry_s = step.moment.now_s + STORE_RETRY_S * (
        0.5 + step.moment.random_value
    )
    configuration.next_store_call_s = max(
        retry_s, configuration.next_store_call_s
    )


def record_store_value(
    state: state_lib.State,
    step: dispatch.Step,
    value: store_messages.Value | store_messages.Conflict,
    read_time_s: float,
) -> None:
    """Records the value in the store and adopts it if it is newer.

    Args:
        state: the reducer's state.
        step: the current step.
        value: the document as the store returned it.
        read_time_s: monotonic time at which the store had this value.
    """
    configuration = state.configuration
    configuration.store_version = value.version
    if value.value is None:
        configuration.store_revision = 0
    elif value.value == configuration.text:
        configuration.store_revision = configuration.document.revision
    else:
        configuration.store_revision = adoption.adopt_from_store(
            state, step, value.value
        )
    _confirm(state, step, read_time_s)


def _confirm(
    state: state_lib.State, step: dispatch.Step, read_time_s: float
) -> None:
    """Updates `confirmed_s` if the store had this instance's revision."""
    configuration = state.configuration
    if configuration.store_revision != configuration.document.revision:
        return
    read_time_s = min(read_time_s, step.moment.now_s)
    configuration.confirmed_s = max(configuration.confirmed_s, read_time_s)


def record_write(
    state: state_lib.State, step: dispatch.Step, version: int, revision: int
) -> None:
    """Records a successful write of this instance."""
    state.configuration.store_version = version
    state.configuration.store_revision = revision
    _confirm(state, step, step.moment.now_s)


def adopt_written(
    state: state_lib.State,
    step: dispatch.Step,
    proposal: proposals.Proposal,
    version: int,
) -> None:
    """Adopts an edited document that was written to the store."""
    revision = proposal.document.revision
    if revision > state.configuration.document.revision:
        adoption.put_in_force(
            state,
            step,
            proposal.document,
            proposal.text,
            proposal.organisations,
            adoption.STORE_SOURCE,
        )
    record_write(state, step, version, revision)


def repair_stale_store(state: state_lib.State, step: dispatch.Step) -> None:
    """Writes this instance's document back if the store has a lower revision.

    The store was then restored from an older copy or lost the document. Acting
    on a stale read is safe, because the write is conditional on its version.
    """
    configuration = state.configuration
    current_revision = configuration.document.revision
    if (
        configuration.repair_pending
        or configuration.store_revision >= current_revision
    ):
        return
    configuration.repair_pending = True
    step.note(
        effects.Component.CONFIGURATION,
        f"the store has revision {configuration.store_revision}, writing"
        f" revision {current_revision} back",
        warning=True,
    )
    write = store_messages.Write(
        DOCUMENT_KEY,
        configuration.store_version,
        configuration.text,
        f"repair-{state.incarnation}-{state.calls_made}",
    )
    dispatch.call(
        state,
        step,
        state.store(),
        write,
        RepairWritten(current_revision),
        state.limits.call_timeout_s,
    )


@dispatch.on_reply.register
def _(
    context: RepairWritten,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Written | store_messages.Conflict,
) -> None:
    state.configuration.repair_pending = False
    if isinstance(reply, store_messages.Written):
        record_write(state, step, reply.version, context.revision)
        return
    record_store_value(state, step, reply, step.moment.now_s)
    repair_stale_store(state, step)


@dispatch.on_failure.register
def _(
    context: RepairWritten,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    """Leaves the repair to the next watch or poll."""
    state.configuration.repair_pending = False
