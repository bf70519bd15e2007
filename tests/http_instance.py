"""An entry instance's HTTP interface in the loop of a test."""

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
from dandelionpick import http_protocol
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import reducer
from dandelionpick import runtime as runtime_lib
from dandelionpick import server
from dandelionpick import state as state_lib
from dandelionpick import store_messages
from dandelionpick import tracing
from tests import builders


async def unreachable(
    call: effects.Call,
) -> Result[Any, kinds.CallFailure]:
    """Stands for a network on which nothing can be reached."""
    return Failure(kinds.CallFailure.NOT_SENT)


class Platform:
    """Answers reads of the store and the instance list, passes on the rest.

    Attributes:
        entries: what the instance list shows.
    """

    def __init__(
        self,
        send: runtime_lib.Sender,
        entries: list[list_messages.InstanceEntry],
    ):
        self.pass_on = send
        self.entries = entries

    async def send(self, call: effects.Call) -> Result[Any, kinds.CallFailure]:
        """Performs a call."""
        service = call.destination.service
        if service is kinds.Service.INSTANCE_LIST:
            return Success(list_messages.Instances(self.entries))
        if isinstance(call.message, store_messages.Read | store_messages.Watch):
            key = call.message.key
            return Success(store_messages.Value(key, 1, builders.document()))
        return await self.pass_on(call)


def new_runtime(send: runtime_lib.Sender) -> runtime_lib.Runtime:
    """Builds a runtime that has read nothing."""
    state = state_lib.State(
        builders.identity("entry-1", "a"), ids.Incarnation("i1")
    )
    return runtime_lib.Runtime(
        state,
        # Looked up for each event, so that a test can replace it.
        lambda *args: reducer.reduce_guarded(*args),
        send,
        tracing.Tracer("entry-1", 1.0),
    )


async def runtime_with(
    send: runtime_lib.Sender = unreachable,
    entries: Sequence[list_messages.InstanceEntry] = (),
) -> runtime_lib.Runtime:
    """Builds a runtime that has read the test tree and the instance list."""
    runtime = new_runtime(Platform(send, list(entries)).send)
    state = runtime.state
    while state.configuration.document.revision == 0:
        runtime.deliver(events.Tick(runtime.moment()))
        await asyncio.gather(*runtime.calls)
    return runtime


class HttpInstance:
    """A served runtime.

    Attributes:
        address: host and port.
    """

    def __init__(self, runtime: runtime_lib.Runtime, address: str):
        self.runtime = runtime
        self.address = address

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a raw connection."""
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
    """Reads a response: status, headers, and the body as JSON or text."""
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
    """Builds a POST."""
    lines = [f"POST {path} HTTP/1.1", "host: test", *headers]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def get(path: str) -> bytes:
    """Builds a GET."""
    return f"GET {path} HTTP/1.1\r\nhost: test\r\n\r\n".encode()


@contextlib.asynccontextmanager
async def serve(
    runtime: runtime_lib.Runtime, **limits: float
) -> AsyncIterator[HttpInstance]:
    """Serves a runtime until the block ends."""
    inbound = http_protocol.InboundLimits(**limits)
    listener = server.bind("127.0.0.1:0")
    host, port = listener.getsockname()
    serving = asyncio.ensure_future(
        server.serve_until(
            api.build(runtime, inbound.body_timeout_s),
            [listener],
            runtime.exited,
            lambda: None,
            inbound,
        )
    )
    try:
        yield HttpInstance(runtime, f"{host}:{port}")
    finally:
        runtime.exited.set()
        await serving
        await runtime.cancel_calls()
