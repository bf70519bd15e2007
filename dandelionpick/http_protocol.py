"""Inbound HTTP connections: enforces their limits."""

import asyncio
import http

import httptools
from absl import logging
from uvicorn.protocols.http import httptools_impl

from dandelionpick import errors
from dandelionpick import inbound_counts
from dandelionpick import inbound_limits
from dandelionpick import inbound_refusals
from dandelionpick import inbound_transport
from dandelionpick import inbound_waiting
from dandelionpick import metrics

# The parser can't be stopped within what it is fed with. A smaller part limits
# how many pipelined requests (18 bytes at least) can begin in it.
PART_BYTES = 256
# The most that is read from a connection at a time, and so held back behind an
# unanswered request.
READ_BYTES = 16_384
# Output that a client may leave unread before the next response waits for it.
MAX_UNREAD_BYTES = 16_384
# Refused connections that may wait for their close at a time. Each uses a
# descriptor; further ones are closed without a response.
MAX_LINGERING_REFUSALS = 16
# A client that reads more slowly than this in each write timeout is cut off.
MIN_READ_BYTES = 65_536


class InboundProtocol(httptools_impl.HttpToolsProtocol):
    """One inbound connection.

    Attributes:
        limits: set on a subclass by `protocol_class`.
        max_connections: set on a subclass by `protocol_class`.
        waiting: set on a subclass by `protocol_class`.
        counts: bytes received by what they belong to.
        body_bytes: declared length of the current body; 0 if none is declared.
        keeps_alive: whether the connection stays open after the response to
            the current request, if its body has ended by then.
        held: received bytes that wait until earlier requests have their
            answers.
    """

    limits = inbound_limits.InboundLimits()
    max_connections = limits.max_connections
    waiting = inbound_waiting.WaitingConnections()

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.counts = inbound_counts.ByteCounts()
        self.body_bytes = 0
        self.keeps_alive = False
        self.held = memoryview(b"")
        self.shutting_down = False
        self.header_timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accepts a connection, or refuses it if there is no room for it."""
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(MAX_UNREAD_BYTES)
        super().connection_made(
            inbound_transport.LingeringTransport(
                transport, self.limits.write_timeout_s
            )
        )
        self.flow = inbound_transport.InboundFlow(self.transport)
        if not self._has_room():
            self._refuse_connection()
            return
        self.waiting.add(self)
        self._start_header_timer()

    def _has_room(self) -> bool:
        """Returns whether there is room, for which another one may be closed.

        A connection of which a whole request has no response isn't closed for
        it, unless its client leaves responses unread.
        """
        if len(self.connections) <= self.max_connections:
            return True
        longest = self.waiting.pop_first()
        if longest is None:
            return False
        inbound_refusals.count_cut(inbound_refusals.CutReason.CROWDED_OUT)
        longest.transport.abort()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the timers and removes the connection."""
        self._cancel_header_timer()
        self._cancel_write_timer()
        self.waiting.discard(self)
        self.held = memoryview(b"")
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser, unless earlier requests wait for their answers."""
        if self.transport.is_closing():
            return
        if self.held:
            self.held = memoryview(bytes(self.held) + data)
            return
        self._feed(memoryview(data))

    def _feed(self, data: memoryview) -> None:
        while data and not self.transport.is_closing():
            if self._answers_are_pending():
                self.held = data
                self.flow.holds_input = True
                self.flow.pause_reading()
                return
            data = data[self._feed_part(data[: self._part_bytes()]) :]

    def _part_bytes(self) -> int:
        """Returns how many bytes the parser may be fed with at once."""
        if self.counts.phase is not inbound_counts.Phase.BODY:
            return PART_BYTES
        # In the rest of a body of declared length, no other request begins.
        return max(PART_BYTES, self.body_bytes - self.counts.body)

    def _feed_part(self, part: memoryview) -> int:
        """Feeds the parser; returns how many bytes it has taken."""
        self.counts.begin_part()
        size = len(part)
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserError:
            if not self.transport.is_closing():
                self.send_400_response("Invalid HTTP request received.")
            return size
        except httptools.HttpParserUpgrade as upgrade:
            # No upgrade is supported; what follows is the next request.
            size = upgrade.args[0] or size
        if self.transport.is_closing():
            return size
        self.counts.end_part(size)
        if self.counts.exceeds(
            self.limits.max_header_bytes, self.limits.max_framing_bytes
        ):
            self._end_oversized()
        return size

    def _answers_are_pending(self) -> bool:
        """Returns whether complete requests wait for their answers."""
        if self.pipeline:
            return True
        return self.counts.phase is inbound_counts.Phase.BETWEEN and (
            self._is_unanswered()
        )

    def _is_unanswered(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _waits_for_client(self) -> bool:
        """Returns whether nothing but the client can bring on the next step."""
        if self.flow.write_paused:
            return True
        if self.pipeline:
            return False
        in_body = self.counts.phase is inbound_counts.Phase.BODY
        return in_body or not self._is_unanswered()

    def _update_waiting(self) -> None:
        if self._waits_for_client():
            self.waiting.add(self)
        else:
            self.waiting.discard(self)

    def _feed_held(self) -> None:
        held, self.held = self.held, memoryview(b"")
        self.flow.holds_input = False
        self._feed(held)
        self.flow.resume_reading()

    def on_response_complete(self) -> None:
        """Starts the next request, or waits for one."""
        super().on_response_complete()
        self._update_waiting()
        if self.transport.is_closing():
            return
        if self.counts.phase is inbound_counts.Phase.HEADERS:
            # The timeout of the headers applies.
            self._unset_keepalive_if_required()
        if self.held:
            self.loop.call_soon(self._feed_held)

    def on_message_begin(self) -> None:
        """Starts the size count and the timeout of a request's headers."""
        super().on_message_begin()
        self.counts.enter(inbound_counts.Phase.HEADERS)
        # Bytes that belong to no request don't extend the keep-alive.
        self._unset_keepalive_if_required()
        self._start_header_timer()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers are discarded."""
        if self.transport.is_closing():
            return
        if self.counts.phase is inbound_counts.Phase.HEADERS:
            if len(self.headers) >= self.limits.max_header_fields:
                self._end_oversized()
                return
            super().on_header(name, value)
            if name.lower() == b"content-length":
                self.body_bytes = int(value)

    def on_headers_complete(self) -> None:
        """Starts the request unless its headers are too large."""
        self._cancel_header_timer()
        if self.transport.is_closing():
            return
        size = len(self.url) + sum(len(n) + len(v) for n, v in self.headers)
        if size > self.limits.max_header_bytes:
            self._end_oversized()
            return
        self.counts.enter(inbound_counts.Phase.BODY)
        super().on_headers_complete()
        # The connection ends with a response that is sent before the end of
        # the body: nothing limits the time or size of what would follow.
        self.keeps_alive = self.cycle.keep_alive
        self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Passes on a part of the body, unless the request was refused."""
        self.counts.body += len(body)
        if not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Completes the body, unless the request was refused."""
        self.body_bytes = 0
        self.counts.enter(inbound_counts.Phase.BETWEEN)
        if self.transport.is_closing():
            return
        if not self.cycle.response_started:
            self.cycle.keep_alive = self.keeps_alive and not self.shutting_down
        super().on_message_complete()
        self._update_waiting()

    def pause_writing(self) -> None:
        """Limits the time in which the client must read."""
        super().pause_writing()
        self._update_waiting()
        self._start_write_timer()

    def resume_writing(self) -> None:
        """Cancels the limit on reading."""
        self._cancel_write_timer()
        super().resume_writing()
        self._update_waiting()

    def _start_write_timer(self) -> None:
        self._cancel_write_timer()
        unread = self.transport.get_write_buffer_size()
        self.write_timer = self.loop.call_later(
            self.limits.write_timeout_s, self._on_write_timeout, unread
        )

    def _cancel_write_timer(self) -> None:
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None

    def _on_write_timeout(self, unread_before: int) -> None:
        self.write_timer = None
        unread = self.transport.get_write_buffer_size()
        if unread_before - unread >= MIN_READ_BYTES:
            self._start_write_timer()
            return
        inbound_refusals.count_cut(inbound_refusals.CutReason.UNREAD_ANSWERS)
        self.transport.abort()

    def send_400_response(self, msg: str) -> None:
        """Responds to data that is not valid HTTP."""
        self.refuse(
            http.HTTPStatus.BAD_REQUEST,
            errors.ProblemKind.MALFORMED,
            msg,
            "Send HTTP/1.1.",
        )

    def shutdown(self) -> None:
        """Closes the connection after the request in progress, if any."""
        self.shutting_down = True
        if self.counts.phase is inbound_counts.Phase.HEADERS:
            return
        super().shutdown()

    def refuse(
        self,
        status: http.HTTPStatus,
        kind: errors.ProblemKind,
        message: str,
        remedy: str,
    ) -> None:
        """Sends a problem response and closes the connection.

        Nothing is sent once a request was handed over that may have run: the
        client would take the response for the one to that request.
        """
        in_body = self.counts.phase is inbound_counts.Phase.BODY
        if in_body or self._is_unanswered():
            self._cut(inbound_refusals.CutReason.HANDED_OVER)
            return
        metrics.add("connections_refused_total", (kind.value,), 1.0)
        problem = errors.Problem(kind, message, remedy)
        self.transport.write(
            inbound_refusals.problem_response_bytes(status, problem)
        )
        self.transport.close()

    def _cut(self, reason: inbound_refusals.CutReason) -> None:
        inbound_refusals.count_cut(reason)
        self.transport.close()

    def _refuse_connection(self) -> None:
        excess = len(self.connections) - self.max_connections
        if excess > MAX_LINGERING_REFUSALS:
            inbound_refusals.count_cut(inbound_refusals.CutReason.OVERLOADED)
            self.transport.abort()
            return
        self.refuse(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            errors.ProblemKind.OVERLOADED,
            f"More than {self.max_connections} connections are open.",
            "Send the request again later, or to another instance.",
        )

    def _end_oversized(self) -> None:
        if self.counts.phase is inbound_counts.Phase.BODY:
            self._cut(inbound_refusals.CutReason.FRAMING)
            return
        if self.counts.phase is inbound_counts.Phase.BETWEEN:
            self._cut(inbound_refusals.CutReason.EMPTY_LINES)
            return
        self.refuse(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            errors.ProblemKind.MALFORMED,
            "The request line and headers are larger than"
            f" {self.limits.max_header_bytes} bytes or have more than"
            f" {self.limits.max_header_fields} headers.",
            "Send fewer or shorter headers.",
        )

    def _start_header_timer(self) -> None:
        self._cancel_header_timer()
        self.header_timer = self.loop.call_later(
            self.limits.header_timeout_s, self._on_header_timeout
        )

    def _cancel_header_timer(self) -> None:
        if self.header_timer is not None:
            self.header_timer.cancel()
            self.header_timer = None

    def _on_header_timeout(self) -> None:
        self.header_timer = None
        if self.transport.is_closing():
            return
        if self.counts.phase is not inbound_counts.Phase.HEADERS:
            # The client has sent no request, so it expects no response.
            self.transport.close()
            return
        logging.warning("server: timed out waiting for request headers")
        self.refuse(
            http.HTTPStatus.REQUEST_TIMEOUT,
            errors.ProblemKind.TOO_SLOW,
            "The request's headers were not received within"
            f" {self.limits.header_timeout_s} s.",
            "Send the request again on a new connection.",
        )


def protocol_class(
    limits: inbound_limits.InboundLimits,
) -> type[InboundProtocol]:
    """Returns a protocol class that applies the given limits."""
    most = limits.connection_limit()
    attributes = {
        "limits": limits,
        "max_connections": most,
        "waiting": inbound_waiting.WaitingConnections(),
    }
    return type("LimitedProtocol", (InboundProtocol,), attributes)
