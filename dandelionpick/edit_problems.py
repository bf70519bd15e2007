"""Problems that are reported for refused edits."""

from dandelionpick import drain
from dandelionpick import edit_state
from dandelionpick import errors
from dandelionpick import operator_messages
from dandelionpick import proposals
from dandelionpick import state as state_lib

MAX_QUEUED_EDITS = 100


def check_submission(
    state: state_lib.State,
    message: operator_messages.EditTree,
    now_s: float,
) -> errors.Problem | None:
    """Returns the problem for which an edit is not queued, or None."""
    if drain.refuses_new_work(state, now_s):
        return errors.Problem(
            errors.ProblemKind.LEAVING,
            "This instance is about to stop and did not apply the edit.",
            "Send the edit again; the balancer will use another instance.",
        )
    if len(state.edits.queue) >= MAX_QUEUED_EDITS:
        return errors.Problem(
            errors.ProblemKind.OVERLOADED,
            f"{MAX_QUEUED_EDITS} edits are already queued; this one was not"
            " applied.",
            "Send the edit again later, or combine several edits into one.",
        )
    return proposals.check_message(message)


def timed_out(
    state: state_lib.State, edit: edit_state.PendingEdit
) -> errors.Problem:
    """Returns the problem of an edit that could not be written in time."""
    if edit.unconfirmed_version is not None:
        return errors.Problem(
            errors.ProblemKind.STORE_UNAVAILABLE,
            "It is unknown whether the edit was applied: the store did not"
            " confirm a write and can't be read.",
            "Send the edit again with the same edit_id until it is answered;"
            " it is applied at most once.",
        )
    if state.members.list_read_s == float("-inf"):
        return errors.Problem(
            errors.ProblemKind.PEER_UNAVAILABLE,
            "The edit was not applied: the instance list was not read yet, so"
            " peers with a higher revision can't be found.",
            "Send the edit again later or to another instance.",
        )
    return errors.Problem(
        errors.ProblemKind.STORE_UNAVAILABLE,
        "The edit was not applied: the store can't be reached or is too slow.",
        "Send the edit again with the same edit_id when the store is back, or"
        " to an instance that reaches it.",
    )


def invalid_newer_revision(source: str, revision: int) -> errors.Problem:
    """Returns the problem of a newer revision that can't be adopted."""
    return errors.Problem(
        errors.ProblemKind.NO_CONFIGURATION,
        f"The edit can't be applied here: {source} has revision {revision},"
        " which this instance rejects as invalid.",
        "Send the edit to an instance that runs the newest version, or"
        " correct the document in the store.",
    )


def with_unconfirmed_write(
    edit: edit_state.PendingEdit, problem: errors.Problem
) -> errors.Problem:
    """Adds to a refusal that an earlier write may still take effect."""
    if edit.unconfirmed_version is None:
        return problem
    return errors.Problem(
        problem.kind,
        f"{problem.message} An earlier write of the edit was not confirmed and"
        " may still take effect.",
        "Send the edit again with the same edit_id to learn its outcome.",
    )
