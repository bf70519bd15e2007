"""Middleware shared by all HTTP interfaces of an instance."""

from starlette import datastructures
from starlette import types

from dandelionpick import runtime as runtime_lib


class CloseDuringGracefulShutdown:
    """Closes each connection after its response during a graceful shutdown.

    Clients then open their next connection to another instance, and no
    connection is idle when the process exits.
    """

    def __init__(
        self, app: types.ASGIApp, runtime: runtime_lib.Runtime
    ) -> None:
        self.app = app
        self.runtime = runtime

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Adds `Connection: close` to responses in a graceful shutdown."""

        async def send_closing(message: types.Message) -> None:
            starts = message["type"] == "http.response.start"
            if starts and self.runtime.state.drain.requested_s is not None:
                headers = datastructures.MutableHeaders(scope=message)
                headers["connection"] = "close"
            await send(message)

        await self.app(scope, receive, send_closing)
