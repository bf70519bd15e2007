"""A small HTTP/1.1 server for the stand-ins, on the standard library only."""

import asyncio
import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

# A handler returns status and body, or None if the connection gets no answer.
Handler = Callable[
    [str, str, dict[str, str], Any], Awaitable[tuple[int, Any] | None]
]


class Server:
    """Serves one loopback address.

    Attributes:
        address: host and port.
        cut: whether the address is behind a partition: what arrives is dropped
            and nothing is answered.
        resets: whether connections to the address are reset.
    """

    def __init__(self, handler: Handler):
        self.handler = handler
        self.address = ""
        self.cut = False
        self.resets = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listens on a free port, or on the given one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Closes the listening socket and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def reset_all(self) -> None:
        """Resets all connections, and each new one until `resets` is unset."""
        self.resets = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.resets:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The peer has gone, or the case is over.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line = (await reader.readline()).decode()
        if not line.strip():
            return False
        method, target, _ = line.split(" ", 2)
        headers: dict[str, str] = {}
        while (text := (await reader.readline()).decode().strip()) != "":
            name, _, value = text.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        raw = await reader.readexactly(size) if size else b""
        if self.cut:
            await _hold_silent(reader)
            return False
        body = json.loads(raw) if raw else None
        answer = await self.handler(method, target, headers, body)
        if answer is None or self.cut:
            await _hold_silent(reader)
            return False
        status, content = answer
        encoded = json.dumps(content).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
            f"content-length: {len(encoded)}\r\n\r\n".encode()
            + encoded
        )
        await writer.drain()
        return True


async def _hold_silent(reader: asyncio.StreamReader) -> None:
    """Reads and drops what the peer sends until it closes."""
    while await reader.read(65_536):
        pass
