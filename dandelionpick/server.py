"""Runs the HTTP server until the instance exits."""

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
from dandelionpick import inbound_limits

# Connections that the kernel completes before the process accepts them.
LISTEN_BACKLOG = 2_048
# Requests in progress have completed before the server is stopped; this covers
# the sending of their last responses.
GRACEFUL_SHUTDOWN_TIMEOUT_S = 5


class Server(uvicorn.Server):
    """A uvicorn server that leaves signal handling to `serve_until`."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts to accept connections, a few in each pass of the loop.

        asyncio uses the same number for the length of the kernel's queue and
        for the connections that it accepts at once, before the first of them
        can be refused. Only the latter is to be small.
        """
        await super().startup(sockets)
        for listener in sockets or ():
            listener.listen(LISTEN_BACKLOG)

    def install_signal_handlers(self) -> None:
        """Does nothing; `serve_until` installs the signal handlers."""

    def capture_signals(self):
        """Returns a context manager that captures no signals."""
        return _NoSignalCapture()


class _NoSignalCapture:
    def __enter__(self):
        return self

    def __exit__(self, *details):
        return None


def bind(address: str) -> socket.socket:
    """Opens a listening socket; with port 0 the system chooses a port.

    Raises:
        OSError: the address can't be bound.
    """
    host, port = address.rsplit(":", 1)
    # asyncio sets TCP_NODELAY only if the socket's protocol is given; without
    # it, delayed acknowledgements added 40 ms to each response.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def address_of(listener: socket.socket) -> str:
    """Returns the address that a socket is bound to."""
    host, port = listener.getsockname()
    return f"{host}:{port}"


def route_by_port(apps: Mapping[socket.socket, types.ASGIApp]) -> types.ASGIApp:
    """Returns an application that dispatches by the listener's port."""
    by_number = {
        listener.getsockname()[1]: app for listener, app in apps.items()
    }

    async def app(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        await by_number[scope["server"][1]](scope, receive, send)

    return app


def _ignore_reload() -> None:
    logging.info("server: ignoring SIGHUP; settings are only read at startup")


async def serve_until(
    app: types.ASGIApp,
    listeners: Sequence[socket.socket],
    exited: asyncio.Event,
    request_stop: Callable[[], None],
    limits: inbound_limits.InboundLimits,
    on_reload: Callable[[], None] | None = None,
    shutdown_limit_s: float = GRACEFUL_SHUTDOWN_TIMEOUT_S,
) -> bool:
    """Serves until `exited` is set, then closes idle connections.

    Args:
        app: the application.
        listeners: listening sockets.
        exited: set when the process should exit.
        request_stop: called on the first SIGTERM or SIGINT; a second signal
            stops the server immediately.
        limits: limits on inbound connections.
        on_reload: called on SIGHUP.
        shutdown_limit_s: seconds for sending the last responses after `exited`
            is set.

    Returns:
        False if a second signal interrupted the graceful shutdown.
    """
    config = uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        server_header=False,
        lifespan="off",
        http=http_protocol.protocol_class(limits),
        ws="none",
        backlog=limits.accept_batch(),
        timeout_keep_alive=limits.keep_alive_s,
        timeout_graceful_shutdown=shutdown_limit_s,
    )
    server = Server(config)
    signal_count = 0

    def on_signal() -> None:
        nonlocal signal_count
        signal_count += 1
        if signal_count == 1:
            request_stop()
            return
        logging.warning("server: second signal, ending at once")
        exited.set()
        server.force_exit = True

    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, on_signal)
    loop.add_signal_handler(signal.SIGHUP, on_reload or _ignore_reload)
    server_task = asyncio.ensure_future(server.serve(sockets=list(listeners)))
    await exited.wait()
    server.should_exit = True
    await server_task
    return not server.force_exit
