"""Runs an entry instance's HTTP interface in the event loop of a test."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import api
from dandelionpick import effects
from dandelionpick import events
from dandelionpick import http_bodies
from dandelionpick import ids
from dandelionpick import inbound_limits
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import reducer
from dandelionpick import runtime as runtime_lib
from dandelionpick import server
from dandelionpick import state as state_lib
from dandelionpick import store_messages
from dandelionpick import tracing
from tests import builders


async def send_unreachable(
    call: effects.Call,
) -> Result[Any, kinds.CallFailure]:
    """Fails every call, as on a network on which nothing can be reached."""
    return Failure(kinds.CallFailure.NOT_SENT)


class FakePlatform:
    """Replies to reads of the store and instance list; forwards other calls.

    Attributes:
        entries: entries of the instance list.
    """

    def __init__(
        self,
        send: runtime_lib.Sender,
        entries: list[list_messages.InstanceEntry],
    ):
        self.forward = send
        self.entries = entries

    async def send(self, call: effects.Call) -> Result[Any, kinds.CallFailure]:
        """Returns the reply to a call."""
        service = call.destination.service
        if service is kinds.Service.INSTANCE_LIST:
            return Success(list_messages.Instances(self.entries))
        if isinstance(call.message, store_messages.Read | store_messages.Watch):
            key = call.message.key
            return Success(store_messages.Value(key, 1, builders.document()))
        return await self.forward(call)


def new_runtime(send: runtime_lib.Sender) -> runtime_lib.Runtime:
    """Builds a runtime that has read neither the tree nor the instance list."""
    state = state_lib.State(
        builders.identity("entry-1", "a"), ids.Incarnation("i1")
    )
    return runtime_lib.Runtime(
        state,
        # Looked up for each event, so that tests can patch it.
        lambda *args: reducer.reduce_guarded(*args),
        send,
        tracing.Tracer("entry-1", 1.0),
    )


async def runtime_with(
    send: runtime_lib.Sender = send_unreachable,
    entries: Sequence[list_messages.InstanceEntry] = (),
) -> runtime_lib.Runtime:
    """Builds a runtime that has read the test tree and the instance list."""
    runtime = new_runtime(FakePlatform(send, list(entries)).send)
    state = runtime.state
    while state.configuration.document.revision == 0:
        runtime.deliver(events.Tick(runtime.moment()))
        await asyncio.gather(*runtime.call_tasks)
    return runtime


class HttpInstance:
    """A runtime that is served over HTTP.

    Attributes:
        address: host and port.
    """

    def __init__(self, runtime: runtime_lib.Runtime, address: str):
        self.runtime = runtime
        self.address = address

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a TCP connection to the instance."""
        host, port = self.address.rsplit(":", 1)
        return await asyncio.open_connection(host, int(port))

    async def converse(self, *parts: bytes) -> tuple[int, dict[str, str], Any]:
        """Sends bytes on a new connection and reads one response."""
        reader, writer = await self.connect()
        try:
            for part in parts:
                writer.write(part)
                await writer.drain()
            return await read_response(reader)
        finally:
            writer.transport.abort()


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], Any]:
    """Reads a response; returns status, headers, and decoded JSON or text."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {
        name.lower(): value
        for name, value in (line.split(": ", 1) for line in head[1:] if line)
    }
    body = await reader.readexactly(int(headers["content-length"]))
    status = int(head[0].split(" ")[1])
    if headers.get("content-type") == "application/json":
        return status, headers, msgspec.json.decode(body)
    return status, headers, body.decode()


def post(path: str, body: bytes, *headers: str) -> bytes:
    """Builds a POST request with extra header lines."""
    lines = [f"POST {path} HTTP/1.1", "host: test", *headers]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def get(path: str) -> bytes:
    """Builds a GET request."""
    return f"GET {path} HTTP/1.1\r\nhost: test\r\n\r\n".encode()


@contextlib.asynccontextmanager
async def serve(
    runtime: runtime_lib.Runtime, **limits: float
) -> AsyncIterator[HttpInstance]:
    """Serves a runtime until the context exits."""
    inbound = inbound_limits.InboundLimits(**limits)
    listener = server.bind("127.0.0.1:0")
    host, port = listener.getsockname()
    server_task = asyncio.ensure_future(
        server.serve_until(
            api.build_app(
                runtime, inbound.body_timeout_s, http_bodies.Budget()
            ),
            [listener],
            runtime.exit_requested,
            lambda: None,
            inbound,
        )
    )
    try:
        yield HttpInstance(runtime, f"{host}:{port}")
    finally:
        runtime.exit_requested.set()
        await server_task
        await runtime.cancel_calls()
