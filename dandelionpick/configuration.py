"""Keeps the configuration document and the store in step.

The preferred instance of a failure domain watches the store. The others learn
of a revision from heartbeats and fetch the document from a peer; they ask the
store only if no peer vouches for their revision.
"""

import dataclasses

import msgspec

from dandelionpick import adoption
from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import kinds
from dandelionpick import membership
from dandelionpick import proposals
from dandelionpick import relay
from dandelionpick import state as state_lib
from dandelionpick import store_messages
from dandelionpick import tree_state

DOCUMENT_KEY = "config/tree"
# A watch on a connection that became unresponsive is given up after
# WATCH_WAIT_S + WATCH_MARGIN_S, well within the 12 s of an accepted edit.
WATCH_WAIT_S = 4.0
WATCH_MARGIN_S = 1.5
STORE_RETRY_S = 1.0
POLL_PERIOD_S = 5.0
# The age that a healthy watcher relays is at most a watch and a heartbeat.
RELAY_STALE_S = 8.0


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
    """Asks the store and the peers when it is due."""
    now_s = step.moment.now_s
    configuration = state.configuration
    relay.hear_confirmations(state, now_s)
    configuration.age_s = now_s - configuration.confirmed_s
    if (
        not configuration.store_call_pending
        and now_s >= configuration.next_store_call_s
    ):
        _ask_store(state, step)
    relay.fetch_if_behind(state, step)


def _ask_store(state: state_lib.State, step: dispatch.Step) -> None:
    """Watches as the preferred instance; others poll if nothing is relayed."""
    now_s = step.moment.now_s
    configuration = state.configuration
    preferred = membership.preferred_instance(state, now_s)
    if preferred == state.identity.instance:
        _watch(state, step, WATCH_WAIT_S)
    elif configuration.age_s > RELAY_STALE_S:
        jitter = 0.9 + 0.2 * step.moment.draw
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
        wait_s + WATCH_MARGIN_S,
    )


@dispatch.returned.register
def _(
    context: StoreWatched,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Value | store_messages.Unchanged,
) -> None:
    configuration = state.configuration
    configuration.store_call_pending = False
    if isinstance(reply, store_messages.Value):
        held = configuration.document
        record(state, step, reply, _as_of_s(context, step.moment.now_s))
        _join_if_replaced(state, step, held)
    elif reply.version == configuration.store_version:
        _confirm(state, step, context.sent_s + context.wait_s)
    repair_if_lower(state, step)


def _join_if_replaced(
    state: state_lib.State, step: dispatch.Step, held: tree_state.Document
) -> None:
    """Raises the revision if the store had another document with the same one.

    Peers that hold the replaced document learn of a change only by a higher
    revision. repair_if_lower writes it to the store.
    """
    configuration = state.configuration
    taken = configuration.document
    if held.revision == 0 or taken is held or taken.revision != held.revision:
        return
    joined = proposals.join_histories(taken)
    adoption.put_in_force(
        state,
        step,
        joined,
        msgspec.json.encode(joined).decode(),
        configuration.organisations,
        adoption.STORE,
    )


def _as_of_s(context: StoreWatched, now_s: float) -> float:
    """Returns when a changed value was read, as a late estimate of its age.

    A reply that was delivered after its timeout waited in a paused process,
    so only the time of the call is certain.
    """
    if now_s - context.sent_s > context.wait_s + WATCH_MARGIN_S:
        return context.sent_s
    return max(context.sent_s, now_s - WATCH_MARGIN_S)


@dispatch.failed.register
def _(
    context: StoreWatched,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    configuration = state.configuration
    configuration.store_call_pending = False
    retry_s = step.moment.now_s + STORE_RETRY_S * (0.5 + step.moment.draw)
    configuration.next_store_call_s = max(
        retry_s, configuration.next_store_call_s
    )


def record(
    state: state_lib.State,
    step: dispatch.Step,
    value: store_messages.Value | store_messages.Conflict,
    as_of_s: float,
) -> None:
    """Records what the store holds and adopts it if it is higher.

    Args:
        state: the reducer's state.
        step: the current step.
        value: the document as the store returned it.
        as_of_s: monotonic time at which the store had this value.
    """
    configuration = state.configuration
    configuration.store_version = value.version
    if value.value is None:
        configuration.store_revision = 0
    elif value.value == configuration.text:
        configuration.store_revision = configuration.document.revision
    else:
        configuration.store_revision = adoption.take_from_store(
            state, step, value.value
        )
    _confirm(state, step, as_of_s)


def _confirm(
    state: state_lib.State, step: dispatch.Step, as_of_s: float
) -> None:
    """Notes that the store had this instance's revision at a time."""
    configuration = state.configuration
    if configuration.store_revision != configuration.document.revision:
        return
    as_of_s = min(as_of_s, step.moment.now_s)
    configuration.confirmed_s = max(configuration.confirmed_s, as_of_s)


def recorded_write(
    state: state_lib.State, step: dispatch.Step, version: int, revision: int
) -> None:
    """Records that a write of this instance took effect."""
    state.configuration.store_version = version
    state.configuration.store_revision = revision
    _confirm(state, step, step.moment.now_s)


def adopt_written(
    state: state_lib.State,
    step: dispatch.Step,
    proposal: proposals.Proposal,
    version: int,
) -> None:
    """Puts an edited document in force that was written to the store."""
    revision = proposal.document.revision
    if revision > state.configuration.document.revision:
        adoption.put_in_force(
            state,
            step,
            proposal.document,
            proposal.text,
            proposal.organisations,
            adoption.STORE,
        )
    recorded_write(state, step, version, revision)


def repair_if_lower(state: state_lib.State, step: dispatch.Step) -> None:
    """Writes this instance's document back if the store has a lower revision.

    The store was then restored from an older copy or lost the document. A
    stale observation does no harm, because the write expects its version.
    """
    configuration = state.configuration
    held = configuration.document.revision
    if configuration.repair_pending or configuration.store_revision >= held:
        return
    configuration.repair_pending = True
    step.note(
        effects.Part.CONFIGURATION,
        f"the store has revision {configuration.store_revision}, writing"
        f" revision {held} back",
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
        RepairWritten(held),
        state.limits.call_timeout_s,
    )


@dispatch.returned.register
def _(
    context: RepairWritten,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Written | store_messages.Conflict,
) -> None:
    state.configuration.repair_pending = False
    if isinstance(reply, store_messages.Written):
        recorded_write(state, step, reply.version, context.revision)
        return
    record(state, step, reply, step.moment.now_s)
    repair_if_lower(state, step)


@dispatch.failed.register
def _(
    context: RepairWritten,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    """Leaves the repair to the next watch or poll."""
    state.configuration.repair_pending = False
