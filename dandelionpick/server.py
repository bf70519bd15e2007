"""Serves the HTTP interface until the instance exits."""

import asyncio
import signal
import socket
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

import uvicorn
from absl import logging
from starlette import types

from dandelionpick import http_protocol

BACKLOG = 512
# Requests in progress have ended before; this covers their last responses.
GRACEFUL_SHUTDOWN_S = 5


class Server(uvicorn.Server):
    """A server whose process handles the signals itself."""

    def install_signal_handlers(self) -> None:
        """Leaves the signals to serve_until."""

    def capture_signals(self):
        """Leaves the signals to serve_until."""
        return _NoCapture()


class _NoCapture:
    def __enter__(self):
        return self

    def __exit__(self, *details):
        return None


def bind(address: str) -> socket.socket:
    """Binds a listening socket; port 0 lets the system choose.

    Raises:
        OSError: the address can't be bound.
    """
    host, port = address.rsplit(":", 1)
    # asyncio sets TCP_NODELAY only on sockets whose protocol is given; without
    # it, delayed acknowledgements added 40 ms to each response.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def address_of(listener: socket.socket) -> str:
    """Returns the address that a socket is bound to."""
    host, port = listener.getsockname()
    return f"{host}:{port}"


def by_port(apps: Mapping[socket.socket, types.ASGIApp]) -> types.ASGIApp:
    """Returns an application that serves each listener with its own one."""
    by_number = {
        listener.getsockname()[1]: app for listener, app in apps.items()
    }

    async def app(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        await by_number[scope["server"][1]](scope, receive, send)

    return app


def _ignore_reload() -> None:
    logging.info("server: SIGHUP ignored; settings are read at the start")


async def serve_until(
    app: types.ASGIApp,
    listeners: Sequence[socket.socket],
    exited: asyncio.Event,
    request_stop: Callable[[], None],
    limits: http_protocol.InboundLimits,
    on_reload: Callable[[], None] | None = None,
    shutdown_limit_s: float = GRACEFUL_SHUTDOWN_S,
) -> bool:
    """Serves until `exited` is set, then closes idle connections.

    Args:
        app: the application.
        listeners: bound sockets.
        exited: set when the process should end.
        request_stop: called on the first SIGTERM or SIGINT; the second one
            ends the process at once.
        limits: limits on inbound connections.
        on_reload: called on SIGHUP.
        shutdown_limit_s: how long the last responses may take after `exited`.

    Returns:
        False if a second signal cut the planned stop short.
    """
    config = uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        server_header=False,
        lifespan="off",
        http=http_protocol.protocol_with(limits),
        ws="none",
        timeout_keep_alive=limits.keep_alive_s,
        timeout_graceful_shutdown=shutdown_limit_s,
    )
    server = Server(config)
    signals = 0

    def on_signal() -> None:
        nonlocal signals
        signals += 1
        if signals == 1:
            request_stop()
            return
        logging.warning("server: second signal, ending at once")
        exited.set()
        server.force_exit = True

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    loop.add_signal_handler(signal.SIGHUP, on_reload or _ignore_reload)
    serving = asyncio.ensure_future(server.serve(sockets=list(listeners)))
    await exited.wait()
    server.should_exit = True
    await serving
    return not server.force_exit
