"""Callers' requests, and the probes of the platform's load balancer."""

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
from dandelionpick import http_middleware
from dandelionpick import runtime as runtime_lib
from dandelionpick.batch import admission
from dandelionpick.batch import messages
from dandelionpick.batch import readiness
from dandelionpick.platform import jobs

# Callers without a deadline wait this long.
DEFAULT_DEADLINE_S = 3.0
DEFAULT_MAX_BODY_BYTES = 262_144
BEARER = "Bearer "
STATUS_OF_PROBLEM = {
    errors.ProblemKind.MALFORMED: 400,
    errors.ProblemKind.KEY_INVALID: 400,
    errors.ProblemKind.UNAUTHENTICATED: 401,
    errors.ProblemKind.UNKNOWN_PATH: 404,
    errors.ProblemKind.TOO_SLOW: 408,
    errors.ProblemKind.KEY_REUSED: 409,
    errors.ProblemKind.UNKNOWN_KEY: 410,
    errors.ProblemKind.BODY_TOO_LARGE: 413,
    errors.ProblemKind.OVERLOADED: 429,
    errors.ProblemKind.NO_CONFIGURATION: 503,
    errors.ProblemKind.STORE_UNAVAILABLE: 503,
}
# 502 and 504 say that the outcome is not known.
UNKNOWN_OUTCOME_STATUS = 504


async def handle(
    runtime: runtime_lib.Runtime, body_timeout_s: float, request: http.Request
) -> responses.Response:
    """Answers a caller's request."""
    message = await _message(runtime, body_timeout_s, request)
    if isinstance(message, messages.Refused):
        return respond(message)
    traceparent = request.headers.get("traceparent", "")
    with runtime.tracer.server_span(type(message).__name__, traceparent) as t:
        return respond(await runtime.exchange(message, t))


async def _message(
    runtime: runtime_lib.Runtime, body_timeout_s: float, request: http.Request
) -> Any:
    common = {
        "host": request.headers.get("host", ""),
        "path": request.scope["path"],
        "credential": request.headers.get("authorization", "").removeprefix(
            BEARER
        ),
        "deadline_s": _deadline_s(request),
    }
    if request.method == "GET":
        return messages.Inspect(**common)
    if request.method == "DELETE":
        return messages.Cancel(**common)
    catalog = runtime.state.catalog.current
    limit = catalog.max_body_bytes if catalog else DEFAULT_MAX_BODY_BYTES
    try:
        async with asyncio.timeout(body_timeout_s):
            body = await _body(request, limit)
    except TimeoutError:
        return admission.refuse(
            errors.ProblemKind.TOO_SLOW,
            f"The body did not come within {body_timeout_s} s.",
            "Send the request again on a new connection.",
        )
    if body is None:
        return admission.refuse(
            errors.ProblemKind.BODY_TOO_LARGE,
            f"The body is larger than {limit} bytes.",
            "Send a smaller job.",
        )
    decoded = jobs.decode(body)
    if not pipeline.is_successful(decoded):
        return admission.refuse(
            errors.ProblemKind.MALFORMED,
            f"The job is not valid: {decoded.failure()}.",
            "Correct the field that is named and send the job again.",
        )
    return messages.Submit(spec=decoded.unwrap(), **common)


def _deadline_s(request: http.Request) -> float:
    text = request.headers.get("x-deadline-ms", "")
    try:
        deadline_ms = float(text)
    except ValueError:
        return DEFAULT_DEADLINE_S
    if not 0 < deadline_ms < math.inf:
        return DEFAULT_DEADLINE_S
    return deadline_ms / 1_000


async def _body(request: http.Request, limit: int) -> bytes | None:
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def respond(reply: Any) -> responses.Response:
    """Returns the HTTP response of a reply."""
    headers = {}
    status = 200
    body: dict[str, Any] = {}
    problem = getattr(reply, "problem", None)
    if problem is not None:
        status = STATUS_OF_PROBLEM.get(problem.kind, UNKNOWN_OUTCOME_STATUS)
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


async def ready(
    runtime: runtime_lib.Runtime, request: http.Request
) -> responses.Response:
    """Tells the load balancer whether to send requests here."""
    reason = readiness.reason_not_ready(runtime.state, runtime.moment().now_s)
    if reason:
        return responses.PlainTextResponse(f"{reason}\n", status_code=503)
    return responses.PlainTextResponse("ready\n")


def build_callers(
    runtime: runtime_lib.Runtime, body_timeout_s: float
) -> applications.Starlette:
    """Builds the application that callers reach."""
    return applications.Starlette(
        routes=[
            routing.Route(
                "/{path:path}",
                functools.partial(handle, runtime, body_timeout_s),
                methods=["GET", "POST", "DELETE"],
            )
        ],
        middleware=[
            middleware.Middleware(
                http_middleware.CloseWhileLeaving, runtime=runtime
            )
        ],
    )


def build_health(runtime: runtime_lib.Runtime) -> applications.Starlette:
    """Builds the application that the load balancer probes."""
    return applications.Starlette(
        routes=[routing.Route("/readyz", functools.partial(ready, runtime))]
    )
