"""The queue of an instance's edits; the one at its head is in progress."""

import dataclasses

from dandelionpick import configuration
from dandelionpick import dispatch
from dandelionpick import edit_replies
from dandelionpick import edit_state
from dandelionpick import errors
from dandelionpick import operator_messages
from dandelionpick import state as state_lib
from dandelionpick import store_messages


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRead:
    """Context of an attempt's read of the document from the store."""

    edit: edit_state.PendingEdit
    attempt: int
    sent_s: float


def is_current(
    state: state_lib.State,
    edit: edit_state.PendingEdit,
    attempt: int,
    phase: edit_state.Phase,
) -> bool:
    """Returns whether an attempt is still waiting for the reply to a call."""
    queue = state.edits.queue
    return (
        bool(queue)
        and queue[0] is edit
        and edit.attempt == attempt
        and edit.phase is phase
    )


def start_next(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts an attempt of the edit at the head of the queue."""
    if not state.edits.queue:
        return
    edit = state.edits.queue[0]
    if (
        edit.phase is not edit_state.Phase.WAITING
        or step.moment.now_s < edit.next_attempt_s
    ):
        return
    if state.members.list_read_s == float("-inf"):
        return
    edit.attempt += 1
    edit.phase = edit_state.Phase.READING
    step.trace = edit.trace
    dispatch.call(
        state,
        step,
        state.store(),
        store_messages.Read(configuration.DOCUMENT_KEY),
        DocumentRead(edit, edit.attempt, step.moment.now_s),
        state.limits.call_timeout_s,
    )


def retry(
    step: dispatch.Step, edit: edit_state.PendingEdit, delay_s: float
) -> None:
    """Starts another attempt of an edit after a jittered delay."""
    edit.phase = edit_state.Phase.WAITING
    edit.next_attempt_s = step.moment.now_s + delay_s * (
        0.5 + step.moment.random_value
    )


def accept(
    state: state_lib.State,
    step: dispatch.Step,
    edit: edit_state.PendingEdit,
    revision: int,
) -> None:
    """Moves an edit that is in the store to the accepted edits."""
    state.edits.queue.remove(edit)
    state.edits.accepted.append(
        edit_state.AcceptedEdit(
            exchange_id=edit.exchange_id,
            edit_id=edit.message.edit_id,
            revision=revision,
            reply_deadline_s=step.moment.now_s + edit_replies.IN_FORCE_WAIT_S,
            repeated=not edit.write_sent,
        )
    )
    edit_replies.answer_accepted(state, step)


def refuse(
    state: state_lib.State,
    step: dispatch.Step,
    edit: edit_state.PendingEdit,
    problem: errors.Problem,
) -> None:
    """Answers an edit with a problem and removes it from the queue."""
    state.edits.queue.remove(edit)
    refused = operator_messages.EditRefused(
        edit_id=edit.message.edit_id,
        problem=problem,
        revision=state.configuration.document.revision,
        unknown=edit.unconfirmed_version is not None,
    )
    step.respond(edit.exchange_id, refused)
