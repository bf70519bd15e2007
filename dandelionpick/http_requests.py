"""Sends one HTTP request and returns its status and body."""

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
        timeout_s: seconds in which the whole response must be received, not
            counting those in which the own event loop was late.
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
            async with (
                loop_lag.timeout(timeout_s, pools.lag),
                pool.session.request(
                    method,
                    f"http://{address}{path}",
                    data=data,
                    headers=sent_headers,
                    allow_redirects=False,
                    trace_request_ctx=progress,
                ) as response,
            ):
                return Success((response.status, await response.read()))
        except TimeoutError:
            if progress.sending:
                pools.retire_pool(address, pool)
            return Failure(http_pools.classify_failure(progress))
        except (aiohttp.ClientError, OSError):
            return Failure(http_pools.classify_failure(progress))
