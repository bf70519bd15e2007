"""Dispatches outgoing calls to the client of each service."""

from typing import Any

from returns.result import Result

from dandelionpick import effects
from dandelionpick import http_pools
from dandelionpick import kinds
from dandelionpick.batch import peer_api
from dandelionpick.platform import store
from dandelionpick.platform import targets


async def send(
    pools: http_pools.Pools, call: effects.Call
) -> Result[Any, kinds.CallFailure]:
    """Sends a call and waits for its reply.

    Returns:
        The reply, NOT_SENT if no byte of the request was written, or LOST if
        it may have reached the receiver.
    """
    destination = call.destination
    if destination.service is kinds.Service.STORE:
        return await store.send(
            pools, destination.address, call.message, call.timeout_s
        )
    if destination.service is kinds.Service.WORKER:
        return await targets.send(
            pools, destination.address, call.message, call.timeout_s
        )
    return await peer_api.send(pools, call)
