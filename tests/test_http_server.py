"""Tests of the HTTP interface: limits, errors and closing of connections."""

import asyncio
import contextlib
import errno
import unittest
from unittest import mock

import prometheus_client

from dandelionpick import dispatch
from dandelionpick import drain
from dandelionpick import events
from dandelionpick import inbound_transport
from dandelionpick import reducer
from dandelionpick import reduction
from dandelionpick import runtime as runtime_lib
from dandelionpick import wire
from tests import builders
from tests import http_instance
from tests import limited

REQUEST = wire.encode(builders.request("k1"))


def sample(name: str, **labels: str) -> float:
    """Returns the value of a metric of this process; 0 if it is not set."""
    registry = prometheus_client.REGISTRY
    return registry.get_sample_value(f"dandelionpick_{name}", labels) or 0.0


class HttpTest(limited.TimeoutTestCase):
    """Base class: a runtime whose calls all fail, served over HTTP."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.runtime = await http_instance.runtime_with()

    async def serve(self, **limits: float) -> http_instance.HttpInstance:
        return await self.enterAsyncContext(
            http_instance.serve(self.runtime, **limits)
        )


class LimitsTest(HttpTest):
    """Guards against clients that use unlimited memory or connections."""

    async def test_oversized_bodies_get_a_typed_problem(self):
        served = await self.serve()
        size = self.runtime.state.limits.max_body_bytes * 2
        chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
        head = b"POST /v1/requests HTTP/1.1\r\nhost: t\r\n"
        requests = {
            "length": (http_instance.post("/v1/requests", b"x" * size),),
            "chunked": (
                head + b"transfer-encoding: chunked\r\n\r\n",
                chunk,
                b"0\r\n\r\n",
            ),
        }
        for name, parts in requests.items():
            with self.subTest(name):
                status, _, body = await served.converse(*parts)
                self.assertEqual(status, 413)
                self.assertEqual(body["problem"]["kind"], "body_too_large")

    async def test_oversized_headers_get_a_typed_problem(self):
        served = await self.serve(max_header_bytes=1_000)
        long_header = b"x: " + b"y" * 2_000
        requests = {
            "whole": (b"GET /livez HTTP/1.1\r\n" + long_header + b"\r\n\r\n",),
            "long path": (http_instance.get("/" + "x" * 2_000),),
        }
        for name, parts in requests.items():
            with self.subTest(name):
                status, _, body = await served.converse(*parts)
                self.assertEqual(status, 431)
                self.assertEqual(body["problem"]["kind"], "malformed")

    async def test_many_headers_get_a_typed_problem(self):
        """Each takes much more memory than its bytes."""
        served = await self.serve(max_header_fields=10)
        lines = b"GET /livez HTTP/1.1\r\n" + b"a: b\r\n" * 10
        status, _, _ = await served.converse(lines + b"\r\n")
        self.assertEqual(status, 200)
        for name, end in (("whole", b"a: b\r\n\r\n"), ("begun", b"a: b\r\nc")):
            with self.subTest(name):
                status, headers, body = await served.converse(lines + end)
                self.assertEqual(
                    (status, headers["connection"]), (431, "close")
                )
                self.assertEqual(body["problem"]["kind"], "malformed")
                self.assertIn("10 headers", body["problem"]["message"])

    async def test_endless_headers_are_refused(self):
        served = await self.serve(max_header_bytes=1_000)
        reader, writer = await served.connect()
        writer.write(b"GET /livez HTTP/1.1\r\n")
        reading = asyncio.ensure_future(http_instance.read_response(reader))
        while not reading.done():
            writer.write(b"x: y\r\n" * 100)
            await asyncio.sleep(0.01)
        status, _, _ = await reading
        self.assertEqual(status, 431)
        writer.transport.abort()

    async def test_connections_above_the_limit_are_refused(self):
        """No connection is closed of which a request has no answer."""
        answered = asyncio.Event()
        handled = []
        reply = self.runtime.exchange

        async def exchange(*arguments):
            handled.append(arguments)
            await answered.wait()
            return await reply(*arguments)

        served = await self.serve(max_connections=2)
        kept = [await served.connect() for _ in range(2)]
        with mock.patch.object(self.runtime, "exchange", exchange):
            for _, writer in kept:
                writer.write(http_instance.get("/v1/status"))
            while len(handled) < len(kept):
                await asyncio.sleep(0.01)
            status, headers, body = await served.converse(
                http_instance.get("/livez")
            )
            self.assertEqual((status, headers["connection"]), (503, "close"))
            self.assertEqual(body["problem"]["kind"], "overloaded")
            answered.set()
            for reader, writer in kept:
                status, _, _ = await http_instance.read_response(reader)
                self.assertEqual(status, 200)
                writer.transport.abort()

    async def test_connection_that_waits_longest_makes_room(self):
        """Clients that send nothing whole would keep out those that do."""
        beginnings = {
            "silent": b"",
            "head": http_instance.get("/livez")[:-2],
            "body": http_instance.post("/v1/requests", REQUEST)[:-1],
            "idle": http_instance.get("/livez"),
        }
        for name, beginning in beginnings.items():
            with self.subTest(name):
                served = await self.serve(max_connections=2)
                first = await served.connect()
                first[1].write(beginning)
                if name == "idle":
                    await http_instance.read_response(first[0])
                second = await served.connect()
                second[1].write(http_instance.get("/livez"))
                await http_instance.read_response(second[0])
                status, _, _ = await served.converse(
                    http_instance.get("/livez")
                )
                self.assertEqual(status, 200)
                # Nothing is said of the request that had begun.
                with contextlib.suppress(ConnectionResetError):
                    self.assertEqual(await first[0].read(), b"")
                second[1].write(http_instance.get("/livez"))
                status, _, _ = await http_instance.read_response(second[0])
                self.assertEqual(status, 200)
                for _, writer in (first, second):
                    writer.transport.abort()

    async def test_slow_headers_and_bodies_time_out(self):
        served = await self.serve(header_timeout_s=0.2, body_timeout_s=0.2)
        part = http_instance.post("/v1/requests", REQUEST)
        for name, sent in (("head", part[:30]), ("body", part[:-5])):
            with self.subTest(name):
                status, headers, body = await served.converse(sent)
                self.assertEqual(
                    (status, headers["connection"]), (408, "close")
                )
                self.assertEqual(body["problem"]["kind"], "too_slow")

    async def test_silent_connections_are_closed(self):
        served = await self.serve(header_timeout_s=0.2)
        reader, writer = await served.connect()
        self.assertEqual(await reader.read(), b"")
        writer.close()


class ErrorsTest(HttpTest):
    """Guards against untyped errors and errors that end the process."""

    async def test_malformed_messages_name_the_field(self):
        served = await self.serve()
        valid = REQUEST.decode()
        cases = {
            "{": "truncated",
            "\xff": "JSON",
            "[]": "object",
            "{}": "organisation",
            valid.replace('"deadline_s":5.0', '"deadline_s":"x"'): "deadline_s",
            valid.replace('"attempt"', '"atempt"'): "atempt",
            valid.replace('"body":"', '"body":"?'): "body",
        }
        for text, named in cases.items():
            with self.subTest(text):
                body = text.encode("latin-1")
                status, _, reply = await served.converse(
                    http_instance.post("/v1/requests", body)
                )
                self.assertEqual(status, 400)
                self.assertEqual(reply["problem"]["kind"], "malformed")
                self.assertIn(named, reply["problem"]["message"])

    async def test_malformed_queries_name_the_field(self):
        served = await self.serve()
        for query, named in (("wait_s=x", "wait_s"), ("wait=1", "wait")):
            with self.subTest(query):
                status, _, reply = await served.converse(
                    http_instance.get(f"/v1/requests/ward/k1?{query}")
                )
                self.assertEqual(status, 400)
                message = reply["problem"]["message"]
                self.assertRegex(message, rf"[`.]{named}`")

    async def test_unknown_paths_and_methods_get_a_typed_problem(self):
        served = await self.serve()
        for request, expected in (
            (http_instance.get("/v2"), 404),
            (http_instance.get("/v1/requests"), 405),
            (b"nonsense\r\n\r\n", 400),
        ):
            with self.subTest(request):
                status, _, reply = await served.converse(request)
                self.assertEqual(status, expected)
                self.assertIn("remedy", reply["problem"])

    async def test_fault_of_a_handler_gets_a_typed_problem(self):
        served = await self.serve()
        before = sample("faults_total", place="event")
        with mock.patch.object(
            dispatch, "on_message", side_effect=KeyError("x")
        ):
            status, _, reply = await served.converse(
                http_instance.post("/v1/requests", REQUEST)
            )
        self.assertEqual(status, 500)
        self.assertEqual(reply["problem"]["kind"], "internal")
        self.assertEqual(sample("faults_total", place="event"), before + 1)
        status, _, _ = await served.converse(http_instance.get("/livez"))
        self.assertEqual(status, 200)

    async def test_unanswered_message_gets_a_typed_problem(self):
        """Guards against a missing response after a fault in a later event."""
        served = await self.serve()
        with (
            mock.patch.object(dispatch, "on_message"),
            mock.patch.object(runtime_lib, "RESPONSE_MARGIN_S", 0.1),
        ):
            status, _, reply = await served.converse(
                http_instance.get("/v1/status")
            )
        self.assertEqual(status, 500)
        self.assertEqual(reply["problem"]["kind"], "internal")
        self.assertEqual(self.runtime.exchanges, {})

    async def test_fault_of_one_tick_handler_does_not_stop_the_others(self):
        def broken(state, step):
            raise ValueError("broken")

        self.runtime.state.limits.drain_notice_s = 0.0
        ticks = (broken, drain.tick)
        with mock.patch.object(reducer, "TICK_HANDLERS", ticks):
            now = self.runtime.moment()
            self.runtime.deliver(events.StopRequested(now))
            self.runtime.deliver(events.Tick(self.runtime.moment()))
        self.assertTrue(self.runtime.exit_requested.is_set())

    async def test_fault_of_a_call_counts_as_a_lost_call(self):
        async def broken(call):
            raise RuntimeError("broken")

        before = sample("faults_total", place="call")
        runtime = http_instance.new_runtime(broken)
        runtime.deliver(events.Tick(runtime.moment()))
        self.assertTrue(runtime.call_tasks)
        await asyncio.gather(*runtime.call_tasks)
        self.assertEqual(runtime.state.calls, {})
        self.assertGreater(sample("faults_total", place="call"), before)

    async def test_stall_is_applied_before_the_event_that_follows_it(self):
        before = sample("stalls_total")
        self.runtime.last_tick_s -= 10.0
        seen = []

        def record(state, event):
            seen.append(type(event))
            return reduction.Reduction([], [])

        with mock.patch.object(reducer, "reduce_guarded", record):
            self.runtime.deliver(events.Tick(self.runtime.moment()))
        self.assertEqual(seen, [events.Stalled, events.Tick])
        self.assertEqual(sample("stalls_total"), before + 1)


class ConnectionCloseTest(HttpTest):
    """Guards against resets of connections during a graceful shutdown."""

    async def request_stop(self) -> None:
        self.runtime.deliver(events.StopRequested(self.runtime.moment()))

    async def test_responses_close_the_connection_while_draining(self):
        served = await self.serve()
        _, headers, _ = await served.converse(http_instance.get("/livez"))
        self.assertNotIn("connection", headers)
        await self.request_stop()
        _, headers, _ = await served.converse(http_instance.get("/livez"))
        self.assertEqual(headers["connection"], "close")
        status, _, _ = await served.converse(http_instance.get("/readyz"))
        self.assertEqual(status, 503)

    async def test_idle_connection_is_closed_without_a_reset(self):
        served = await self.serve()
        reader, writer = await served.connect()
        writer.write(http_instance.get("/livez"))
        await http_instance.read_response(reader)
        self.runtime.exit_requested.set()
        self.assertEqual(await reader.read(), b"")
        # A request that was sent before the client saw the EOF causes no reset.
        writer.write(http_instance.get("/livez"))
        await writer.drain()
        self.assertEqual(await reader.read(), b"")
        writer.close()
        await writer.wait_closed()

    async def test_request_in_transit_at_exit_is_answered(self):
        served = await self.serve()
        reader, writer = await served.connect()
        request = http_instance.get("/livez")
        writer.write(request[:10])
        # A response on another connection shows that the event loop has run, so
        # the first part has been read.
        await served.converse(http_instance.get("/livez"))
        self.runtime.exit_requested.set()
        await self.until_not_listening(served)
        writer.write(request[10:])
        status, headers, _ = await http_instance.read_response(reader)
        self.assertEqual((status, headers["connection"]), (200, "close"))
        writer.close()

    async def until_not_listening(self, served) -> None:
        with contextlib.suppress(ConnectionError):
            while True:
                _, writer = await served.connect()
                writer.transport.abort()
                await asyncio.sleep(0.01)

    async def test_connection_reset_by_the_client_is_aborted(self):
        """Guards against a reset during close() that is reported as a fault."""
        transport = mock.Mock(asyncio.Transport)
        transport.is_closing.return_value = False
        transport.write_eof.side_effect = OSError(errno.ENOTCONN, "reset")
        inbound_transport.LingeringTransport(transport).close()
        transport.abort.assert_called_once_with()

    async def test_slow_client_receives_a_large_response_completely(self):
        served = await self.serve()
        await self.request_stop()
        size = 8_000_000
        with mock.patch(
            "dandelionpick.metrics.render", lambda: (b"x" * size, "text/plain")
        ):
            reader, writer = await served.connect()
            writer.write(http_instance.get("/metrics"))
            received = 0
            # Takes longer than LINGER_TIMEOUT_S.
            for _ in range(15):
                received += len(await reader.read(10_000))
                await asyncio.sleep(0.1)
            while data := await reader.read(1_000_000):
                received += len(data)
        self.assertGreater(received, size)
        writer.close()


if __name__ == "__main__":
    unittest.main()
