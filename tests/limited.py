"""Base class for asynchronous tests with a timeout."""

import asyncio
import unittest

TEST_TIMEOUT_S = 60.0


class TimeoutTestCase(unittest.IsolatedAsyncioTestCase):
    """Cancels a test after a timeout far above the usual duration.

    `asyncio.timeout` can't do this from asyncSetUp, because the test method
    runs in a separate task.
    """

    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        timer = loop.call_later(TEST_TIMEOUT_S, _cancel_all)
        self.addCleanup(timer.cancel)


def _cancel_all() -> None:
    for task in asyncio.all_tasks():
        task.cancel(f"the test did not end within {TEST_TIMEOUT_S} s")
