"""Sends typed messages over HTTP; one adapter for every service."""

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

# What a reply may take longer than the wait that the message asks for.
WAIT_MARGIN_S = 2.0

ENDPOINTS = {
    kinds.Service.STORE: wire.STORE,
    kinds.Service.INSTANCE_LIST: wire.LIST,
    kinds.Service.EXECUTOR: wire.EXECUTOR,
    kinds.Service.WORKER: wire.WORKER,
    kinds.Service.PEER: wire.PEER,
}


def timeout_s_of(call: effects.Call) -> float:
    """Returns the seconds after which a call is given up.

    A call that asks the receiver to wait is given up shortly after that wait,
    because its connection may have become silent.
    """
    wait_s = getattr(call.message, "wait_s", None)
    if wait_s is None:
        return call.timeout_s
    return min(call.timeout_s, wait_s + WAIT_MARGIN_S)


async def send(
    pools: http_pools.Pools, call: effects.Call
) -> Result[Any, kinds.CallFailure]:
    """Performs a call.

    Returns:
        The reply, or NOT_SENT if no byte of the call was written, or LOST.
    """
    address = call.destination.address
    endpoint = ENDPOINTS[call.destination.service][type(call.message)]
    url = f"http://{address}{endpoint.path}"
    progress = http_pools.Progress()
    async with pools.use(address) as pool:
        try:
            status, body = await _post(pool, url, call, progress)
        except TimeoutError:
            # A call that only waited for a free connection proves nothing
            # about the connections, which may be busy with long tasks.
            if progress.sending:
                pools.retire_pool(address, pool)
            return Failure(http_pools.failure_of(progress))
        except (aiohttp.ClientError, OSError):
            return Failure(http_pools.failure_of(progress))
    return _decode(endpoint, status, body, url)


async def _post(
    pool: http_pools.Pool,
    url: str,
    call: effects.Call,
    progress: http_pools.Progress,
) -> tuple[int, bytes]:
    headers = {"content-type": "application/json"}
    if call.trace:
        headers["traceparent"] = call.trace
    async with (
        asyncio.timeout(timeout_s_of(call)),
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
    # A refusal of a peer is a typed reply with a status other than 200.
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
