"""Queues operators' edits, enforces deadlines and answers accepted edits."""

from dandelionpick import dispatch
from dandelionpick import drain
from dandelionpick import edit_problems
from dandelionpick import edit_queue
from dandelionpick import edit_replies
from dandelionpick import edit_state
from dandelionpick import ids
from dandelionpick import operator_messages
from dandelionpick import state as state_lib

# Together with IN_FORCE_WAIT_S, every edit is answered within 10 s.
EDIT_TIMEOUT_S = 7.0


@dispatch.on_message.register
def _(
    message: operator_messages.EditTree,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    problem = edit_problems.check_submission(state, message, step.moment.now_s)
    if problem is not None:
        refused = operator_messages.EditRefused(
            edit_id=message.edit_id,
            problem=problem,
            revision=state.configuration.document.revision,
        )
        step.respond(exchange_id, refused)
        return
    deadline_s = step.moment.now_s + EDIT_TIMEOUT_S
    edit = edit_state.PendingEdit(exchange_id, message, deadline_s, step.trace)
    state.edits.queue.append(edit)
    edit_queue.start_next(state, step)


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Refuses edits past their deadline and answers accepted ones."""
    now_s = step.moment.now_s
    for edit in list(state.edits.queue):
        if now_s >= edit.deadline_s:
            edit_queue.refuse(
                state, step, edit, edit_problems.timed_out(state, edit)
            )
    edit_queue.start_next(state, step)
    edit_replies.answer_accepted(state, step)


@drain.on_leaving
def _finished(state: state_lib.State, step: dispatch.Step) -> bool:
    """Returns whether every edit was answered, so that the process may exit."""
    return not (state.edits.queue or state.edits.accepted)
