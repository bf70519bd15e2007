"""Test cases with a hard limit on their time."""

import asyncio
import unittest

LIMIT_S = 60.0


class LimitedTestCase(unittest.IsolatedAsyncioTestCase):
    """Ends with an error after LIMIT_S, far above the usual time.

    `asyncio.timeout` can't do this from asyncSetUp, because the test method
    runs in a task of its own.
    """

    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        timer = loop.call_later(LIMIT_S, _cancel_all)
        self.addCleanup(timer.cancel)


def _cancel_all() -> None:
    for task in asyncio.all_tasks():
        task.cancel(f"the test did not end within {LIMIT_S} s")
