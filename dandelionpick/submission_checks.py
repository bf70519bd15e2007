"""Checks shared by submissions of requests and of jobs."""

from dandelionpick import caller_messages
from dandelionpick import drain
from dandelionpick import errors
from dandelionpick import state as state_lib


def leaving_problem(
    state: state_lib.State, now_s: float
) -> errors.Problem | None:
    """Returns the problem of a submission in a graceful shutdown, or None."""
    if not drain.refuses_new_work(state, now_s):
        return None
    return errors.Problem(
        errors.ProblemKind.LEAVING,
        "This instance is about to stop.",
        "Submit it again; the balancer will use another instance.",
    )


def class_problem(
    state: state_lib.State,
    message: caller_messages.SubmitRequest | caller_messages.SubmitJob,
) -> errors.Problem | None:
    """Returns the problem of the organisation or class, or None."""
    if state.configuration.document.revision == 0:
        return errors.Problem(
            errors.ProblemKind.NO_CONFIGURATION,
            "This instance has no configuration yet.",
            "Submit it to an instance that is ready.",
        )
    organisation = state.configuration.organisations.get(message.organisation)
    if organisation is None:
        return errors.Problem(
            errors.ProblemKind.UNKNOWN_ORGANISATION,
            f'Organisation "{message.organisation}" does not exist.',
            "Check the name, or ask the operators to create it in the tree.",
        )
    if message.job_class in organisation.classes:
        return None
    return errors.Problem(
        errors.ProblemKind.UNKNOWN_CLASS,
        f'Organisation "{message.organisation}" has no job class'
        f' "{message.job_class}".',
        "Use one of: " + ", ".join(sorted(organisation.classes)) + ".",
    )
