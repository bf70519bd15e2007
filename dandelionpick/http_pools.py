"""Connection pools for outgoing calls, one per address."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from dandelionpick import kinds
from dandelionpick import loop_lag

# A pool that has had no calls for this time is closed.
UNUSED_POOL_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits on the connections to one address.

    Attributes:
        connections_per_host: maximum number of connections; an executor allows
            64, shared by up to nine instances.
        idle_connection_s: how long an idle connection is kept for reuse.
        connect_timeout_s: timeout for opening a connection.
    """

    connections_per_host: int = 7
    idle_connection_s: float = 15.0
    connect_timeout_s: float = 1.0


@dataclasses.dataclass(slots=True)
class Pool:
    """The connection pool of one address.

    Attributes:
        active_calls: calls in progress.
        last_used_s: monotonic seconds when the last call started.
        retired: no new call uses the pool; it is closed after its last call.
    """

    session: aiohttp.ClientSession
    active_calls: int = 0
    last_used_s: float = 0.0
    retired: bool = False


@dataclasses.dataclass(slots=True)
class RequestProgress:
    """How far an outgoing request has progressed.

    Attributes:
        sending: set before the first byte of the request is written.
    """

    sending: bool = False


class Pools:
    """Connection pools by address.

    A call that times out closes its own connection. The idle connections to
    the same address may have stopped responding for the same reason, so the
    whole pool is retired and later calls open new connections.

    Attributes:
        lag: how late the event loop is; timeouts of calls exclude it.
    """

    def __init__(self, limits: PoolLimits, lag: loop_lag.LoopLag | None = None):
        self.limits = limits
        self.lag = lag or loop_lag.LoopLag()
        self.by_address: dict[str, Pool] = {}
        self.close_tasks: set[asyncio.Task] = set()
        self.last_sweep_s = time.monotonic()

    async def __aenter__(self) -> "Pools":
        return self

    async def __aexit__(self, *details: Any) -> None:
        for address in list(self.by_address):
            self.retire(address)
        await asyncio.gather(*self.close_tasks)

    @contextlib.asynccontextmanager
    async def use(self, address: str) -> AsyncIterator[Pool]:
        """Yields the pool of an address, which stays open during the call."""
        now_s = time.monotonic()
        self._close_unused(now_s)
        pool = self.by_address.get(address)
        if pool is None:
            pool = self.by_address[address] = Pool(self._open_session())
        pool.active_calls += 1
        pool.last_used_s = now_s
        try:
            yield pool
        finally:
            pool.active_calls -= 1
            self._close_if_idle(pool)

    def retire(self, address: str) -> None:
        """Retires the pool of an address; later calls open new connections."""
        pool = self.by_address.pop(address, None)
        if pool is not None:
            pool.retired = True
            self._close_if_idle(pool)

    def retire_pool(self, address: str, pool: Pool) -> None:
        """Retires a pool unless a newer one has already replaced it."""
        if self.by_address.get(address) is pool:
            self.retire(address)

    def _close_if_idle(self, pool: Pool) -> None:
        if not pool.retired or pool.active_calls:
            return
        task = asyncio.ensure_future(pool.session.close())
        self.close_tasks.add(task)
        task.add_done_callback(self.close_tasks.discard)

    def _close_unused(self, now_s: float) -> None:
        if now_s - self.last_sweep_s < UNUSED_POOL_TIMEOUT_S:
            return
        self.last_sweep_s = now_s
        for address, pool in list(self.by_address.items()):
            if (
                not pool.active_calls
                and now_s - pool.last_used_s > UNUSED_POOL_TIMEOUT_S
            ):
                self.retire(address)

    def _open_session(self) -> aiohttp.ClientSession:
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_on_request_headers_sent)
        return aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=self.limits.connections_per_host,
                keepalive_timeout=self.limits.idle_connection_s,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=self.limits.connect_timeout_s
            ),
            trace_configs=[trace],
            auto_decompress=False,
        )


async def _on_request_headers_sent(
    session: Any, context: Any, params: Any
) -> None:
    # aiohttp calls this before it writes the headers.
    context.trace_request_ctx.sending = True


def classify_failure(progress: RequestProgress) -> kinds.CallFailure:
    """Returns how a call without a reply failed."""
    if progress.sending:
        return kinds.CallFailure.LOST
    return kinds.CallFailure.NOT_SENT
