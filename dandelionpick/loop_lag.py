"""Timeouts that don't count the time in which the own event loop was late.

An overloaded or throttled process reads replies late. If that time counted, it
would take its own delay for the silence of others, and answer the overload with
retries.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

# Less lag than this does not extend a timeout.
MIN_EXTENSION_S = 0.01
# A timeout is extended by at most this much, so that a peer that is gone is
# noticed even by a process that is late all the time.
MAX_EXTENSION_S = 3.0


class LoopLag:
    """Adds up how late the event loop has run its periodic ticks.

    Attributes:
        recorded_s: lag of the ticks so far.
        last_s: lag of the last tick.
        expected_s: monotonic seconds at which the next tick is due.
    """

    def __init__(self):
        self.recorded_s = 0.0
        self.last_s = 0.0
        self.expected_s = float("inf")

    def record_tick(self, period_s: float) -> None:
        """Records that a tick runs now and that the next follows a period."""
        now_s = time.monotonic()
        self.last_s = max(0.0, now_s - self.expected_s)
        self.recorded_s += self.last_s
        self.expected_s = now_s + period_s

    def total_s(self) -> float:
        """Returns the lag so far, including that of a tick that is overdue."""
        return self.recorded_s + max(0.0, time.monotonic() - self.expected_s)


@contextlib.asynccontextmanager
async def timeout(seconds: float, lag: LoopLag) -> AsyncIterator[None]:
    """Cancels the block after a time in which the event loop was not late.

    Args:
        seconds: time that the block may take.
        lag: the lag of the event loop.

    Raises:
        TimeoutError: the block took longer.
    """
    loop = asyncio.get_running_loop()
    started_lag_s = lag.total_s()

    async with asyncio.timeout(None) as scope:

        def expire(extended_s: float) -> None:
            nonlocal timer
            late_s = min(lag.total_s() - started_lag_s, MAX_EXTENSION_S)
            if late_s - extended_s > MIN_EXTENSION_S:
                timer = loop.call_later(late_s - extended_s, expire, late_s)
            else:
                scope.reschedule(loop.time())

        timer = loop.call_later(seconds, expire, 0.0)
        try:
            yield
        finally:
            timer.cancel()
