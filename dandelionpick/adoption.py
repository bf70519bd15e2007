"""Puts a configuration document in force and announces it to the peers."""

import msgspec
from returns.result import Failure

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import membership
from dandelionpick import state as state_lib
from dandelionpick import tree
from dandelionpick import tree_state

STORE = "the store"

_decoder = msgspec.json.Decoder(tree_state.Document)


class _Numbered(msgspec.Struct):
    revision: tree_state.Revision


_number_decoder = msgspec.json.Decoder(_Numbered)


def parse(text: str) -> tree_state.Document | None:
    """Decodes a document; None if it is malformed. The tree is not checked."""
    try:
        return _decoder.decode(text)
    except (msgspec.DecodeError, RecursionError):
        return None


def revision_of(text: str) -> int:
    """Returns the revision of a document that may be malformed, or 0."""
    try:
        return _number_decoder.decode(text).revision
    except (msgspec.DecodeError, RecursionError):
        return 0


def adopt(
    state: state_lib.State, step: dispatch.Step, text: str, source: str
) -> None:
    """Puts a valid document in force if its revision is the highest seen.

    Args:
        state: the reducer's state.
        step: the current step.
        text: the document as JSON.
        source: id of the peer that it came from.
    """
    document = parse(text)
    if document is None:
        _reject(state, step, source, revision_of(text), "it is malformed")
    elif document.revision > state.configuration.document.revision:
        _check_and_adopt(state, step, document, text, source)


def take_from_store(
    state: state_lib.State, step: dispatch.Step, text: str
) -> int:
    """Adopts the store's document if it is valid and not lower.

    A different document with an equal revision is adopted too, so that all
    instances agree. It exists only after the store was restored from an older
    copy and edited while this instance was unreachable.

    Returns:
        The revision that the store has; 0 if its document has to be replaced
        because it is invalid and not higher than the one in force.
    """
    held = state.configuration.document.revision
    document = parse(text)
    if document is None:
        revision = revision_of(text)
        _reject(state, step, STORE, revision, "it is malformed")
        return revision if revision > held else 0
    if document.revision < held or document == state.configuration.document:
        return document.revision
    valid = _check_and_adopt(state, step, document, text, STORE)
    return document.revision if valid or document.revision > held else 0


def put_in_force(
    state: state_lib.State,
    step: dispatch.Step,
    document: tree_state.Document,
    text: str,
    organisations: tree.Organisations,
    source: str,
) -> None:
    """Replaces the document in force with a checked one and announces it."""
    configuration = state.configuration
    _note_lost_edits(step, configuration.document, document)
    configuration.document = document
    configuration.text = text
    configuration.organisations = organisations
    configuration.rejected.clear()
    step.note(
        effects.Part.CONFIGURATION,
        f"revision {document.revision} from {source} is in force",
    )
    announce(state, step, own_domain_only=source != STORE)


def announce(
    state: state_lib.State, step: dispatch.Step, own_domain_only: bool
) -> None:
    """Sends a heartbeat at once to peers that have a lower revision.

    An instance that learned a revision from a peer tells only its own failure
    domain: announcements of every instance to every other one would grow with
    the square of the fleet at each edit.
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
    checked = tree.read(document.tree)
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
        effects.Part.CONFIGURATION,
        f"revision {revision} from {source} is not adopted: {reason}",
        warning=True,
    )


def _note_lost_edits(
    step: dispatch.Step,
    held: tree_state.Document,
    adopted: tree_state.Document,
) -> None:
    """Logs edits in force here that the adopted history does not contain."""
    if not adopted.edits:
        return
    kept = {edit.edit_id for edit in adopted.edits}
    for edit in held.edits:
        if edit.edit_id in kept or edit.revision < adopted.edits[0].revision:
            continue
        step.note(
            effects.Part.CONFIGURATION,
            f"edit {edit.edit_id} of {edit.operator or 'unnamed operator'}"
            f" (revision {edit.revision}) is lost: the store was restored"
            " from an older copy and edited; submit the edit again",
            warning=True,
        )
