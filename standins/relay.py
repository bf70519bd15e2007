"""A TCP relay that injects network faults, for tests.

It can reset, silence or delay connections. The relay runs its own event loop in
a thread, so that tests can control it from any code. A silent connection stays
open, and all data that either side sends is discarded.
"""

import asyncio
import dataclasses
import threading
from collections.abc import Callable
from typing import Any

CHUNK_BYTES = 65_536


@dataclasses.dataclass(eq=False)
class Connection:
    """A relayed connection.

    Attributes:
        writers: writers to the client and, once connected, to the target.
        silent: whether the data that either side sends is discarded.
    """

    writers: list[asyncio.StreamWriter]
    silent: bool = False


class Relay:
    """Relays connections to a target.

    Attributes:
        address: address that the relay listens on.
        opened: number of connections accepted so far.
        discarded_bytes: number of bytes that silent connections discarded.
    """

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.opened = 0
        self.discarded_bytes = 0
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task] = set()
        self._reset_new = False
        self._silent_new = False
        self._delay_s = 0.0
        self._loop = asyncio.new_event_loop()
        self._listening = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "Relay":
        self._thread.start()
        self._listening.wait()
        return self

    def __exit__(self, *details: Any) -> None:
        self._run_in_loop(self.abort_connections)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    # Fault injection; callable from any thread.

    def silence_open(self) -> None:
        """Silences the open connections permanently; new ones work."""
        self._run_in_loop(self._silence_connections)

    def silence_all(self) -> None:
        """Silences the open connections and all new ones."""
        self._silent_new = True
        self.silence_open()

    def cut(self) -> None:
        """Resets the open connections and all new ones."""
        self._reset_new = True
        self._run_in_loop(self.abort_connections)

    def delay(self, seconds: float) -> None:
        """Delays the data that either side sends from now on."""
        self._delay_s = seconds

    def heal(self) -> None:
        """Ends all faults except for connections that are already silent."""
        self._reset_new = False
        self._silent_new = False
        self._delay_s = 0.0

    # Event loop of the relay's thread.

    def _run_in_loop(self, action: Callable[[], None]) -> None:
        """Runs an action in the relay's thread and waits until it ends."""
        done = threading.Event()

        def run() -> None:
            action()
            done.set()

        self._loop.call_soon_threadsafe(run)
        done.wait()

    def _silence_connections(self) -> None:
        for connection in self._connections:
            connection.silent = True

    def abort_connections(self) -> None:
        """Resets the open connections."""
        for connection in self._connections:
            for writer in connection.writers:
                writer.transport.abort()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        serving = self._loop.run_until_complete(
            asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        )
        self.address = f"127.0.0.1:{serving.sockets[0].getsockname()[1]}"
        self._listening.set()
        self._loop.run_forever()
        serving.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        self._loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )

    def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(self._relay(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        if self._reset_new:
            writer.transport.abort()
            return
        connection = Connection([writer], self._silent_new)
        self._connections.add(connection)
        host, port = self.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            self._connections.discard(connection)
            writer.transport.abort()
            return
        connection.writers.append(target_writer)
        try:
            await asyncio.gather(
                self._copy(connection, reader, target_writer),
                self._copy(connection, target_reader, writer),
            )
        finally:
            self._connections.discard(connection)
            for end in connection.writers:
                end.transport.abort()

    async def _copy(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Copies the data of one direction until end of file or an error."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                if connection.silent:
                    self.discarded_bytes += len(data)
                else:
                    writer.write(data)
                    await writer.drain()
            # A silent connection does not forward the end of file either.
            if not connection.silent and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()
