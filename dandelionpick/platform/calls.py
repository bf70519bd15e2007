"""Sends each call to the service that it is meant for."""

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
    """Performs a call.

    Returns:
        The reply, or NOT_SENT if no byte of the call was written, or LOST.
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
