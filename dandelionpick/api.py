"""HTTP interface for callers, operators and peer instances."""

import asyncio
import functools
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec
from starlette import applications
from starlette import exceptions
from starlette import middleware
from starlette import requests as http
from starlette import responses
from starlette import routing

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import http_bodies
from dandelionpick import http_middleware
from dandelionpick import metrics
from dandelionpick import operator_messages
from dandelionpick import page
from dandelionpick import peer_messages
from dandelionpick import runtime as runtime_lib
from dandelionpick import wire

MEDIA_TYPE = "application/json"
HTTP_OK = 200

STATUS_BY_PROBLEM = {
    errors.ProblemKind.MALFORMED: 400,
    errors.ProblemKind.TOO_SLOW: 408,
    errors.ProblemKind.INTERNAL: 500,
    errors.ProblemKind.KEY_INVALID: 400,
    errors.ProblemKind.EDIT_INVALID: 400,
    errors.ProblemKind.UNAUTHENTICATED: 401,
    errors.ProblemKind.FORBIDDEN: 403,
    errors.ProblemKind.UNKNOWN_ORGANISATION: 404,
    errors.ProblemKind.UNKNOWN_CLASS: 404,
    errors.ProblemKind.UNKNOWN_KEY: 404,
    errors.ProblemKind.UNKNOWN_PATH: 404,
    errors.ProblemKind.KEY_REUSED: 409,
    errors.ProblemKind.EDIT_CONFLICT: 409,
    errors.ProblemKind.GUARANTEES_DO_NOT_FIT: 409,
    errors.ProblemKind.KEY_EXPIRED: 410,
    errors.ProblemKind.BODY_TOO_LARGE: 413,
    errors.ProblemKind.SHAPE_TOO_LARGE: 422,
    errors.ProblemKind.DEADLINE_TOO_SHORT: 422,
    errors.ProblemKind.CANCELLED: 200,
    errors.ProblemKind.TASK_FAILED: 200,
    errors.ProblemKind.DEADLINE_PASSED: 504,
    errors.ProblemKind.OUTCOME_UNKNOWN: 504,
}
DEFAULT_PROBLEM_STATUS = 503

Handler = Callable[[http.Request], Awaitable[responses.Response]]


def http_status(message: Any) -> int:
    """Returns the HTTP status of a response."""
    problem = getattr(message, "problem", None)
    if problem is None:
        return HTTP_OK
    return STATUS_BY_PROBLEM.get(problem.kind, DEFAULT_PROBLEM_STATUS)


def respond(message: Any, status: int | None = None) -> responses.Response:
    """Encodes a response as JSON."""
    return responses.Response(
        wire.encode(message),
        status_code=status or http_status(message),
        media_type=MEDIA_TYPE,
    )


def problem_response(
    kind: errors.ProblemKind,
    message: str,
    remedy: str,
    status: int | None = None,
) -> responses.Response:
    """Builds an error response without involving the reducer."""
    problem = errors.Problem(kind, message, remedy)
    return respond(peer_messages.Refused(problem), status)


def malformed_response(error: Exception) -> responses.Response:
    """Builds the response to a message that cannot be decoded."""
    return problem_response(
        errors.ProblemKind.MALFORMED,
        f"The message is not valid: {error}.",
        "Correct the field that is named and send the message again.",
    )


def too_large_response(limit_bytes: int) -> responses.Response:
    """Builds the response to an oversized body.

    The rest of the body is not read, so the connection is closed.
    """
    response = problem_response(
        errors.ProblemKind.BODY_TOO_LARGE,
        f"The message is larger than {limit_bytes} bytes.",
        "Send a smaller body.",
    )
    response.headers["connection"] = "close"
    return response


def overloaded_response() -> responses.Response:
    """Builds the response to a body that unfinished ones leave no room for."""
    response = problem_response(
        errors.ProblemKind.OVERLOADED,
        "Unfinished messages of other callers use up the memory for them.",
        "Send the message again later, or to another instance.",
    )
    response.headers["connection"] = "close"
    return response


def too_slow_response(timeout_s: float) -> responses.Response:
    """Builds the response to a body that was not received in time."""
    response = problem_response(
        errors.ProblemKind.TOO_SLOW,
        f"The message was not received within {timeout_s} s.",
        "Send the message again on a new connection.",
    )
    response.headers["connection"] = "close"
    return response


async def exchange(
    runtime: runtime_lib.Runtime, request: http.Request, message: Any
) -> responses.Response:
    """Passes a message to the reducer within a server span."""
    traceparent = request.headers.get("traceparent", "")
    name = type(message).__name__
    with runtime.tracer.server_span(name, traceparent) as trace:
        reply = await runtime.exchange(message, trace)
    return respond(reply)


def post_route(
    runtime: runtime_lib.Runtime,
    body_timeout_s: float,
    budget: http_bodies.Budget,
    path: str,
    decoder: msgspec.json.Decoder,
) -> routing.Route:
    """Builds the route of a message that is sent as a JSON body."""

    async def handle(request: http.Request) -> responses.Response:
        # Base64 grows the body to 4/3 of its size; 64 KiB are added for the
        # other fields.
        limit_bytes = runtime.state.limits.max_body_bytes * 4 // 3 + 65_536
        try:
            async with asyncio.timeout(body_timeout_s):
                body = await http_bodies.read(request, limit_bytes, budget)
        except TimeoutError:
            return too_slow_response(body_timeout_s)
        except http_bodies.BudgetExceededError:
            return overloaded_response()
        if body is None:
            return too_large_response(limit_bytes)
        try:
            message = decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return malformed_response(error)
        return await exchange(runtime, request, message)

    return routing.Route(path, handle, methods=["POST"])


def parameter_route(
    runtime: runtime_lib.Runtime,
    path: str,
    method: str,
    message_type: type,
) -> routing.Route:
    """Builds the route of a message that is sent in the path and query."""

    async def handle(request: http.Request) -> responses.Response:
        fields = {**request.query_params, **request.path_params}
        try:
            message = msgspec.convert(fields, message_type, strict=False)
        except msgspec.ValidationError as error:
            return malformed_response(error)
        return await exchange(runtime, request, message)

    return routing.Route(path, handle, methods=[method])


async def handle_liveness(request: http.Request) -> responses.Response:
    """Handles liveness probes."""
    return responses.PlainTextResponse("live\n")


async def handle_readiness(
    runtime: runtime_lib.Runtime, request: http.Request
) -> responses.Response:
    """Handles the load balancer's readiness probes."""
    state = runtime.state
    if state.drain.requested_s is not None:
        return responses.PlainTextResponse("leaving\n", status_code=503)
    if not state.members.entries:
        return responses.PlainTextResponse(
            "no instance list\n", status_code=503
        )
    if state.configuration.document.revision == 0:
        return responses.PlainTextResponse(
            "no configuration\n", status_code=503
        )
    return responses.PlainTextResponse("ready\n")


async def show_metrics(request: http.Request) -> responses.Response:
    """Serves the metrics in the Prometheus text format."""
    text, content_type = metrics.render()
    return responses.Response(text, media_type=content_type)


async def show_page(
    runtime: runtime_lib.Runtime, request: http.Request
) -> responses.Response:
    """Serves the status page."""
    reply = await runtime.exchange(operator_messages.ReadStatus())
    return responses.HTMLResponse(page.render(reply), http_status(reply))


async def show_trace(
    runtime: runtime_lib.Runtime, request: http.Request
) -> responses.Response:
    """Serves this instance's spans of one trace."""
    try:
        spans = runtime.tracer.recent_spans.of_trace(
            request.path_params["trace_id"]
        )
    except ValueError as error:
        return malformed_response(error)
    return responses.JSONResponse(spans)


async def on_http_error(
    request: http.Request, error: exceptions.HTTPException
) -> responses.Response:
    """Responds to an unknown path or method with a problem."""
    response = problem_response(
        errors.ProblemKind.UNKNOWN_PATH,
        f"{request.method} {request.url.path} is not a path of this interface.",
        "Use one of the paths in docs/api.md.",
        error.status_code,
    )
    response.headers.update(error.headers or {})
    return response


async def on_unhandled_exception(
    request: http.Request, error: Exception
) -> responses.Response:
    """Responds to an unhandled exception with an internal error."""
    runtime_lib.report_fault("route", request.method, error)
    return respond(runtime_lib.INTERNAL_ERROR)


def build_app(
    runtime: runtime_lib.Runtime,
    body_timeout_s: float,
    budget: http_bodies.Budget,
) -> applications.Starlette:
    """Builds the HTTP application of one instance.

    Args:
        runtime: drives the instance's reducer.
        body_timeout_s: seconds in which the body of a message must be received.
        budget: limits what unfinished bodies hold together.
    """
    caller = caller_messages
    operator = operator_messages
    post = functools.partial(post_route, runtime, body_timeout_s, budget)
    by_path = functools.partial(parameter_route, runtime)
    request_path = "/v1/requests/{organisation}/{key:path}"
    job_path = "/v1/jobs/{organisation}/{key:path}"
    routes = [
        post("/v1/requests", msgspec.json.Decoder(caller.SubmitRequest)),
        by_path(request_path, "GET", caller.FetchAnswer),
        by_path(request_path, "DELETE", caller.CancelRequest),
        post("/v1/jobs", msgspec.json.Decoder(caller.SubmitJob)),
        by_path(job_path, "GET", caller.FetchJob),
        by_path(job_path, "DELETE", caller.CancelJob),
        by_path("/v1/tree", "GET", operator.ReadTree),
        post("/v1/edits", msgspec.json.Decoder(operator.EditTree)),
        by_path("/v1/edits", "GET", operator.ReadEdits),
        post(
            "/v1/simulated-edits", msgspec.json.Decoder(operator.SimulateEdit)
        ),
        by_path("/v1/status", "GET", operator.ReadStatus),
        routing.Route("/", functools.partial(show_page, runtime)),
        routing.Route("/livez", handle_liveness),
        routing.Route("/readyz", functools.partial(handle_readiness, runtime)),
        routing.Route("/metrics", show_metrics),
        routing.Route(
            "/v1/traces/{trace_id}", functools.partial(show_trace, runtime)
        ),
    ]
    for endpoint in wire.PEER.values():
        routes.append(post(endpoint.path, endpoint.message))
    return applications.Starlette(
        routes=routes,
        middleware=[
            middleware.Middleware(
                http_middleware.CloseDuringGracefulShutdown, runtime=runtime
            )
        ],
        exception_handlers={
            exceptions.HTTPException: on_http_error,
            Exception: on_unhandled_exception,
        },
    )
