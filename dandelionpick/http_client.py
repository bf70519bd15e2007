"""HTTP client that sends typed messages to every service."""

import asyncio
from typing import Any

import aiohttp
import msgspec
from absl import logging
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import effects
from dandelionpick import http_pools
from dandelionpick import kinds
from dandelionpick import wire

# Added to the wait that a message requests to get the timeout of its call.
WAIT_MARGIN_S = 2.0

ENDPOINTS = {
    kinds.Service.STORE: wire.STORE,
    kinds.Service.INSTANCE_LIST: wire.INSTANCE_LIST,
    kinds.Service.EXECUTOR: wire.EXECUTOR,
    kinds.Service.WORKER: wire.WORKER,
    kinds.Service.PEER: wire.PEER,
}


def effective_timeout_s(call: effects.Call) -> float:
    """Returns the timeout of a call in seconds.

    A call that asks the receiver to wait times out shortly after that wait,
    because its connection may have stopped responding.
    """
    wait_s = getattr(call.message, "wait_s", None)
    if wait_s is None:
        return call.timeout_s
    return min(call.timeout_s, wait_s + WAIT_MARGIN_S)


async def send(
    pools: http_pools.Pools, call: effects.Call
) -> Result[Any, kinds.CallFailure]:
    """Sends a call and waits for its reply.

    Returns:
        The reply, NOT_SENT if no byte of the request was written, or LOST if
        it may have reached the receiver.
    """
    address = call.destination.address
    endpoint = ENDPOINTS[call.destination.service][type(call.message)]
    url = f"http://{address}{endpoint.path}"
    progress = http_pools.RequestProgress()
    async with pools.use(address) as pool:
        try:
            status, body = await _post(pool, url, call, progress)
        except TimeoutError:
            # A call that timed out waiting for a free connection says nothing
            # about the open ones, which may be busy with long tasks.
            if progress.sending:
                pools.retire_pool(address, pool)
            return Failure(http_pools.classify_failure(progress))
        except (aiohttp.ClientError, OSError):
            return Failure(http_pools.classify_failure(progress))
    return _decode(endpoint, status, body, url)


async def _post(
    pool: http_pools.Pool,
    url: str,
    call: effects.Call,
    progress: http_pools.RequestProgress,
) -> tuple[int, bytes]:
    headers = {"content-type": "application/json"}
    if call.trace:
        headers["traceparent"] = call.trace
    async with (
        asyncio.timeout(effective_timeout_s(call)),
        pool.session.post(
            url,
            data=wire.encode(call.message),
            headers=headers,
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as response,
    ):
        return response.status, await response.read()


def _decode(
    endpoint: wire.Endpoint, status: int, body: bytes, url: str
) -> Result[Any, kinds.CallFailure]:
    # A peer's refusal is a typed reply with a status other than 200, so the
    # body is decoded whatever the status.
    try:
        return Success(endpoint.reply.decode(body))
    except msgspec.DecodeError as error:
        logging.warning(
            "client: %s sent a malformed reply with status %d: %s",
            url,
            status,
            error,
        )
        return Failure(kinds.CallFailure.LOST)
