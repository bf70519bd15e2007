"""Inbound HTTP connections: limits and orderly closing."""

import asyncio
import dataclasses
import http

from absl import logging
from uvicorn.protocols.http import httptools_impl

from dandelionpick import errors
from dandelionpick import metrics
from dandelionpick import peer_messages
from dandelionpick import wire

# How long input is discarded before the socket is closed. A client that has not
# yet seen the end of the connection may still be sending; closing the socket
# then would reset the connection, and the client could lose a response that it
# has not read.
LINGER_TIMEOUT_S = 1.0
# A connection whose pending output is not read within this time is aborted.
FLUSH_TIMEOUT_S = 30.0


@dataclasses.dataclass(slots=True)
class InboundLimits:
    """Limits on inbound connections.

    Attributes:
        max_connections: further connections are refused with `overloaded`.
        max_header_bytes: maximum size of the request line and headers.
        header_timeout_s: from the start of a connection or of a request to
            the end of the headers.
        body_timeout_s: from the end of the headers to the end of the body.
        keep_alive_s: how long an idle connection stays open; clients should
            close theirs earlier.
    """

    max_connections: int = 2_000
    max_header_bytes: int = 16_384
    header_timeout_s: float = 10.0
    body_timeout_s: float = 10.0
    keep_alive_s: float = 60.0


def problem_response_bytes(
    status: http.HTTPStatus, problem: errors.Problem
) -> bytes:
    """Builds a complete HTTP response that closes the connection."""
    body = wire.encode(peer_messages.Refused(problem))
    head = (
        f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body


class LingeringTransport:
    """A transport whose close() shuts down writing before reading.

    Attributes:
        lingering: writing has been shut down; further input is discarded.
    """

    def __init__(self, transport: asyncio.Transport):
        self.transport = transport
        self.lingering = False

    def __getattr__(self, name: str):
        return getattr(self.transport, name)

    def is_closing(self) -> bool:
        """Returns whether the transport no longer accepts writes."""
        return self.lingering or self.transport.is_closing()

    def write(self, data: bytes) -> None:
        """Writes data unless writing has been shut down."""
        if not self.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Shuts down writing; the socket is closed after LINGER_TIMEOUT_S.

        It is closed earlier if the client closes its side, and later, up to
        FLUSH_TIMEOUT_S, while output is still unsent.
        """
        if self.is_closing():
            return
        self.lingering = True
        try:
            self.transport.write_eof()
        except OSError:
            # The client has reset the connection, so no EOF can be sent.
            self.transport.abort()
            return
        self.transport.resume_reading()
        self._schedule_abort(LINGER_TIMEOUT_S)

    def _schedule_abort(self, elapsed_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_TIMEOUT_S, self._abort_if_flushed, elapsed_s)

    def _abort_if_flushed(self, elapsed_s: float) -> None:
        unsent = self.transport.get_write_buffer_size()
        if unsent and elapsed_s < FLUSH_TIMEOUT_S:
            self._schedule_abort(elapsed_s + LINGER_TIMEOUT_S)
            return
        self.transport.abort()


class InboundProtocol(httptools_impl.HttpToolsProtocol):
    """One inbound connection.

    Attributes:
        limits: set on a subclass by `protocol_class`.
        reading_headers: whether a request line and headers have been received
            only in part.
        header_bytes: bytes received of them, not counting the chunk in which
            the request began.
    """

    limits = InboundLimits()

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.reading_headers = False
        self.header_bytes = 0
        self.shutting_down = False
        self.header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accepts a connection, or refuses it if too many are open."""
        super().connection_made(LingeringTransport(transport))
        if len(self.connections) > self.limits.max_connections:
            self.refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                errors.ProblemKind.OVERLOADED,
                f"More than {self.limits.max_connections} connections are"
                " open.",
                "Send the request again later, or to another instance.",
            )
            return
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the header timeout and removes the connection."""
        self._cancel_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser, within the size limit of the headers."""
        if self.transport.is_closing():
            return
        was_reading_headers = self.reading_headers
        super().data_received(data)
        if not (was_reading_headers and self.reading_headers):
            return
        self.header_bytes += len(data)
        if self.header_bytes > self.limits.max_header_bytes:
            self._refuse_large_headers()

    def on_message_begin(self) -> None:
        """Starts the size count and the timeout of a request's headers."""
        super().on_message_begin()
        self.reading_headers = True
        self.header_bytes = 0
        self._start_header_timer()

    def on_headers_complete(self) -> None:
        """Starts the request unless its headers are too large."""
        self.reading_headers = False
        self._cancel_header_timer()
        size = len(self.url) + sum(len(n) + len(v) for n, v in self.headers)
        if size > self.limits.max_header_bytes:
            self._refuse_large_headers()
            return
        super().on_headers_complete()
        if self.shutting_down:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Passes on a part of the body, unless the request was refused."""
        if not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Completes the body, unless the request was refused."""
        if not self.transport.is_closing():
            super().on_message_complete()

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
        if self.reading_headers:
            return
        super().shutdown()

    def refuse(
        self,
        status: http.HTTPStatus,
        kind: errors.ProblemKind,
        message: str,
        remedy: str,
    ) -> None:
        """Sends a problem response and closes the connection."""
        metrics.add("connections_refused_total", (kind.value,), 1.0)
        problem = errors.Problem(kind, message, remedy)
        self.transport.write(problem_response_bytes(status, problem))
        self.transport.close()

    def _refuse_large_headers(self) -> None:
        self.refuse(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            errors.ProblemKind.MALFORMED,
            "The request line and headers are larger than"
            f" {self.limits.max_header_bytes} bytes.",
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
        if not self.reading_headers:
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


def protocol_class(limits: InboundLimits) -> type[InboundProtocol]:
    """Returns a protocol class that applies the given limits."""
    return type("LimitedProtocol", (InboundProtocol,), {"limits": limits})
