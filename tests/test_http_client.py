"""Tests of outgoing calls: unresponsive connections, pools and refusals."""

import asyncio
import time
import unittest
from typing import Any

from returns import pipeline

from dandelionpick import caller_messages
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import executor_messages
from dandelionpick import http_client
from dandelionpick import http_pools
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import peer_messages
from dandelionpick import store_messages
from dandelionpick import worker_messages
from standins import relay
from tests import builders
from tests import fake_server
from tests import limited

TIMEOUT_S = 0.3
VALUE = store_messages.Value("k", 1, "v")
READ = store_messages.Read("k")
REPORT = worker_messages.WorkerReport(ids.Incarnation("i"), [])
TASK = executor_messages.TaskUnknown(ids.TaskId("t"), ids.Incarnation("i"))
HEARTBEAT = peer_messages.Heartbeat(
    instance=ids.InstanceId("e"),
    failure_domain=ids.FailureDomain("a"),
    incarnation=ids.Incarnation("i"),
)
# One message of each interface, with its path and its reply.
INTERFACES = {
    kinds.Service.STORE: (READ, "/v1/read", VALUE),
    kinds.Service.INSTANCE_LIST: (
        list_messages.ReadInstances(),
        "/v1/instances",
        list_messages.Instances([]),
    ),
    kinds.Service.EXECUTOR: (
        executor_messages.QueryTask(ids.TaskId("t")),
        "/v1/query-task",
        TASK,
    ),
    kinds.Service.WORKER: (
        worker_messages.RenewLeases([], 1.0),
        "/v1/renew-leases",
        REPORT,
    ),
    kinds.Service.PEER: (HEARTBEAT, "/peer/v1/heartbeat", HEARTBEAT),
}


def build_call(
    address: str,
    message: Any,
    service: kinds.Service = kinds.Service.STORE,
    timeout_s: float = limited.TEST_TIMEOUT_S,
) -> effects.Call:
    """Builds a call to a service at an address."""
    destination = effects.Destination(service, "", address)
    return effects.Call(ids.CallId("c1"), destination, message, timeout_s)


class HttpClientTest(limited.TimeoutTestCase):
    """Calls on unresponsive connections time out and retire the connections."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.replies = {
            ("POST", path): [reply] for _, path, reply in INTERFACES.values()
        }
        server = self.enterContext(fake_server.FakeServer(self.replies))
        self.link = self.enterContext(relay.Relay(server.address))
        limits = http_pools.PoolLimits()
        self.pools = await self.enterAsyncContext(http_pools.Pools(limits))

    async def send(self, message: Any, **fields: Any) -> Any:
        """Sends a call through the relay; returns the reply or the failure."""
        call = build_call(self.link.address, message, **fields)
        result = await http_client.send(self.pools, call)
        if pipeline.is_successful(result):
            return result.unwrap()
        return result.failure()

    async def send_and_time_out(self, message: Any, **fields: Any) -> None:
        """Sends a call and checks that it times out as LOST."""
        reply = await self.send(message, timeout_s=TIMEOUT_S, **fields)
        self.assertEqual(reply, kinds.CallFailure.LOST)

    async def send_many(self, count: int) -> list[Any]:
        return await asyncio.gather(*(self.send(READ) for _ in range(count)))

    async def test_timeout_discards_idle_connections(self):
        self.link.delay(0.05)
        self.assertEqual(await self.send_many(5), [VALUE] * 5)
        self.assertEqual(self.link.opened, 5)
        self.link.heal()
        self.link.silence_open()
        await self.send_and_time_out(READ)
        self.assertEqual(await self.send_many(5), [VALUE] * 5)

    async def test_every_interface_times_out_on_an_unresponsive_connection(
        self,
    ):
        for service, (message, _, reply) in INTERFACES.items():
            with self.subTest(service):
                self.assertEqual(
                    await self.send(message, service=service), reply
                )
                self.link.silence_open()
                await self.send_and_time_out(message, service=service)
                self.assertEqual(
                    await self.send(message, service=service), reply
                )

    async def test_calls_in_progress_survive_the_timeout_of_another(self):
        self.link.delay(TIMEOUT_S * 2)
        slow = asyncio.ensure_future(self.send(READ))
        await self.send_and_time_out(READ)
        self.assertEqual(await slow, VALUE)

    async def test_retired_connections_are_closed(self):
        await self.send_many(3)
        self.link.silence_open()
        await self.send_and_time_out(READ)
        await asyncio.gather(*self.pools.close_tasks)
        self.assertEqual(self.pools.by_address, {})

    async def test_waiting_for_a_free_connection_is_not_sent(self):
        self.link.silence_all()
        limit = self.pools.limits.connections_per_host
        held = [asyncio.ensure_future(self.send(READ)) for _ in range(limit)]
        while self.link.opened < limit:
            await asyncio.sleep(0.01)
        reply = await self.send(READ, timeout_s=TIMEOUT_S)
        self.assertEqual(reply, kinds.CallFailure.NOT_SENT)
        # The connections are only busy, so the connection limit still applies.
        self.assertEqual(self.link.opened, limit)
        for call in held:
            call.cancel()

    async def test_refused_connection_is_not_sent_and_reset_is_lost(self):
        call = build_call("127.0.0.1:1", READ)
        result = await http_client.send(self.pools, call)
        self.assertEqual(result.failure(), kinds.CallFailure.NOT_SENT)
        self.link.cut()
        self.assertEqual(await self.send(READ), kinds.CallFailure.LOST)
        self.link.heal()
        self.assertEqual(await self.send(READ), VALUE)

    async def test_watch_times_out_after_its_wait_and_a_margin(self):
        watch = store_messages.Watch("k", 1, wait_s=5.0)
        call = build_call("a", watch, timeout_s=100.0)
        self.assertEqual(
            http_client.effective_timeout_s(call),
            5.0 + http_client.WAIT_MARGIN_S,
        )
        call = build_call("a", READ, timeout_s=1.5)
        self.assertEqual(http_client.effective_timeout_s(call), 1.5)

    async def test_refusal_of_a_peer_is_a_reply(self):
        """Guards against a refused forward that is taken for a lost one."""
        answer = caller_messages.Answer(
            organisation=ids.OrganisationId("o"),
            key=ids.RequestKey("k"),
            outcome=kinds.Outcome.NOT_RUN,
            problem=errors.Problem(errors.ProblemKind.OVERLOADED, "m", "r"),
        )
        self.replies["POST", "/peer/v1/forward-request"] = [answer]
        message = peer_messages.ForwardRequest(request=builders.request("k"))
        reply = await self.send(message, service=kinds.Service.PEER)
        self.assertEqual(reply, answer)

    async def test_pools_of_unused_addresses_are_closed(self):
        await self.send(READ)
        (pool,) = self.pools.by_address.values()
        long_ago_s = time.monotonic() - 2 * http_pools.UNUSED_POOL_TIMEOUT_S
        pool.last_used_s = self.pools.last_sweep_s = long_ago_s
        await self.send(READ)
        self.assertTrue(pool.retired)


if __name__ == "__main__":
    unittest.main()
