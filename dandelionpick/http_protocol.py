"""Inbound HTTP connections: limits, and a clean end of each connection."""

import asyncio
import dataclasses
import http

from absl import logging
from uvicorn.protocols.http import httptools_impl

from dandelionpick import errors
from dandelionpick import metrics
from dandelionpick import peer_messages
from dandelionpick import wire

# A client that has not seen the end of its connection may still be sending.
# Closing the socket at that time would reset the connection, and the client
# could lose a response that it has not read yet.
LINGER_S = 1.0
# A client that reads nothing for this time is given up.
MAX_FLUSH_S = 30.0


@dataclasses.dataclass(slots=True)
class InboundLimits:
    """Limits on inbound connections.

    Attributes:
        max_connections: connections above this get `overloaded`.
        max_header_bytes: request line and headers of one request.
        header_timeout_s: from the start of a connection or of a request to
            the end of the headers.
        body_timeout_s: from the headers to the end of the body.
        keep_alive_s: how long an idle connection stays open; clients should
            close theirs earlier.
    """

    max_connections: int = 2_000
    max_header_bytes: int = 16_384
    header_timeout_s: float = 10.0
    body_timeout_s: float = 10.0
    keep_alive_s: float = 60.0


def typed_response(status: http.HTTPStatus, problem: errors.Problem) -> bytes:
    """Returns a whole HTTP response that ends the connection."""
    body = wire.encode(peer_messages.Refused(problem))
    head = (
        f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(body)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + body


class LingeringTransport:
    """A transport whose close() ends the output first and the input later.

    Attributes:
        lingering: the output has ended; what comes in is discarded.
    """

    def __init__(self, transport: asyncio.Transport):
        self.transport = transport
        self.lingering = False

    def __getattr__(self, name: str):
        return getattr(self.transport, name)

    def is_closing(self) -> bool:
        """Returns whether nothing more can be written."""
        return self.lingering or self.transport.is_closing()

    def write(self, data: bytes) -> None:
        """Writes data unless the output has ended."""
        if not self.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Ends the output; the socket is closed after the client's end."""
        if self.is_closing():
            return
        self.lingering = True
        try:
            self.transport.write_eof()
        except OSError:
            # The client has reset the connection, so there is no end to send.
            self.transport.abort()
            return
        self.transport.resume_reading()
        self._abort_later(LINGER_S)

    def _abort_later(self, spent_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self._abort_if_flushed, spent_s)

    def _abort_if_flushed(self, spent_s: float) -> None:
        unsent = self.transport.get_write_buffer_size()
        if unsent and spent_s < MAX_FLUSH_S:
            self._abort_later(spent_s + LINGER_S)
            return
        self.transport.abort()


class Protocol(httptools_impl.HttpToolsProtocol):
    """One inbound connection.

    Attributes:
        limits: set on a subclass by `protocol_with`.
        reading_head: bytes of a request's head have come, but not all.
        head_bytes: bytes of the head, without those that came with its start.
    """

    limits = InboundLimits()

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.reading_head = False
        self.head_bytes = 0
        self.stopping = False
        self.head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes a connection, or refuses it if there are too many."""
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
        self._arm_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser within the limit on a request's head."""
        if self.transport.is_closing():
            return
        in_head = self.reading_head
        super().data_received(data)
        if not (in_head and self.reading_head):
            return
        self.head_bytes += len(data)
        if self.head_bytes > self.limits.max_header_bytes:
            self._refuse_head()

    def on_message_begin(self) -> None:
        """Starts to read a request's head."""
        super().on_message_begin()
        self.reading_head = True
        self.head_bytes = 0
        self._arm_head_timer()

    def on_headers_complete(self) -> None:
        """Starts the request unless its head is too large."""
        self.reading_head = False
        self._cancel_head_timer()
        size = len(self.url) + sum(len(n) + len(v) for n, v in self.headers)
        if size > self.limits.max_header_bytes:
            self._refuse_head()
            return
        super().on_headers_complete()
        if self.stopping:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Takes a part of a body, unless the request was refused."""
        if not self.transport.is_closing():
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends a body, unless the request was refused."""
        if not self.transport.is_closing():
            super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Answers a request that is not HTTP."""
        self.refuse(
            http.HTTPStatus.BAD_REQUEST,
            errors.ProblemKind.MALFORMED,
            msg,
            "Send HTTP/1.1.",
        )

    def shutdown(self) -> None:
        """Ends the connection after the request in progress, if any."""
        self.stopping = True
        if self.reading_head:
            return
        super().shutdown()

    def refuse(
        self,
        status: http.HTTPStatus,
        kind: errors.ProblemKind,
        message: str,
        remedy: str,
    ) -> None:
        """Answers with a problem and ends the connection."""
        metrics.add("connections_refused_total", (kind.value,), 1.0)
        problem = errors.Problem(kind, message, remedy)
        self.transport.write(typed_response(status, problem))
        self.transport.close()

    def _refuse_head(self) -> None:
        self.refuse(
            http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            errors.ProblemKind.MALFORMED,
            "The request line and headers are larger than"
            f" {self.limits.max_header_bytes} bytes.",
            "Send fewer or shorter headers.",
        )

    def _arm_head_timer(self) -> None:
        self._cancel_head_timer()
        self.head_timer = self.loop.call_later(
            self.limits.header_timeout_s, self._on_head_timeout
        )

    def _cancel_head_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _on_head_timeout(self) -> None:
        self.head_timer = None
        if self.transport.is_closing():
            return
        if not self.reading_head:
            # The client has sent nothing, so it expects no response.
            self.transport.close()
            return
        logging.warning("server: a request's headers did not come in time")
        self.refuse(
            http.HTTPStatus.REQUEST_TIMEOUT,
            errors.ProblemKind.TOO_SLOW,
            "The request's headers did not come within"
            f" {self.limits.header_timeout_s} s.",
            "Send the request again on a new connection.",
        )


def protocol_with(limits: InboundLimits) -> type[Protocol]:
    """Returns the protocol class of a server with these limits."""
    return type("LimitedProtocol", (Protocol,), {"limits": limits})
