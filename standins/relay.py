"""A TCP relay that can cut, silence or delay connections, for tests.

The relay runs its own event loop in a thread, so that tests can control it
from any code. A silent connection stays open, and what either side sends is
swallowed for good.
"""

import asyncio
import dataclasses
import threading
from collections.abc import Callable
from typing import Any

CHUNK_BYTES = 65_536


@dataclasses.dataclass(eq=False)
class Link:
    """A relayed connection.

    Attributes:
        writers: the ends towards the client and the target.
        silent: swallow what either side sends.
    """

    writers: list[asyncio.StreamWriter]
    silent: bool = False


class Relay:
    """Relays connections to a target.

    Attributes:
        address: where the relay listens.
        opened: connections accepted so far.
        swallowed_bytes: bytes that silent connections swallowed.
    """

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.opened = 0
        self.swallowed_bytes = 0
        self._links: set[Link] = set()
        self._tasks: set[asyncio.Task] = set()
        self._refusing = False
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
        self._do(self.abort_links)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    # Faults.

    def silence_open(self) -> None:
        """Makes the open connections silent for good; new ones work."""
        self._do(self._silence_links)

    def silence_all(self) -> None:
        """Makes the open connections and all new ones silent."""
        self._silent_new = True
        self.silence_open()

    def cut(self) -> None:
        """Resets the open connections and every new one."""
        self._refusing = True
        self._do(self.abort_links)

    def delay(self, seconds: float) -> None:
        """Delays what either side sends from now on."""
        self._delay_s = seconds

    def heal(self) -> None:
        """Lets new connections work; silent ones stay silent."""
        self._refusing = False
        self._silent_new = False
        self._delay_s = 0.0

    # The relay's thread.

    def _do(self, action: Callable[[], None]) -> None:
        """Runs an action in the relay's thread and waits for its end."""
        done = threading.Event()

        def run() -> None:
            action()
            done.set()

        self._loop.call_soon_threadsafe(run)
        done.wait()

    def _silence_links(self) -> None:
        for link in self._links:
            link.silent = True

    def abort_links(self) -> None:
        """Resets the open connections."""
        for link in self._links:
            for writer in link.writers:
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
        task = asyncio.ensure_future(self._accept(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        if self._refusing:
            writer.transport.abort()
            return
        link = Link([writer], self._silent_new)
        self._links.add(link)
        host, port = self.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            self._links.discard(link)
            writer.transport.abort()
            return
        link.writers.append(target_writer)
        try:
            await asyncio.gather(
                self._pump(link, reader, target_writer),
                self._pump(link, target_reader, writer),
            )
        finally:
            self._links.discard(link)
            for end in link.writers:
                end.transport.abort()

    async def _pump(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Copies one direction until its end."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                if link.silent:
                    self.swallowed_bytes += len(data)
                else:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            writer.transport.abort()
            return
        # A silent connection does not pass on the end either.
        if not link.silent and writer.can_write_eof():
            writer.write_eof()
