"""HTTP interface between instances."""

import asyncio
import functools
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from starlette import applications
from starlette import requests as http
from starlette import responses
from starlette import routing

from dandelionpick import effects
from dandelionpick import http_bodies
from dandelionpick import http_pools
from dandelionpick import http_requests
from dandelionpick import kinds
from dandelionpick import metrics
from dandelionpick import runtime as runtime_lib
from dandelionpick.batch import messages

PEER_PATH = "/v1/peer"
DEFAULT_MAX_BODY_BYTES = 262_144
HTTP_OK = 200
# Peers are on the same network, so that a body that takes longer than this is
# abandoned.
BODY_TIMEOUT_S = 2.0
# A relayed job names every field, some of which are longer than the caller's.
# The allowance is for the other fields of the message.
RELAY_GROWTH = 4
RELAY_ALLOWANCE_BYTES = 65_536

_message_decoder = msgspec.json.Decoder(messages.PeerMessage)
_reply_decoder = msgspec.json.Decoder(messages.PeerReply)


async def send(
    pools: http_pools.Pools, call: effects.Call
) -> Result[Any, kinds.CallFailure]:
    """Sends a message to another instance.

    Returns:
        The reply, or the kind of failure of a call without one.
    """
    result = await http_requests.request(
        pools,
        call.destination.address,
        "POST",
        PEER_PATH,
        call.timeout_s,
        call.message,
        {"traceparent": call.trace} if call.trace else None,
    )
    return result.bind(_decode)


def _decode(
    response: http_requests.RawResponse,
) -> Result[messages.PeerReply, kinds.CallFailure]:
    status, body = response
    if status != HTTP_OK:
        return Failure(kinds.CallFailure.LOST)
    try:
        return Success(_reply_decoder.decode(body))
    except (msgspec.DecodeError, RecursionError):
        return Failure(kinds.CallFailure.LOST)


def _limit_bytes(runtime: runtime_lib.Runtime) -> int:
    catalog = runtime.state.catalog.current
    # Without a configuration, the peer's may allow more than the default, but
    # this instance can't be the scheduler that it looks for.
    limit = catalog.max_body_bytes if catalog else DEFAULT_MAX_BODY_BYTES
    return limit * RELAY_GROWTH + RELAY_ALLOWANCE_BYTES


async def _receive(
    runtime: runtime_lib.Runtime,
    budget: http_bodies.Budget,
    request: http.Request,
) -> responses.Response:
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            body = await http_bodies.read(
                request, _limit_bytes(runtime), budget
            )
        if body is None:
            return responses.PlainTextResponse(
                "too large\n", 413, {"connection": "close"}
            )
        message = _message_decoder.decode(body)
    except http_bodies.BudgetExceededError:
        return responses.PlainTextResponse(
            "too many unfinished messages\n", 503, {"connection": "close"}
        )
    except (TimeoutError, msgspec.DecodeError, RecursionError) as error:
        return responses.PlainTextResponse(f"{error}\n", status_code=400)
    name = type(getattr(message, "request", message)).__name__
    traceparent = request.headers.get("traceparent", "")
    with runtime.tracer.server_span(name, traceparent) as trace:
        reply = await runtime.exchange(message, trace)
    if not isinstance(reply, messages.PeerReply):
        return responses.PlainTextResponse("failed\n", status_code=500)
    return responses.Response(
        msgspec.json.encode(reply), media_type="application/json"
    )


async def _show_metrics(request: http.Request) -> responses.Response:
    text, content_type = metrics.render()
    return responses.Response(text, media_type=content_type)


def build(
    runtime: runtime_lib.Runtime, budget: http_bodies.Budget
) -> applications.Starlette:
    """Builds the ASGI application for peers and for metrics scrapers."""
    return applications.Starlette(
        routes=[
            routing.Route(
                PEER_PATH,
                functools.partial(_receive, runtime, budget),
                methods=["POST"],
            ),
            routing.Route("/metrics", _show_metrics),
        ]
    )
