"""Ends requests of callers, or puts them off."""

from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import kinds
from dandelionpick.batch import messages
from dandelionpick.batch import state as state_lib

# Pause before a request is tried again while a dependency is away; short
# against the 3 s that callers wait.
RETRY_S = 0.1
# A write in doubt is tried again for this long; a takeover, after which the
# scheduler can answer for the caller, takes about as long.
PATIENCE_IN_DOUBT_S = 1.2
# Bounds of Retry-After while the store is away; outages last some seconds.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 8.0


def is_open(state: state_lib.State, request: state_lib.OpenRequest) -> bool:
    """Returns whether a request has no response yet."""
    return request.exchange_id in state.open_requests


def finish(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    reply: messages.Reply,
) -> None:
    """Responds to a request."""
    if state.open_requests.pop(request.exchange_id, None) is None:
        return
    catalog = state.catalog.current
    in_doubt = request.uncertain or request.writes > 0
    if (
        in_doubt
        and isinstance(reply, messages.Refused)
        and isinstance(request.request, messages.Submit)
        and reply.problem.kind is not errors.ProblemKind.KEY_REUSED
    ):
        reply = unknown_outcome()
    version = catalog.version if catalog else 0
    if isinstance(reply, messages.Refused):
        _note_refusal(step, request, reply, version)
    elif isinstance(reply, messages.Accepted) and not request.relayed:
        step.note(
            effects.Part.INTAKE,
            f"{type(request.request).__name__} accepted",
            **_fields(request, step, version),
        )
    if request.relayed:
        step.respond(request.exchange_id, messages.Relayed(reply, version))
    else:
        step.respond(request.exchange_id, reply)


def _note_refusal(
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    reply: messages.Refused,
    version: int,
) -> None:
    step.count("job_refusals_total", reply.problem.kind.value)
    if request.relayed:
        return
    step.note(
        effects.Part.INTAKE,
        f"{type(request.request).__name__} refused: {reply.problem.kind.value}",
        retry_after_s=reply.retry_after_s,
        **_fields(request, step, version),
    )


def _fields(
    request: state_lib.OpenRequest, step: dispatch.Step, version: int
) -> dict[str, Any]:
    """Returns what a log line says about a request."""
    return {
        "path": request.request.path,
        "job": request.request.path.rpartition("/")[2],
        "configuration": version,
        "seconds": round(step.moment.now_s - request.received_s, 3),
        "relayed_before": request.scheduler_silent,
    }


def retry_later(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> None:
    """Takes a request up again after a pause."""
    at_s = step.moment.now_s + RETRY_S
    state.waiting.append(state_lib.Waiting(at_s, request))


def retry_unanswered(
    context: Any,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    """Takes a request up again whose read or repeatable write got no reply.

    Args:
        context: the context of the call, with the request's exchange.
        state: the reducer's state.
        step: the current step.
        failure: what is known about the call.
    """
    request = state.open_requests.get(context.exchange_id)
    if request is not None:
        retry_later(state, step, request)


def note_write_lost(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest | None,
    failure: kinds.CallFailure,
) -> None:
    """Takes a request up again whose write may have taken effect."""
    if request is None:
        return
    request.writes -= 1
    request.uncertain |= failure is kinds.CallFailure.LOST
    retry_later(state, step, request)


def is_for_store(reply: messages.Reply) -> bool:
    """Returns whether a request was refused because the store is away."""
    return (
        isinstance(reply, messages.Refused)
        and reply.problem.kind is errors.ProblemKind.STORE_UNAVAILABLE
    )


def refuse_for_store(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> None:
    """Refuses a request that needs the store, which does not serve it.

    A submission whose write is in doubt is tried again for a while, because
    its caller could not tell whether the job runs. An outage that has lasted
    for some time is expected to last as long again, so that the few retries
    of a caller reach beyond it.
    """
    now_s = step.moment.now_s
    patient_until_s = min(
        request.received_s + PATIENCE_IN_DOUBT_S, request.deadline_s
    )
    leaving = state.drain.requested_s is not None
    if request.uncertain and now_s < patient_until_s and not leaving:
        request.scheduler_silent = False
        retry_later(state, step, request)
        return
    outage_s = step.moment.now_s - state.store_health.failing_since_s
    retry_after_s = min(max(outage_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    problem = errors.Problem(
        errors.ProblemKind.STORE_UNAVAILABLE,
        "The store does not serve this instance at the moment.",
        "Send the request again after the stated time.",
    )
    finish(state, step, request, messages.Refused(problem, retry_after_s))


def unknown_outcome() -> messages.Refused:
    """Returns the response to a request that may take effect later."""
    return messages.Refused(
        errors.Problem(
            errors.ProblemKind.OUTCOME_UNKNOWN,
            "It is not known whether the request took effect.",
            "Send the request again with the same id.",
        )
    )
