"""HTTP interface for callers, operators and peers."""

import functools
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec
from starlette import applications
from starlette import requests as http
from starlette import responses
from starlette import routing

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import metrics
from dandelionpick import operator_messages
from dandelionpick import peer_messages
from dandelionpick import runtime as runtime_lib
from dandelionpick import wire

MEDIA_TYPE = "application/json"
HTTP_OK = 200

STATUS_OF_PROBLEM = {
    errors.ProblemKind.MALFORMED: 400,
    errors.ProblemKind.KEY_INVALID: 400,
    errors.ProblemKind.EDIT_INVALID: 400,
    errors.ProblemKind.FORBIDDEN: 403,
    errors.ProblemKind.UNKNOWN_ORGANISATION: 404,
    errors.ProblemKind.UNKNOWN_CLASS: 404,
    errors.ProblemKind.UNKNOWN_KEY: 404,
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
}
DEFAULT_PROBLEM_STATUS = 503

Handler = Callable[[http.Request], Awaitable[responses.Response]]


def status_of(message: Any) -> int:
    """Returns the HTTP status of a response."""
    problem = getattr(message, "problem", None)
    if problem is None:
        return HTTP_OK
    return STATUS_OF_PROBLEM.get(problem.kind, DEFAULT_PROBLEM_STATUS)


def respond(message: Any, status: int | None = None) -> responses.Response:
    """Encodes a response as JSON."""
    return responses.Response(
        wire.encode(message),
        status_code=status or status_of(message),
        media_type=MEDIA_TYPE,
    )


def malformed(error: Exception) -> responses.Response:
    """Builds the response to a message that can't be decoded."""
    problem = errors.Problem(
        errors.ProblemKind.MALFORMED,
        f"The message is not valid: {error}.",
        "Correct the field that is named and send the message again.",
    )
    return respond(peer_messages.Refused(problem))


async def read_body(request: http.Request, limit_bytes: int) -> bytes | None:
    """Returns the body, or None if it is over the limit."""
    chunks = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit_bytes:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def too_large(limit_bytes: int) -> responses.Response:
    """Builds the response to an oversized body."""
    problem = errors.Problem(
        errors.ProblemKind.BODY_TOO_LARGE,
        f"The message is larger than {limit_bytes} bytes.",
        "Send a smaller body.",
    )
    return respond(peer_messages.Refused(problem))


async def exchange(
    runtime: runtime_lib.Runtime, request: http.Request, message: Any
) -> responses.Response:
    """Hands a message to the reducer within a server span."""
    traceparent = request.headers.get("traceparent", "")
    name = type(message).__name__
    with runtime.tracer.server_span(name, traceparent) as trace:
        reply = await runtime.exchange(message, trace)
    return respond(reply)


def post_route(
    runtime: runtime_lib.Runtime, path: str, decoder: msgspec.json.Decoder
) -> routing.Route:
    """Builds the route of a message that is posted as JSON."""

    async def handle(request: http.Request) -> responses.Response:
        # Base64 in JSON takes 4/3 of the body, plus room for the other fields.
        limit_bytes = runtime.state.limits.max_body_bytes * 4 // 3 + 65_536
        body = await read_body(request, limit_bytes)
        if body is None:
            return too_large(limit_bytes)
        try:
            message = decoder.decode(body)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return malformed(error)
        return await exchange(runtime, request, message)

    return routing.Route(path, handle, methods=["POST"])


def path_route(
    runtime: runtime_lib.Runtime,
    path: str,
    method: str,
    message_type: type,
) -> routing.Route:
    """Builds the route of a message whose fields are in path and query."""

    async def handle(request: http.Request) -> responses.Response:
        fields = {**request.query_params, **request.path_params}
        try:
            message = msgspec.convert(fields, message_type, strict=False)
        except msgspec.ValidationError as error:
            return malformed(error)
        return await exchange(runtime, request, message)

    return routing.Route(path, handle, methods=[method])


async def live(request: http.Request) -> responses.Response:
    """Tells that the process runs."""
    return responses.PlainTextResponse("live\n")


async def ready(
    runtime: runtime_lib.Runtime, request: http.Request
) -> responses.Response:
    """Tells whether the balancer may send requests here."""
    state = runtime.state
    if state.drain.requested_s is not None:
        return responses.PlainTextResponse("leaving\n", status_code=503)
    if state.configuration.document.revision == 0:
        return responses.PlainTextResponse(
            "no configuration\n", status_code=503
        )
    return responses.PlainTextResponse("ready\n")


async def show_metrics(request: http.Request) -> responses.Response:
    """Serves the metrics in the Prometheus text format."""
    text, content_type = metrics.render()
    return responses.Response(text, media_type=content_type)


async def show_trace(
    runtime: runtime_lib.Runtime, request: http.Request
) -> responses.Response:
    """Serves this instance's spans of one trace."""
    try:
        spans = runtime.tracer.recent.of_trace(request.path_params["trace_id"])
    except ValueError as error:
        return malformed(error)
    return responses.JSONResponse(spans)


def build(runtime: runtime_lib.Runtime) -> applications.Starlette:
    """Builds the application of one instance."""
    caller = caller_messages
    operator = operator_messages
    post = functools.partial(post_route, runtime)
    by_path = functools.partial(path_route, runtime)
    request_path = "/v1/requests/{organisation}/{key}"
    job_path = "/v1/jobs/{organisation}/{key}"
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
        routing.Route("/livez", live),
        routing.Route("/readyz", functools.partial(ready, runtime)),
        routing.Route("/metrics", show_metrics),
        routing.Route(
            "/v1/traces/{trace_id}", functools.partial(show_trace, runtime)
        ),
    ]
    for endpoint in wire.PEER.values():
        routes.append(post(endpoint.path, endpoint.message))
    return applications.Starlette(routes=routes)
