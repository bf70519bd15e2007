"""Responds to callers' requests, or schedules another attempt."""

from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import kinds
from dandelionpick.batch import messages
from dandelionpick.batch import state as state_lib

# Pause before a request is retried while a dependency is unavailable; short
# compared with the 3 s that callers wait.
RETRY_S = 0.1
# A write whose outcome is unknown is retried for this long. A takeover takes
# about as long, and after it the new scheduler can resolve the request.
UNCERTAIN_RETRY_S = 1.2
# Bounds of Retry-After while the store is unavailable; outages last some
# seconds.
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
    may_take_effect = request.uncertain or request.pending_writes > 0
    if (
        may_take_effect
        and isinstance(reply, messages.Refused)
        and isinstance(request.request, messages.Submit)
        and reply.problem.kind is not errors.ProblemKind.KEY_REUSED
    ):
        reply = unknown_outcome()
    version = catalog.version if catalog else 0
    if isinstance(reply, messages.Refused):
        _log_refusal(step, request, reply, version)
    elif isinstance(reply, messages.Accepted) and not request.relayed:
        step.note(
            effects.Component.INTAKE,
            f"{type(request.request).__name__} accepted",
            **_log_fields(request, step, version),
        )
    if request.relayed:
        step.respond(request.exchange_id, messages.Relayed(reply, version))
    else:
        step.respond(request.exchange_id, reply)


def _log_refusal(
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    reply: messages.Refused,
    version: int,
) -> None:
    step.count("job_refusals_total", reply.problem.kind.value)
    if request.relayed:
        return
    step.note(
        effects.Component.INTAKE,
        f"{type(request.request).__name__} refused: {reply.problem.kind.value}",
        retry_after_s=reply.retry_after_s,
        **_log_fields(request, step, version),
    )


def _log_fields(
    request: state_lib.OpenRequest, step: dispatch.Step, version: int
) -> dict[str, Any]:
    """Returns the log fields that describe a request."""
    return {
        "path": request.request.path,
        "job": request.request.path.rpartition("/")[2],
        "configuration": version,
        "seconds": round(step.moment.now_s - request.received_s, 3),
        "relayed_before": request.skip_relay,
    }


def retry_later(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> None:
    """Schedules another attempt of a request after a pause."""
    at_s = step.moment.now_s + RETRY_S
    state.delayed_requests.append(state_lib.DelayedRequest(at_s, request))


def retry_unanswered(
    context: Any,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    """Retries a request whose read or idempotent write got no reply.

    Args:
        context: the context of the call, with the request's exchange id.
        state: the reducer's state.
        step: the current step.
        failure: what is known about the call.
    """
    request = state.open_requests.get(context.exchange_id)
    if request is not None:
        retry_later(state, step, request)


def retry_lost_write(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest | None,
    failure: kinds.CallFailure,
) -> None:
    """Retries a request whose write may have taken effect."""
    if request is None:
        return
    request.pending_writes -= 1
    request.uncertain |= failure is kinds.CallFailure.LOST
    retry_later(state, step, request)


def is_store_unavailable(reply: messages.Reply) -> bool:
    """Returns whether a reply refuses a request for lack of the store."""
    return (
        isinstance(reply, messages.Refused)
        and reply.problem.kind is errors.ProblemKind.STORE_UNAVAILABLE
    )


def refuse_store_unavailable(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> None:
    """Refuses a request because the store does not serve this instance.

    A request with a write whose outcome is unknown is retried for a while
    first, because its caller could not tell whether the job runs. Retry-After
    is the duration of the outage so far, because it is expected to last as long
    again; the few retries of a caller then extend beyond it.
    """
    now_s = step.moment.now_s
    retry_until_s = min(
        request.received_s + UNCERTAIN_RETRY_S, request.deadline_s
    )
    shutting_down = state.drain.requested_s is not None
    if request.uncertain and now_s < retry_until_s and not shutting_down:
        request.skip_relay = False
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
    """Returns the refusal of a request that may still take effect."""
    return messages.Refused(
        errors.Problem(
            errors.ProblemKind.OUTCOME_UNKNOWN,
            "It is not known whether the request took effect.",
            "Send the request again with the same id.",
        )
    )
