"""Pools of connections for outgoing calls, one for each address."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from dandelionpick import kinds

# Pools of addresses that are no longer called are closed after this time.
UNUSED_POOL_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits on the connections to each address.

    Attributes:
        connections_per_host: an executor allows 64, shared by up to nine
            instances.
        idle_connection_s: how long an idle connection is kept for reuse.
        connect_timeout_s: how long a new connection may take.
    """

    connections_per_host: int = 7
    idle_connection_s: float = 15.0
    connect_timeout_s: float = 1.0


@dataclasses.dataclass(slots=True)
class Pool:
    """The connections to one address.

    Attributes:
        calls: calls in progress.
        retired: no new call uses the pool; it is closed after its last call.
    """

    session: aiohttp.ClientSession
    calls: int = 0
    used_s: float = 0.0
    retired: bool = False


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a call came.

    Attributes:
        sending: set before the first byte of the request is written.
    """

    sending: bool = False


class Pools:
    """Connections by address.

    A call that times out closes its own connection. The idle connections to
    the same address may have become silent for the same reason, so the whole
    pool is retired and later calls open new connections.
    """

    def __init__(self, limits: PoolLimits):
        self.limits = limits
        self.by_address: dict[str, Pool] = {}
        self.closing: set[asyncio.Task] = set()
        self.swept_s = time.monotonic()

    async def __aenter__(self) -> "Pools":
        return self

    async def __aexit__(self, *details: Any) -> None:
        for address in list(self.by_address):
            self.retire(address)
        await asyncio.gather(*self.closing)

    @contextlib.asynccontextmanager
    async def use(self, address: str) -> AsyncIterator[Pool]:
        """Yields the pool of an address for one call."""
        now_s = time.monotonic()
        self._sweep(now_s)
        pool = self.by_address.get(address)
        if pool is None:
            pool = self.by_address[address] = Pool(self._open())
        pool.calls += 1
        pool.used_s = now_s
        try:
            yield pool
        finally:
            pool.calls -= 1
            self._close_if_done(pool)

    def retire(self, address: str) -> None:
        """Makes the next call to an address open a new connection."""
        pool = self.by_address.pop(address, None)
        if pool is not None:
            pool.retired = True
            self._close_if_done(pool)

    def retire_pool(self, address: str, pool: Pool) -> None:
        """Retires a pool, but not one that has already replaced it."""
        if self.by_address.get(address) is pool:
            self.retire(address)

    def _close_if_done(self, pool: Pool) -> None:
        if not pool.retired or pool.calls:
            return
        task = asyncio.ensure_future(pool.session.close())
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    def _sweep(self, now_s: float) -> None:
        if now_s - self.swept_s < UNUSED_POOL_S:
            return
        self.swept_s = now_s
        for address, pool in list(self.by_address.items()):
            if not pool.calls and now_s - pool.used_s > UNUSED_POOL_S:
                self.retire(address)

    def _open(self) -> aiohttp.ClientSession:
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_on_sending)
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


async def _on_sending(session: Any, context: Any, params: Any) -> None:
    # aiohttp calls this before it writes the headers.
    context.trace_request_ctx.sending = True


def failure_of(progress: Progress) -> kinds.CallFailure:
    """Returns what a call without a reply proves."""
    if progress.sending:
        return kinds.CallFailure.LOST
    return kinds.CallFailure.NOT_SENT
