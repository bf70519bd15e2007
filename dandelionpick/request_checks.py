"""Checks of submitted requests."""

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import state as state_lib
from dandelionpick import submission_checks
from dandelionpick import tree_state

MAX_KEY_CHARACTERS = 128
MAX_DEADLINE_S = 3_600.0
# A shorter deadline does not allow a round trip to an executor.
MIN_DEADLINE_S = 0.01
MAX_KEY_FUTURE_MS = 60_000


def submission_problem(
    state: state_lib.State,
    message: caller_messages.SubmitRequest,
    unix_ms: int,
) -> errors.Problem | None:
    """Returns the problem of a submission, or None."""
    problem = (
        _numeric_problem(message)
        or key_problem(message.key)
        or submission_checks.class_problem(state, message)
    )
    if problem is not None:
        return problem
    organisation = state.configuration.organisations[message.organisation]
    job_class = organisation.classes[message.job_class]
    return _class_limit_problem(message, job_class, unix_ms)


def _numeric_problem(
    message: caller_messages.SubmitRequest,
) -> errors.Problem | None:
    if message.attempt < 1:
        return errors.Problem(
            errors.ProblemKind.MALFORMED,
            f"Attempt {message.attempt} is below 1.",
            "Number the submissions of a key from 1.",
        )
    if not message.deadline_s >= MIN_DEADLINE_S:
        return errors.Problem(
            errors.ProblemKind.DEADLINE_TOO_SHORT,
            f"The deadline of {message.deadline_s} s is below"
            f" {MIN_DEADLINE_S} s.",
            "Set a longer deadline.",
        )
    if message.deadline_s > MAX_DEADLINE_S:
        return errors.Problem(
            errors.ProblemKind.MALFORMED,
            f"The deadline of {message.deadline_s} s is above"
            f" {MAX_DEADLINE_S} s.",
            "Submit long work as a job.",
        )
    return None


def key_problem(key: ids.RequestKey) -> errors.Problem | None:
    """Returns the problem of the form of a key, or None."""
    printable = key.isascii() and key.isprintable()
    if printable and 1 <= len(key) <= MAX_KEY_CHARACTERS:
        return None
    return errors.Problem(
        errors.ProblemKind.KEY_INVALID,
        "The key is not 1 to 128 printable ASCII characters.",
        "Use another key, for example a UUIDv7.",
    )


def _class_limit_problem(
    message: caller_messages.SubmitRequest,
    job_class: tree_state.JobClass,
    unix_ms: int,
) -> errors.Problem | None:
    size = len(message.body)
    if size > job_class.max_body_bytes:
        return errors.Problem(
            errors.ProblemKind.BODY_TOO_LARGE,
            f"The body has {size} bytes; class"
            f' "{message.job_class}" allows {job_class.max_body_bytes}.',
            "Send a smaller body, or ask the operators to raise the limit.",
        )
    if job_class.idempotent:
        return None
    time_ms = ids.key_timestamp_ms(message.key)
    if time_ms is None:
        return errors.Problem(
            errors.ProblemKind.KEY_INVALID,
            f'Class "{message.job_class}" is not idempotent and the key is not'
            " a UUIDv7.",
            "Use a UUIDv7 in lower case with hyphens as the key.",
        )
    if time_ms - unix_ms > MAX_KEY_FUTURE_MS:
        return errors.Problem(
            errors.ProblemKind.KEY_INVALID,
            "The key's timestamp is more than 60 s in the future.",
            "Correct the clock that the key was made with.",
        )
    return None
