"""Tests of tracing: each hop of a request records a span."""

import asyncio
import functools
import unittest

import msgspec
from aiohttp import web

from dandelionpick import events
from dandelionpick import executor_messages
from dandelionpick import http_client
from dandelionpick import http_pools
from dandelionpick import ids
from dandelionpick import list_messages
from dandelionpick import wire
from tests import builders
from tests import http_instance
from tests import limited

SAMPLED = 1
TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
CALLER_SPAN = "b7ad6b7169203331"
TRACEPARENT = f"00-{TRACE_ID}-{CALLER_SPAN}-01"


class TracingTest(limited.TimeoutTestCase):
    """A request can be traced from the caller to the executor."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.received: list[str] = []
        address = await self.serve_executor()
        pools = await self.enterAsyncContext(
            http_pools.Pools(http_pools.PoolLimits())
        )
        send = functools.partial(http_client.send, pools)
        entry = builders.executor_entry("executor-1", "a")
        fields = msgspec.structs.asdict(entry)
        listed = list_messages.InstanceEntry(**{**fields, "address": address})
        self.runtime = await http_instance.runtime_with(send, [listed])
        self.served = await self.enterAsyncContext(
            http_instance.serve(self.runtime)
        )

    async def serve_executor(self) -> str:
        """Serves an executor that records the traceparent headers it gets."""

        async def run_task(request: web.Request) -> web.Response:
            self.received.append(request.headers["traceparent"])
            message = wire.EXECUTOR[executor_messages.StartTask].message.decode(
                await request.read()
            )
            body = message.body[::-1]
            result = executor_messages.TaskResult(
                task_id=message.task_id,
                incarnation=ids.Incarnation("i1"),
                succeeded=True,
                body=body,
                length=len(body),
                digest=executor_messages.digest_of(body),
            )
            return web.Response(body=wire.encode(result))

        app = web.Application()
        app.router.add_post("/v1/start-task", run_task)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        return f"127.0.0.1:{runner.addresses[0][1]}"

    async def submit(self, *headers: str) -> None:
        status, _, answer = await self.served.converse(
            http_instance.post(
                "/v1/requests", wire.encode(builders.request("k1")), *headers
            )
        )
        self.assertEqual((status, answer["outcome"]), (200, "completed"))

    async def test_one_request_has_a_span_for_each_hop(self):
        await self.submit(f"traceparent: {TRACEPARENT}")
        status, _, spans = await self.served.converse(
            http_instance.get(f"/v1/traces/{TRACE_ID}")
        )
        self.assertEqual(status, 200)
        by_name = {span["name"]: span for span in spans}
        server = by_name["SubmitRequest"]
        start = by_name["executor StartTask"]
        self.assertEqual(server["parent_id"], CALLER_SPAN)
        self.assertEqual(start["parent_id"], server["span_id"])
        self.assertLessEqual(server["start_ns"], start["start_ns"])
        self.assertEqual(
            self.received, [f"00-{TRACE_ID}-{start['span_id']}-01"]
        )

    async def test_request_without_context_starts_a_trace(self):
        await self.submit()
        trace_id, _, flags = self.received[0].split("-")[1:]
        spans = self.runtime.tracer.recent_spans.of_trace(trace_id)
        self.assertEqual(len(spans), 2)
        self.assertTrue(int(flags, 16) & SAMPLED)

    async def test_callers_decision_not_to_sample_is_passed_on(self):
        await self.submit(f"traceparent: {TRACEPARENT[:-2]}00")
        self.assertTrue(self.received[0].startswith(f"00-{TRACE_ID}-"))
        self.assertTrue(self.received[0].endswith("-00"))
        self.assertEqual(
            self.runtime.tracer.recent_spans.of_trace(TRACE_ID), []
        )

    async def test_background_calls_have_no_spans(self):
        self.runtime.deliver(events.Tick(self.runtime.moment()))
        await asyncio.gather(*self.runtime.call_tasks)
        self.assertEqual(list(self.runtime.tracer.recent_spans.spans), [])


if __name__ == "__main__":
    unittest.main()
