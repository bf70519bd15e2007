"""A link between an entry instance and the store, which can lose connections.

A connection that has gone silent stays open; what either side sends is lost.
New connections work.
"""

import asyncio


class Link:
    """Passes connections on to an address."""

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.server: asyncio.Server | None = None
        self.connections: list[Connection] = []

    async def start(self) -> None:
        """Listens on a free port of loopback."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def silence(self) -> int:
        """Lets all open connections go silent; returns how many."""
        live = [it for it in self.connections if not it.silent]
        for connection in live:
            connection.silent = True
        return len(live)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self.target.rsplit(":", 1)
        connection = Connection()
        self.connections.append(connection)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
            await asyncio.gather(
                connection.carry(reader, far_writer),
                connection.carry(far_reader, writer),
            )
        except OSError:
            writer.close()
        finally:
            self.connections.remove(connection)


class Connection:
    """One connection, which may go silent."""

    def __init__(self):
        self.silent = False

    async def carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carries bytes in one direction until the sender closes."""
        try:
            while data := await reader.read(65536):
                if not self.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
