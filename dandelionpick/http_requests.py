"""Sends one HTTP request and returns its status and body."""

import asyncio
from typing import Any

import aiohttp
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import http_pools
from dandelionpick import kinds
from dandelionpick import loop_lag

RawResponse = tuple[int, bytes]

# A body of which nothing arrives for this long is abandoned.
BODY_IDLE_TIMEOUT_S = 1.0
# Longest time for a body. A large configuration takes seconds when all
# instances of a region read it over one link; giving up would add another copy.
BODY_TIMEOUT_S = 6.0


async def request(
    pools: http_pools.Pools,
    address: str,
    method: str,
    path: str,
    timeout_s: float,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> Result[RawResponse, kinds.CallFailure]:
    """Sends a request and reads the response.

    Args:
        pools: connection pools.
        address: host and port.
        method: the HTTP method.
        path: path and query.
        timeout_s: seconds in which the response must begin, not counting those
            in which the own event loop was late.
        body: encoded as JSON; None for no body.
        headers: additional headers.

    Returns:
        Status and body, NOT_SENT if no byte of the request was written, or
        LOST if it may have reached the receiver.
    """
    data = None if body is None else msgspec.json.encode(body)
    sent_headers = dict(headers or {})
    if data is not None:
        sent_headers["content-type"] = "application/json"
    progress = http_pools.RequestProgress()
    async with pools.use(address) as pool:
        try:
            async with loop_lag.timeout(timeout_s, pools.lag):
                response = await pool.session.request(
                    method,
                    f"http://{address}{path}",
                    data=data,
                    headers=sent_headers,
                    allow_redirects=False,
                    trace_request_ctx=progress,
                )
            async with response:
                body = await _read_body(response, pools.lag)
                return Success((response.status, body))
        except TimeoutError:
            if progress.sending:
                pools.retire_pool(address, pool)
            return Failure(http_pools.classify_failure(progress))
        except (aiohttp.ClientError, OSError):
            return Failure(http_pools.classify_failure(progress))


async def _read_body(
    response: aiohttp.ClientResponse, lag: loop_lag.LoopLag
) -> bytes:
    """Reads a body for as long as parts of it arrive.

    Raises:
        TimeoutError: nothing arrived for a while, or the body took too long.
    """
    if response.content.is_eof():
        return await response.read()
    parts: list[bytes] = []
    async with asyncio.timeout(BODY_TIMEOUT_S):
        while True:
            async with loop_lag.timeout(BODY_IDLE_TIMEOUT_S, lag):
                part = await response.content.readany()
            if not part:
                return b"".join(parts)
            parts.append(part)
