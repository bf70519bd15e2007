"""HTTP servers on loopback whose links to single processes can be cut.

A server finds out which process has opened a connection from the kernel's table
of sockets. While the link between that process and the server is cut, the
connection stays open and nothing passes in either direction. Requests and
replies that meet a cut are lost.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import socket
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

Service = Callable[
    [str, str, dict[str, str], Any], Awaitable[tuple[int, Any] | None]
]


# Scripts that run at the same time begin far apart.
_ports = itertools.count(10_000 + os.getpid() * 7_919 % 20_000)


def free_port() -> int:
    """Returns a port that nobody listens on, below those for connections."""
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port
    raise RuntimeError("no free port")


def _inode_of(client_port: int, server_port: int) -> str:
    local, remote = f":{client_port:04X}", f":{server_port:04X}"
    with pathlib.Path("/proc/net/tcp").open() as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[1].endswith(local) and fields[2].endswith(remote):
                return fields[9]
    return ""


def _owns(pid: int, inode: str) -> bool:
    wanted = f"socket:[{inode}]"
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return False
    for name in names:
        with contextlib.suppress(OSError):
            if os.readlink(f"{folder}/{name}") == wanted:
                return True
    return False


class Network:
    """The links between the project's processes and the stand-ins.

    Attributes:
        processes: process id by instance name.
        cuts: pairs of an instance and a server that are cut off.
        isolated: servers that are cut off from everything.
        down: servers that reset each connection.
        delays_s: one-way delay between an instance and a server.
    """

    def __init__(self):
        self.processes: dict[str, int] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.isolated: set[str] = set()
        self.down: set[str] = set()
        self.delays_s: dict[tuple[str, str], float] = {}
        self.writers: dict[str, set[asyncio.StreamWriter]] = {}

    def is_cut(self, client: str, server: str) -> bool:
        """Returns whether nothing passes between a client and a server."""
        return server in self.isolated or (client, server) in self.cuts

    def crash(self, server: str) -> None:
        """Resets all connections of a server, and all new ones."""
        self.down.add(server)
        for writer in list(self.writers.get(server, ())):
            writer.transport.abort()

    def _client_of(self, writer: asyncio.StreamWriter) -> str:
        client_port = writer.get_extra_info("peername")[1]
        server_port = writer.get_extra_info("sockname")[1]
        inode = _inode_of(client_port, server_port)
        if inode:
            for name, pid in self.processes.items():
                if _owns(pid, inode):
                    return name
        return ""

    async def listen(self, name: str, service: Service) -> str:
        """Starts a server; returns its address."""

        async def handle(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers = self.writers.setdefault(name, set())
            writers.add(writer)
            try:
                await self._serve(name, service, reader, writer)
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                writers.discard(writer)
                writer.transport.abort()

        server = await asyncio.start_server(
            handle, "127.0.0.1", 0, backlog=1_024
        )
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(
        self,
        name: str,
        service: Service,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if name in self.down:
            return
        client = self._client_of(writer)
        delay_s = self.delays_s.get((client, name), 0.0)
        while request := await read_request(reader):
            reply = None
            if not self.is_cut(client, name):
                await asyncio.sleep(delay_s)
                reply = await service(*request)
                await asyncio.sleep(delay_s)
            if reply is None or self.is_cut(client, name):
                await _swallow(reader)
                return
            status, body = reply
            writer.write(encode_response(status, body))
            await writer.drain()


async def _swallow(reader: asyncio.StreamReader) -> None:
    while await reader.read(65_536):
        pass


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    first = (await reader.readline()).decode("latin-1").strip()
    headers: dict[str, str] = {}
    while line := (await reader.readline()).decode("latin-1").strip():
        key, _, value = line.partition(":")
        headers[key.strip().lower()] = value.strip()
    return first, headers


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], Any] | None:
    """Reads a request: method, target, headers and JSON body."""
    first, headers = await _read_head(reader)
    if not first:
        return None
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, json.loads(body) if body else None


def encode_response(status: int, body: Any) -> bytes:
    """Encodes a response with a JSON body."""
    data = json.dumps(body).encode()
    return (
        f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
        f"content-length: {len(data)}\r\n\r\n"
    ).encode() + data


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Sends one request; returns status and body, 0 if there is no reply."""
    host, port = address.split(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = {"host": address, "content-type": "application/json"}
    lines |= {"content-length": str(len(data)), "connection": "close"}
    lines |= headers or {}
    head = "".join(f"{key}: {value}\r\n" for key, value in lines.items())
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode())
                writer.write(data)
                first, reply = await _read_head(reader)
                length = int(reply.get("content-length", 0))
                text = await reader.readexactly(length)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    try:
        decoded = json.loads(text) if text else None
    except ValueError:
        decoded = text.decode(errors="replace")
    return int(first.split(" ")[1]) if first else 0, decoded
