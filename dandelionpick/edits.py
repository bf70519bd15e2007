"""Applies operators' edits of the configuration tree, one at a time.

An attempt reads the document from the store, compares revisions with all
listed peers, applies the edit to the newest document and writes the result on
condition that the version is still the one that was read. Revisions are
compared after the read. If the store is restored from an older copy before the
read, this is noticed because a peer has a higher revision; if it is restored
after the read, the write conflicts. The edit is accepted when the store still
has the write after this instance adopted the document, so that a peer that
compares revisions later finds it.
"""

import dataclasses

from returns.result import Failure

from dandelionpick import adoption
from dandelionpick import configuration
from dandelionpick import dispatch
from dandelionpick import edit_problems
from dandelionpick import edit_queue
from dandelionpick import edit_state
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import membership
from dandelionpick import peer_messages
from dandelionpick import proposals
from dandelionpick import state as state_lib
from dandelionpick import store_messages

RETRY_DELAY_S = 0.3
COMPARE_TIMEOUT_S = 1.0

Phase = edit_state.Phase


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCompared:
    """Context of an attempt's comparison of revisions with a peer."""

    edit: edit_state.PendingEdit
    attempt: int
    peer: ids.InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentWritten:
    """Context of an attempt's write of the edited document.

    Attributes:
        revision: the revision under which the edit is accepted.
        previous_unconfirmed_version: the edit's unconfirmed_version before
            this write.
    """

    edit: edit_state.PendingEdit
    attempt: int
    proposal: proposals.Proposal
    revision: int
    previous_unconfirmed_version: int | None
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteConfirmed:
    """Context of the check that the store still has an attempt's write."""

    edit: edit_state.PendingEdit
    attempt: int
    revision: int


AttemptContext = (
    edit_queue.DocumentRead | PeerCompared | DocumentWritten | WriteConfirmed
)


def _is_current(
    state: state_lib.State, context: AttemptContext, phase: Phase
) -> bool:
    """Returns whether an attempt is still waiting for the reply to a call."""
    return edit_queue.is_current(state, context.edit, context.attempt, phase)


@dispatch.on_reply.register
def _(
    context: edit_queue.DocumentRead,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Value,
) -> None:
    if _is_current(state, context, Phase.READING):
        _compare_with_peers(state, step, context.edit, reply, context.sent_s)


@dispatch.on_failure.register
def _(
    context: edit_queue.DocumentRead,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    if _is_current(state, context, Phase.READING):
        edit_queue.retry(step, context.edit, RETRY_DELAY_S)


def _compare_with_peers(
    state: state_lib.State,
    step: dispatch.Step,
    edit: edit_state.PendingEdit,
    value: store_messages.Value | store_messages.Conflict,
    read_time_s: float,
) -> None:
    """Records the value in the store and asks the peers for their revision."""
    configuration.record_store_value(state, step, value, read_time_s)
    edit.read_version = value.version
    edit.phase = Phase.COMPARING
    edit.pending_peers = set(state.members.peers)
    message = peer_messages.ReadDocument(state.configuration.document.revision)
    for peer_id, peer in state.members.peers.items():
        dispatch.call(
            state,
            step,
            membership.peer_destination(peer.entry),
            message,
            PeerCompared(edit, edit.attempt, peer_id),
            COMPARE_TIMEOUT_S,
        )
    _write_when_compared(state, step, edit)


@dispatch.on_reply.register
def _(
    context: PeerCompared,
    state: state_lib.State,
    step: dispatch.Step,
    reply: peer_messages.Document,
) -> None:
    if reply.text:
        adoption.adopt(state, step, reply.text, context.peer)
    if not _is_current(state, context, Phase.COMPARING):
        return
    edit = context.edit
    if reply.revision > state.configuration.document.revision:
        edit_queue.refuse(
            state,
            step,
            edit,
            edit_problems.invalid_newer_revision(context.peer, reply.revision),
        )
        edit_queue.start_next(state, step)
        return
    edit.pending_peers.discard(context.peer)
    _write_when_compared(state, step, edit)


@dispatch.on_failure.register
def _(
    context: PeerCompared,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    if _is_current(state, context, Phase.COMPARING):
        context.edit.pending_peers.discard(context.peer)
        _write_when_compared(state, step, context.edit)


def _write_when_compared(
    state: state_lib.State, step: dispatch.Step, edit: edit_state.PendingEdit
) -> None:
    """Continues the attempt when every peer has answered or failed to."""
    if edit.pending_peers:
        return
    local = state.configuration
    if local.store_revision > local.document.revision:
        problem = edit_problems.invalid_newer_revision(
            adoption.STORE_SOURCE, local.store_revision
        )
        edit_queue.refuse(state, step, edit, problem)
        edit_queue.start_next(state, step)
        return
    applied_edit = proposals.find_edit(local.document, edit.message)
    if (
        applied_edit is not None
        and local.store_revision < local.document.revision
    ):
        unwritten = proposals.Proposal(
            local.document, local.text, local.organisations
        )
        _write(state, step, edit, unwritten, applied_edit.revision)
        return
    if applied_edit is not None:
        edit_queue.accept(state, step, edit, applied_edit.revision)
        edit_queue.start_next(state, step)
        return
    if edit.unconfirmed_version != edit.read_version:
        # The version has changed and the document lacks the edit, so the
        # unconfirmed write can no longer take effect.
        edit.unconfirmed_version = None
    entries = state.members.entries.values()
    result = proposals.propose(
        local.document, local.organisations, edit.message, entries
    )
    if isinstance(result, Failure):
        problem = edit_problems.with_unconfirmed_write(edit, result.failure())
        edit_queue.refuse(state, step, edit, problem)
        edit_queue.start_next(state, step)
        return
    proposal = result.unwrap()
    _write(state, step, edit, proposal, proposal.document.revision)


def _write(
    state: state_lib.State,
    step: dispatch.Step,
    edit: edit_state.PendingEdit,
    proposal: proposals.Proposal,
    revision: int,
) -> None:
    edit.phase = Phase.WRITING
    context = DocumentWritten(
        edit,
        edit.attempt,
        proposal,
        revision,
        edit.unconfirmed_version,
        step.moment.now_s,
    )
    edit.write_sent = True
    edit.unconfirmed_version = edit.read_version
    step.trace = edit.trace
    dispatch.call(
        state,
        step,
        state.store(),
        store_messages.Write(
            configuration.DOCUMENT_KEY,
            edit.read_version,
            proposal.text,
            f"edit-{edit.message.edit_id}-{edit.attempt}",
        ),
        context,
        state.limits.call_timeout_s,
    )


@dispatch.on_reply.register
def _(
    context: DocumentWritten,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Written | store_messages.Conflict,
) -> None:
    edit = context.edit
    current = _is_current(state, context, Phase.WRITING)
    late_s = step.moment.now_s - context.sent_s - state.limits.call_timeout_s
    if late_s > 0:
        # The reply waited in a paused process. The store may have been
        # restored from an older copy since, so the reply proves nothing.
        if current:
            edit_queue.retry(step, edit, 0.0)
        return
    if isinstance(reply, store_messages.Written):
        configuration.adopt_written(
            state, step, context.proposal, reply.version
        )
        if current:
            _confirm(state, step, context, reply.version)
    elif current:
        edit.attempt += 1
        _compare_with_peers(state, step, edit, reply, context.sent_s)


def _confirm(
    state: state_lib.State,
    step: dispatch.Step,
    context: DocumentWritten,
    version: int,
) -> None:
    """Checks that the store still has the write, now that it is in force.

    If the store was restored from an older copy while the reply was in
    transit, another instance may have compared revisions with this instance
    before the new document was in force here. Its edit would then overwrite
    this one.
    """
    context.edit.phase = Phase.CONFIRMING
    dispatch.call(
        state,
        step,
        state.store(),
        store_messages.Watch(configuration.DOCUMENT_KEY, version, 0.0),
        WriteConfirmed(context.edit, context.attempt, context.revision),
        state.limits.call_timeout_s,
    )


@dispatch.on_reply.register
def _(
    context: WriteConfirmed,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Value | store_messages.Unchanged,
) -> None:
    if not _is_current(state, context, Phase.CONFIRMING):
        return
    if isinstance(reply, store_messages.Unchanged):
        edit_queue.accept(state, step, context.edit, context.revision)
    else:
        edit_queue.retry(step, context.edit, 0.0)
    edit_queue.start_next(state, step)


@dispatch.on_failure.register
def _(
    context: WriteConfirmed,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    if _is_current(state, context, Phase.CONFIRMING):
        edit_queue.retry(step, context.edit, RETRY_DELAY_S)


@dispatch.on_failure.register
def _(
    context: DocumentWritten,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    if not _is_current(state, context, Phase.WRITING):
        return
    if failure is kinds.CallFailure.NOT_SENT:
        context.edit.unconfirmed_version = context.previous_unconfirmed_version
    edit_queue.retry(step, context.edit, RETRY_DELAY_S)
