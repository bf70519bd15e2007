"""Problems of requests, as callers see them."""

from dandelionpick import errors


def task_failed() -> errors.Problem:
    """Builds the problem of a task that ran and failed."""
    return errors.Problem(
        errors.ProblemKind.TASK_FAILED,
        "The task ran and reported a failure; the body is its output.",
        "Read the output, correct the input and use a new key.",
    )


def store_unavailable() -> errors.Problem:
    """Builds the problem of a claim that the store did not confirm."""
    return errors.Problem(
        errors.ProblemKind.STORE_UNAVAILABLE,
        "The configuration store did not confirm the claim in time.",
        "Submit the key again with a higher attempt.",
    )


def target_lost() -> errors.Problem:
    """Builds the problem of a task whose executor can't tell its outcome."""
    return errors.Problem(
        errors.ProblemKind.TARGET_LOST,
        "The executor that had the task restarted or no longer has it.",
        "Check the effect of the request by other means before repeating it"
        " under a new key.",
    )


def result_unavailable() -> errors.Problem:
    """Builds the problem of a key whose outcome is not known yet."""
    return errors.Problem(
        errors.ProblemKind.TARGET_LOST,
        "The key is claimed and no response of its task is known.",
        "Fetch again later, or submit the key again with a higher attempt.",
    )


def cancelled() -> errors.Problem:
    """Builds the problem of a cancelled request."""
    return errors.Problem(
        errors.ProblemKind.CANCELLED,
        "The request was cancelled.",
        "Use a new key to run it after all.",
    )


def deadline_passed() -> errors.Problem:
    """Builds the problem of a request without an answer in time."""
    return errors.Problem(
        errors.ProblemKind.DEADLINE_PASSED,
        "The request had no answer by its deadline.",
        "Fetch the answer later, or submit the key again with a higher"
        " attempt.",
    )


def key_reused() -> errors.Problem:
    """Builds the problem of a key that was submitted with two bodies."""
    return errors.Problem(
        errors.ProblemKind.KEY_REUSED,
        "The key was submitted before with another body.",
        "Use a new key for a new request.",
    )


def key_expired() -> errors.Problem:
    """Builds the problem of an expired key without a claim."""
    return errors.Problem(
        errors.ProblemKind.KEY_EXPIRED,
        "The key is older than 24 hours and its claim is gone.",
        "Use a new key for a new request.",
    )


def unknown_key() -> errors.Problem:
    """Builds the problem of a key that no query found."""
    return errors.Problem(
        errors.ProblemKind.UNKNOWN_KEY,
        "No instance, executor or claim knows the key.",
        "Check the key, or submit it again with a higher attempt.",
    )


def lookup_incomplete() -> errors.Problem:
    """Builds the problem of a lookup with failed queries."""
    return errors.Problem(
        errors.ProblemKind.PEER_UNAVAILABLE,
        "No result was found, and not every instance, executor and claim"
        " could be queried.",
        "Fetch again later.",
    )


def executor_unreachable() -> errors.Problem:
    """Builds the problem of an executor that confirmed no tombstone."""
    return errors.Problem(
        errors.ProblemKind.TARGET_LOST,
        "The executor that the key was claimed for can't be reached.",
        "Cancel again later.",
    )


def key_of_job() -> errors.Problem:
    """Builds the problem of cancelling a job as a request."""
    return errors.Problem(
        errors.ProblemKind.KEY_INVALID,
        "The key names a job, not a request.",
        "Cancel it as a job.",
    )


def leaving() -> errors.Problem:
    """Builds the problem of a request unfinished in a graceful shutdown."""
    return errors.Problem(
        errors.ProblemKind.LEAVING,
        "The instance stopped before the request had a result.",
        "Submit the key again with a higher attempt; the balancer will use"
        " another instance.",
    )


def forward_reply_lost() -> errors.Problem:
    """Builds the problem of a forwarded request without a reply."""
    return errors.Problem(
        errors.ProblemKind.TARGET_LOST,
        "The request was forwarded and no reply came back.",
        "Fetch the answer later, or submit the key again with a higher"
        " attempt.",
    )
