"""An entry instance with scripted replies, run in a thread for client tests."""

import asyncio
import threading
from typing import Any

from aiohttp import web

from dandelionpick import api
from dandelionpick import wire


class FakeServer:
    """Returns scripted replies and records the requests.

    Attributes:
        replies: lists of replies by method and path; the last one repeats.
        received: method, path with query, and body of each request.
        address: host and port.
    """

    def __init__(self, replies: dict[tuple[str, str], list[Any]]):
        self.replies = replies
        self.received: list[tuple[str, str, bytes]] = []
        self.address = ""
        self._loop = asyncio.new_event_loop()
        self._listening = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self) -> "FakeServer":
        self._thread.start()
        self._listening.wait()
        return self

    def __exit__(self, *details: Any) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        runner = self._loop.run_until_complete(self._serve())
        self._listening.set()
        self._loop.run_forever()
        self._loop.run_until_complete(runner.cleanup())

    async def _serve(self) -> web.AppRunner:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        runner = web.AppRunner(app)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{runner.addresses[0][1]}"
        return runner

    async def _handle(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.received.append((request.method, request.path_qs, body))
        replies = self.replies[(request.method, request.path)]
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        if isinstance(reply, bytes):
            return web.Response(body=reply)
        return web.Response(
            body=wire.encode(reply),
            content_type="application/json",
            status=api.http_status(reply),
        )
