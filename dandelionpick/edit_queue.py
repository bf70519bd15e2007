"""The queue of an instance's edits; its head is being worked on."""

from dandelionpick import dispatch
from dandelionpick import edit_state
from dandelionpick import errors
from dandelionpick import in_force
from dandelionpick import operator_messages
from dandelionpick import state as state_lib


def is_current(
    state: state_lib.State,
    edit: edit_state.PendingEdit,
    attempt: int,
    phase: edit_state.Phase,
) -> bool:
    """Tells whether an attempt still waits for the reply to a call."""
    queue = state.edits.queue
    return (
        bool(queue)
        and queue[0] is edit
        and edit.attempt == attempt
        and edit.phase is phase
    )


def retry(
    step: dispatch.Step, edit: edit_state.PendingEdit, delay_s: float
) -> None:
    """Starts another attempt of an edit after a jittered delay."""
    edit.phase = edit_state.Phase.WAITING
    edit.retry_s = step.moment.now_s + delay_s * (0.5 + step.moment.draw)


def accept(
    state: state_lib.State,
    step: dispatch.Step,
    edit: edit_state.PendingEdit,
    revision: int,
) -> None:
    """Takes an edit that is in the store off the queue."""
    state.edits.queue.remove(edit)
    state.edits.accepted.append(
        edit_state.AcceptedEdit(
            exchange_id=edit.exchange_id,
            edit_id=edit.message.edit_id,
            revision=revision,
            answer_s=step.moment.now_s + in_force.IN_FORCE_WAIT_S,
            repeated=not edit.wrote,
        )
    )
    in_force.answer_accepted(state, step)


def refuse(
    state: state_lib.State,
    step: dispatch.Step,
    edit: edit_state.PendingEdit,
    problem: errors.Problem,
) -> None:
    """Answers an edit with a problem and takes it off the queue."""
    state.edits.queue.remove(edit)
    refused = operator_messages.EditRefused(
        edit_id=edit.message.edit_id,
        problem=problem,
        revision=state.configuration.document.revision,
        unknown=edit.maybe_version is not None,
    )
    step.respond(edit.exchange_id, refused)
