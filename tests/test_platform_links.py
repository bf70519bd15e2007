"""Tests of unresponsive connections to the platform, over real sockets."""

import socket
import unittest
from typing import Any

from returns import pipeline

from dandelionpick import effects
from dandelionpick import http_pools
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import messages
from dandelionpick.batch import store_api
from dandelionpick.batch import target_api
from dandelionpick.platform import calls
from standins import relay
from tests import fake_server
from tests import limited

TIMEOUT_S = 0.3
EPOCH = ids.Epoch(7)
STORE = kinds.Service.STORE
WORKER = kinds.Service.WORKER
PEER = kinds.Service.PEER
# Messages that ask the receiver to wait time out after that wait and a margin;
# the others after the timeout of the call.
MESSAGES = {
    "read": (
        STORE,
        store_api.Read("k"),
        ("GET", "/kv-key"),
        b'{"key":"k","value":"","revision":3}',
    ),
    "watch": (
        STORE,
        store_api.Watch("p/", 3, 0.1),
        ("GET", "/kv-watch"),
        b'{"events":[],"store_revision":4}',
    ),
    "renewal": (
        STORE,
        store_api.KeepLease(ids.LeaseId(5)),
        ("POST", "/kv-keep/5"),
        b'{"lease":5,"ttl_ms":1200}',
    ),
    "listing": (
        WORKER,
        target_api.ListRuns(ids.TargetId("t"), EPOCH, 0, None, 0.1),
        ("POST", "/hold"),
        b'{"clock_ms":1,"running":[],"finished":[],"born":1}',
    ),
    "monitoring": (
        PEER,
        messages.Monitor(EPOCH, 0.1),
        ("POST", "/v1/peer"),
        b'{"type":"still_scheduling"}',
    ),
}


class UnresponsiveConnectionTest(limited.TimeoutTestCase):
    """Calls on an unresponsive connection time out and open a new one."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        replies = {route: [reply] for _, _, route, reply in MESSAGES.values()}
        server = self.enterContext(fake_server.FakeServer(replies))
        self.link = self.enterContext(relay.Relay(server.address))
        self.pools = await self.enterAsyncContext(
            http_pools.Pools(http_pools.PoolLimits())
        )

    async def send(
        self, service: kinds.Service, message: Any, address: str = ""
    ) -> Any:
        """Sends a call, through the relay unless an address is given."""
        address = address or self.link.address
        destination = effects.Destination(service, "t", address)
        call = effects.Call(ids.CallId("c"), destination, message, TIMEOUT_S)
        return await calls.send(self.pools, call)

    async def test_every_call_times_out_on_an_unresponsive_connection(self):
        """Guards against a call that hangs on a lost connection."""
        for name, (service, message, _, _) in MESSAGES.items():
            with self.subTest(name):
                first = await self.send(service, message)
                self.assertTrue(pipeline.is_successful(first), first)
                self.link.silence_open()
                lost = await self.send(service, message)
                self.assertEqual(lost.failure(), kinds.CallFailure.LOST)
                again = await self.send(service, message)
                self.assertEqual(again, first)

    async def test_address_without_a_listener_is_refused_immediately(self):
        """Guards against a killed scheduler that looks merely unresponsive."""
        # A bound socket that does not listen keeps its port from others.
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            host, port = bound.getsockname()
            message = messages.Monitor(EPOCH, 0.1)
            result = await self.send(PEER, message, f"{host}:{port}")
        self.assertEqual(result.failure(), kinds.CallFailure.NOT_SENT)


if __name__ == "__main__":
    unittest.main()
