"""Tests of the bounds on what one connection may send and leave unread."""

import asyncio
import contextlib
from unittest import mock

from dandelionpick import http_protocol
from tests import http_instance
from tests import test_http_server

# Refused at once, with a message that shows whether the body came whole.
BODY = b'{"organisation": "ward", "key": 7}'
CHUNKED = (
    b"POST /v1/requests HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n"
    b"trailer: a, b, c\r\n\r\n"
)
CHUNKS = b"%x;a=b;name=value\r\n%s\r\n%x;c\r\n%s\r\n0;d=e\r\n" % (
    7,
    BODY[:7],
    len(BODY) - 7,
    BODY[7:],
)
TRAILERS = b"a: 1\r\nb: 2\r\nx-deadline-ms: 3\r\n\r\n"
SERVED = http_instance.get("/livez")


class BoundsTest(test_http_server.HttpTest):
    """Guards against bytes that no limit counts."""

    async def closed_after(self, *parts: bytes, **limits: float) -> bytes:
        """Returns what comes until the connection is closed."""
        served = await self.serve(**limits)
        reader, writer = await served.connect()
        for part in parts:
            writer.write(part)
        try:
            return await reader.read()
        finally:
            writer.transport.abort()

    async def test_chunked_request_with_trailers_is_served(self):
        served = await self.serve()
        plain = await served.converse(http_instance.post("/v1/requests", BODY))
        request = CHUNKED + CHUNKS + TRAILERS
        for parts in ([request], [bytes([byte]) for byte in request]):
            with self.subTest(parts=len(parts)):
                reader, writer = await served.connect()
                for part in parts:
                    writer.write(part)
                    await asyncio.sleep(0)
                answer = await http_instance.read_response(reader)
                self.assertEqual(answer[0], plain[0])
                self.assertEqual(answer[2], plain[2])
                writer.write(SERVED)
                status, _, _ = await http_instance.read_response(reader)
                self.assertEqual(status, 200)
                writer.transport.abort()

    async def test_framing_over_the_limit_ends_the_connection(self):
        """The request may have been handed over, so nothing is claimed."""
        beginning = CHUNKED + CHUNKS
        for name, sent in {
            "trailers": beginning + b"a: b\r\n" * 2_000,
            "trailer": beginning + b"a: " + b"b" * 12_000,
            "extensions": CHUNKED + b"1;" + b"a=b;" * 3_000,
            "invalid chunk": CHUNKED + b"nonsense\r\n",
        }.items():
            with self.subTest(name):
                reply = await self.closed_after(sent, max_framing_bytes=1_000)
                self.assertEqual(reply, b"")

    async def test_empty_lines_after_a_request_end_the_connection(self):
        reply = await self.closed_after(
            SERVED, b"\r\n" * 8_000, max_header_bytes=1_000
        )
        self.assertEqual(reply.count(b"HTTP/1.1"), 1)

    async def test_large_head_behind_an_unanswered_request(self):
        """A refusal would be taken for the answer to the first request."""
        answered = asyncio.Event()

        async def never(*arguments):
            await answered.wait()

        with mock.patch.object(self.runtime, "exchange", never):
            reply = await self.closed_after(
                http_instance.get("/v1/status"),
                b"GET /" + b"x" * 8_000,
                header_timeout_s=0.2,
            )
        answered.set()
        self.assertEqual(reply, b"")

    async def test_answer_before_the_end_of_a_body_ends_the_connection(self):
        """Such a client could go on sending for as long as it liked."""
        served = await self.serve(body_timeout_s=0.2)
        for name, beginning in {
            "too slow": CHUNKED + CHUNKS[:30],
            "other method": CHUNKED.replace(b"POST", b"PUT"),
            "unread body": CHUNKED.replace(b"POST /v1/requests", b"GET /livez"),
        }.items():
            with self.subTest(name):
                reader, writer = await served.connect()
                writer.write(beginning)
                _, headers, _ = await http_instance.read_response(reader)
                self.assertEqual(headers["connection"], "close")
                self.assertEqual(await reader.read(), b"")
                writer.transport.abort()

    async def test_answer_after_the_end_of_a_body_keeps_the_connection(self):
        served = await self.serve()
        for name, request in {
            "body": http_instance.post("/v1/requests", BODY),
            "chunks": CHUNKED + CHUNKS + TRAILERS,
            "no body": SERVED,
            "upgrade": SERVED.replace(
                b"\r\n\r\n", b"\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"
            ),
        }.items():
            with self.subTest(name):
                reader, writer = await served.connect()
                for _ in range(2):
                    writer.write(request)
                    _, headers, _ = await http_instance.read_response(reader)
                    self.assertNotIn("connection", headers)
                writer.transport.abort()

    async def test_pipelined_requests_are_answered_a_few_at_a_time(self):
        waiting = []
        protocol_type = http_protocol.InboundProtocol
        complete = protocol_type.on_headers_complete

        def record(protocol):
            complete(protocol)
            waiting.append(len(protocol.pipeline))

        with mock.patch.object(protocol_type, "on_headers_complete", record):
            served = await self.serve()
            reader, writer = await served.connect()
            writer.write(SERVED * 1_000)
            for _ in range(1_000):
                status, _, _ = await http_instance.read_response(reader)
                self.assertEqual(status, 200)
        self.assertLess(max(waiting), 15)
        writer.transport.abort()

    async def test_answers_that_are_not_read_end_the_connection(self):
        served = await self.serve(write_timeout_s=0.2)
        text = (b"x" * 32_000_000, "text/plain")
        with mock.patch("dandelionpick.metrics.render", lambda: text):
            before = cut_for_unread_answers()
            reader, writer = await served.connect()
            writer.write(http_instance.get("/metrics"))
            while cut_for_unread_answers() == before:
                await asyncio.sleep(0.01)
            received = 0
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(1_000_000):
                    received += len(data)
        self.assertLess(received, 32_000_000)
        writer.close()


def cut_for_unread_answers() -> float:
    """Returns how many connections were closed for unread answers."""
    return test_http_server.sample(
        "connections_cut_total", reason="unread_answers"
    )
