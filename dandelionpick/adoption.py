"""Adopts valid configuration documents and announces them to peers."""

import msgspec
from returns.result import Failure

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import membership
from dandelionpick import state as state_lib
from dandelionpick import tree
from dandelionpick import tree_state

STORE_SOURCE = "the store"

_document_decoder = msgspec.json.Decoder(tree_state.Document)


class _RevisionOnly(msgspec.Struct):
    revision: tree_state.Revision


_revision_decoder = msgspec.json.Decoder(_RevisionOnly)


def decode_document(text: str) -> tree_state.Document | None:
    """Decodes a document; None if it is malformed. The tree is not checked."""
    try:
        return _document_decoder.decode(text)
    except (msgspec.DecodeError, RecursionError):
        return None


def decode_revision(text: str) -> int:
    """Returns the revision of a document that may be malformed, or 0."""
    try:
        return _revision_decoder.decode(text).revision
    except (msgspec.DecodeError, RecursionError):
        return 0


def adopt(
    state: state_lib.State, step: dispatch.Step, text: str, source: str
) -> None:
    """Adopts a document if it is valid and newer than the one in force.

    Args:
        state: the reducer's state.
        step: the current step.
        text: the document as JSON.
        source: id of the peer that it came from.
    """
    document = decode_document(text)
    if document is None:
        _reject(state, step, source, decode_revision(text), "it is malformed")
    elif document.revision > state.configuration.document.revision:
        _check_and_adopt(state, step, document, text, source)


def adopt_from_store(
    state: state_lib.State, step: dispatch.Step, text: str
) -> int:
    """Adopts the store's document if it is valid and not older.

    A different document with the same revision is adopted too, so that all
    instances converge. There is one only if the store was restored from an
    older copy and then edited while this instance was unreachable.

    Returns:
        The revision in the store; 0 if the document there has to be
        overwritten because it is invalid and not newer than the one in force.
    """
    current_revision = state.configuration.document.revision
    document = decode_document(text)
    if document is None:
        revision = decode_revision(text)
        _reject(state, step, STORE_SOURCE, revision, "it is malformed")
        return revision if revision > current_revision else 0
    if (
        document.revision < current_revision
        or document == state.configuration.document
    ):
        return document.revision
    valid = _check_and_adopt(state, step, document, text, STORE_SOURCE)
    return (
        document.revision
        if valid or document.revision > current_revision
        else 0
    )


def put_in_force(
    state: state_lib.State,
    step: dispatch.Step,
    document: tree_state.Document,
    text: str,
    organisations: tree.Organisations,
    source: str,
) -> None:
    """Replaces the document in force with a valid one and announces it."""
    configuration = state.configuration
    _log_lost_edits(step, configuration.document, document)
    configuration.document = document
    configuration.text = text
    configuration.organisations = organisations
    configuration.rejected.clear()
    step.note(
        effects.Component.CONFIGURATION,
        f"revision {document.revision} from {source} is in force",
    )
    announce(state, step, own_domain_only=source != STORE_SOURCE)


def announce(
    state: state_lib.State, step: dispatch.Step, own_domain_only: bool
) -> None:
    """Sends a heartbeat at once to peers that have a lower revision.

    An instance that received the revision from a peer notifies only its own
    failure domain: if every instance notified every other one, the messages
    for each edit would grow with the square of the number of instances.
    """
    revision = state.configuration.document.revision
    message = membership.own_heartbeat(state)
    for peer_id, peer in state.members.peers.items():
        domain = peer.entry.failure_domain
        if own_domain_only and domain != state.identity.failure_domain:
            continue
        if peer.heartbeat is not None and peer.heartbeat.revision >= revision:
            continue
        dispatch.call(
            state,
            step,
            membership.peer_destination(peer.entry),
            message,
            membership.HeartbeatSent(peer_id),
            state.limits.call_timeout_s,
        )


def _check_and_adopt(
    state: state_lib.State,
    step: dispatch.Step,
    document: tree_state.Document,
    text: str,
    source: str,
) -> bool:
    """Adopts a document if its tree is valid, and returns whether it is."""
    checked = tree.resolve(document.tree)
    if isinstance(checked, Failure):
        message = checked.failure().message
        _reject(state, step, source, document.revision, message)
        return False
    put_in_force(state, step, document, text, checked.unwrap(), source)
    return True


def _reject(
    state: state_lib.State,
    step: dispatch.Step,
    source: str,
    revision: int,
    reason: str,
) -> None:
    rejected = state.configuration.rejected
    if rejected.get(source) == revision:
        return
    rejected[source] = revision
    step.note(
        effects.Component.CONFIGURATION,
        f"revision {revision} from {source} is not adopted: {reason}",
        warning=True,
    )


def _log_lost_edits(
    step: dispatch.Step,
    replaced: tree_state.Document,
    adopted: tree_state.Document,
) -> None:
    """Logs edits of the replaced document that the adopted one lacks."""
    if not adopted.edits:
        return
    adopted_ids = {edit.edit_id for edit in adopted.edits}
    for edit in replaced.edits:
        if (
            edit.edit_id in adopted_ids
            or edit.revision < adopted.edits[0].revision
        ):
            continue
        step.note(
            effects.Component.CONFIGURATION,
            f"edit {edit.edit_id} of {edit.operator or 'unnamed operator'}"
            f" (revision {edit.revision}) is lost: the store was restored"
            " from an older copy and edited; submit the edit again",
            warning=True,
        )
