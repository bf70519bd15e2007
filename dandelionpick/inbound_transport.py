"""Orderly closing and flow control of inbound connections."""

import asyncio

from uvicorn.protocols.http import flow_control

# How long input is discarded before the socket is closed. A client that has not
# yet seen the end of the connection may still be sending; closing the socket
# then would reset the connection, and the client could lose a response that it
# has not read.
LINGER_TIMEOUT_S = 1.0
# A connection whose pending output is not read within this time is aborted.
FLUSH_TIMEOUT_S = 30.0


class LingeringTransport:
    """A transport whose close() shuts down writing before reading.

    Attributes:
        flush_timeout_s: how long unsent output may delay the close.
        lingering: writing has been shut down; further input is discarded.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        flush_timeout_s: float = FLUSH_TIMEOUT_S,
    ):
        self.transport = transport
        self.flush_timeout_s = flush_timeout_s
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
        flush_timeout_s, while output is still unsent.
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
        if unsent and elapsed_s < self.flush_timeout_s:
            self._schedule_abort(elapsed_s + LINGER_TIMEOUT_S)
            return
        self.transport.abort()


class InboundFlow(flow_control.FlowControl):
    """Doesn't resume reading while received bytes wait for the parser.

    Attributes:
        holds_input: whether such bytes exist.
    """

    holds_input = False

    def resume_reading(self) -> None:
        """Resumes reading unless received bytes wait for the parser."""
        if not self.holds_input:
            super().resume_reading()
