"""Sends typed messages over HTTP; one adapter for every service."""

from typing import Any

import aiohttp
import msgspec
from absl import logging
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import effects
from dandelionpick import kinds
from dandelionpick import wire

HTTP_OK = 200
IDLE_CONNECTION_S = 15.0
CONNECT_TIMEOUT_S = 1.0

ENDPOINTS = {
    kinds.Service.STORE: wire.STORE,
    kinds.Service.INSTANCE_LIST: wire.LIST,
    kinds.Service.EXECUTOR: wire.EXECUTOR,
    kinds.Service.WORKER: wire.WORKER,
    kinds.Service.PEER: wire.PEER,
}


def open_session(connections_per_host: int) -> aiohttp.ClientSession:
    """Opens the client session that all calls share.

    A call that times out closes its connection, so a connection that went
    silent is never used again.

    Args:
        connections_per_host: limit to each address; executors allow 64 in
            all, shared by every entry instance.
    """
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=connections_per_host,
        keepalive_timeout=IDLE_CONNECTION_S,
        force_close=False,
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None),
        auto_decompress=False,
    )


async def send(
    session: aiohttp.ClientSession, call: effects.Call
) -> Result[Any, kinds.CallFailure]:
    """Performs a call.

    Returns:
        The reply, or NOT_SENT if no connection could be made, or LOST.
    """
    endpoint = ENDPOINTS[call.destination.service][type(call.message)]
    url = f"http://{call.destination.address}{endpoint.path}"
    headers = {"content-type": "application/json"}
    if call.trace:
        headers["traceparent"] = call.trace
    timeout = aiohttp.ClientTimeout(
        total=call.timeout_s, sock_connect=CONNECT_TIMEOUT_S
    )
    try:
        async with session.post(
            url,
            data=wire.encode(call.message),
            headers=headers,
            timeout=timeout,
        ) as response:
            body = await response.read()
            status = response.status
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        return Failure(kinds.CallFailure.NOT_SENT)
    except (TimeoutError, aiohttp.ClientError, OSError):
        return Failure(kinds.CallFailure.LOST)
    return _decode(endpoint, status, body, url)


def _decode(
    endpoint: wire.Endpoint, status: int, body: bytes, url: str
) -> Result[Any, kinds.CallFailure]:
    if status != HTTP_OK:
        logging.warning("client: %s replied with status %d", url, status)
        return Failure(kinds.CallFailure.LOST)
    try:
        return Success(endpoint.reply.decode(body))
    except msgspec.DecodeError as error:
        logging.warning("client: %s sent a malformed reply: %s", url, error)
        return Failure(kinds.CallFailure.LOST)
