"""HTTP interface for callers and for the load balancer's health checks."""

import asyncio
import functools
import json
import math
from typing import Any

from returns import pipeline
from starlette import applications
from starlette import middleware
from starlette import requests as http
from starlette import responses
from starlette import routing

from dandelionpick import errors
from dandelionpick import http_bodies
from dandelionpick import http_middleware
from dandelionpick import runtime as runtime_lib
from dandelionpick.batch import admission
from dandelionpick.batch import messages
from dandelionpick.batch import readiness
from dandelionpick.platform import jobs

# Applies to requests without a valid x-deadline-ms header.
DEFAULT_DEADLINE_S = 3.0
DEFAULT_MAX_BODY_BYTES = 262_144
BEARER_PREFIX = "Bearer "
STATUS_BY_PROBLEM = {
    errors.ProblemKind.MALFORMED: 400,
    errors.ProblemKind.KEY_INVALID: 400,
    errors.ProblemKind.UNAUTHENTICATED: 401,
    errors.ProblemKind.FORBIDDEN: 403,
    errors.ProblemKind.UNKNOWN_PATH: 404,
    errors.ProblemKind.TOO_SLOW: 408,
    errors.ProblemKind.KEY_REUSED: 409,
    errors.ProblemKind.UNKNOWN_KEY: 410,
    errors.ProblemKind.BODY_TOO_LARGE: 413,
    errors.ProblemKind.SHAPE_TOO_LARGE: 413,
    errors.ProblemKind.OVERLOADED: 429,
    errors.ProblemKind.NO_CONFIGURATION: 503,
    errors.ProblemKind.STORE_UNAVAILABLE: 503,
}
# The platform takes 502 and 504 to mean that the outcome is unknown.
UNKNOWN_OUTCOME_STATUS = 504


async def handle(
    runtime: runtime_lib.Runtime,
    body_timeout_s: float,
    budget: http_bodies.Budget,
    request: http.Request,
) -> responses.Response:
    """Handles a caller's request."""
    message = await _decode_request(runtime, body_timeout_s, budget, request)
    if isinstance(message, messages.Refused):
        return respond(message)
    traceparent = request.headers.get("traceparent", "")
    with runtime.tracer.server_span(
        type(message).__name__, traceparent
    ) as trace:
        return respond(await runtime.exchange(message, trace))


async def _decode_request(
    runtime: runtime_lib.Runtime,
    body_timeout_s: float,
    budget: http_bodies.Budget,
    request: http.Request,
) -> Any:
    common_fields = {
        "host": request.headers.get("host", ""),
        "path": request.scope["path"],
        "credential": request.headers.get("authorization", "").removeprefix(
            BEARER_PREFIX
        ),
        "deadline_s": _deadline_s(request),
    }
    if request.method == "GET":
        return messages.Inspect(**common_fields)
    if request.method == "DELETE":
        return messages.Cancel(**common_fields)
    body = await _read_body(runtime, body_timeout_s, budget, request)
    if isinstance(body, messages.Refused):
        return body
    decoded = jobs.decode(body)
    if not pipeline.is_successful(decoded):
        return admission.refuse(
            errors.ProblemKind.MALFORMED,
            f"The job is not valid: {decoded.failure()}.",
            "Correct the field that is named and send the job again.",
        )
    return messages.Submit(spec=decoded.unwrap(), **common_fields)


async def _read_body(
    runtime: runtime_lib.Runtime,
    body_timeout_s: float,
    budget: http_bodies.Budget,
    request: http.Request,
) -> bytes | messages.Refused:
    """Returns the body of a submission, or why it can't be read."""
    catalog = runtime.state.catalog.current
    limit = catalog.max_body_bytes if catalog else DEFAULT_MAX_BODY_BYTES
    try:
        async with asyncio.timeout(body_timeout_s):
            body = await http_bodies.read(request, limit, budget)
    except TimeoutError:
        return admission.refuse(
            errors.ProblemKind.TOO_SLOW,
            f"The body was not received within {body_timeout_s} s.",
            "Send the request again on a new connection.",
        )
    except http_bodies.BudgetExceededError:
        return admission.refuse(
            errors.ProblemKind.OVERLOADED,
            "Unfinished requests of other callers use up the memory for them.",
            "Send the request again later, or to another instance.",
            admission.RETRY_AFTER_S,
        )
    if body is None:
        return admission.refuse(
            errors.ProblemKind.BODY_TOO_LARGE,
            f"The body is larger than {limit} bytes.",
            "Send a smaller job.",
        )
    return body


def _deadline_s(request: http.Request) -> float:
    text = request.headers.get("x-deadline-ms", "")
    try:
        deadline_ms = float(text)
    except ValueError:
        return DEFAULT_DEADLINE_S
    if not 0 < deadline_ms < math.inf:
        return DEFAULT_DEADLINE_S
    return deadline_ms / 1_000


def respond(reply: Any) -> responses.Response:
    """Builds the HTTP response for a reply."""
    headers = {}
    status = 200
    body: dict[str, Any] = {}
    problem = getattr(reply, "problem", None)
    if problem is not None:
        status = STATUS_BY_PROBLEM.get(problem.kind, UNKNOWN_OUTCOME_STATUS)
        body = {
            "problem": problem.kind.value,
            "message": problem.message,
            "remedy": problem.remedy,
        }
        retry_after_s = getattr(reply, "retry_after_s", 0.0)
        if retry_after_s:
            headers["retry-after"] = str(math.ceil(retry_after_s))
    elif isinstance(reply, messages.JobView):
        body = {"state": reply.state.value}
    elif isinstance(reply, messages.QueueView):
        body = {"pending": reply.pending}
    return responses.Response(
        json.dumps(body),
        status_code=status,
        headers=headers,
        media_type="application/json",
    )


async def handle_readiness(
    runtime: runtime_lib.Runtime, request: http.Request
) -> responses.Response:
    """Handles the load balancer's readiness probe."""
    reason = readiness.reason_not_ready(runtime.state, runtime.moment().now_s)
    if reason:
        return responses.PlainTextResponse(f"{reason}\n", status_code=503)
    return responses.PlainTextResponse("ready\n")


def build_caller_app(
    runtime: runtime_lib.Runtime,
    body_timeout_s: float,
    budget: http_bodies.Budget,
) -> applications.Starlette:
    """Builds the application that serves callers."""
    return applications.Starlette(
        routes=[
            routing.Route(
                "/{path:path}",
                functools.partial(handle, runtime, body_timeout_s, budget),
                methods=["GET", "POST", "DELETE"],
            )
        ],
        middleware=[
            middleware.Middleware(
                http_middleware.CloseDuringGracefulShutdown, runtime=runtime
            )
        ],
    )


def build_health_app(runtime: runtime_lib.Runtime) -> applications.Starlette:
    """Builds the application for the load balancer's health checks."""
    return applications.Starlette(
        routes=[
            routing.Route(
                "/readyz", functools.partial(handle_readiness, runtime)
            )
        ]
    )
