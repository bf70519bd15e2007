"""Crowds of clients that occupy the connections of a process."""

import asyncio
import dataclasses

from tests import flood

# A client connects again this long after its connection was closed.
RECONNECT_S = 0.5


@dataclasses.dataclass(frozen=True)
class Shape:
    """What a client sends at first, and then a part now and then.

    Attributes:
        reads: whether the client reads what it is sent.
    """

    beginning: bytes
    part: bytes = b""
    reads: bool = True


class Crowd:
    """Clients that connect, and connect again whenever they are closed."""

    def __init__(self, address: str, shape: Shape, size: int):
        self.address = address
        self.shape = shape
        self.size = size
        self.tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Crowd":
        self.tasks = [
            asyncio.create_task(self._occupy()) for _ in range(self.size)
        ]
        return self

    async def __aexit__(self, *details) -> None:
        await flood.cancel(*self.tasks)

    async def _occupy(self) -> None:
        while True:
            try:
                client = await flood.connect(self.address)
                try:
                    await self._converse(client)
                finally:
                    client.close()
            except OSError:
                # The process has closed the connection.
                pass
            await asyncio.sleep(RECONNECT_S)

    async def _converse(self, client) -> None:
        """Sends until the connection is closed."""
        loop = asyncio.get_running_loop()
        if not self.shape.reads:
            await loop.sock_sendall(client, self.shape.beginning)
            while True:
                await loop.sock_sendall(client, self.shape.part)
                await asyncio.sleep(flood.POLL_S)
        reading = asyncio.ensure_future(flood.read_to_end(client))
        try:
            await loop.sock_sendall(client, self.shape.beginning)
            while not reading.done():
                await loop.sock_sendall(client, self.shape.part)
                await asyncio.sleep(flood.POLL_S)
        finally:
            await flood.cancel(reading)
