"""A scheduler that is late itself does not take that for its targets' silence.

The load replayed is the burst of starts that follows a few wide jobs on a weak
or throttled instance: replies arrive in time and are read late.
"""

import asyncio
import http.server
import threading
import time
import unittest

from dandelionpick import http_pools
from dandelionpick import http_requests
from dandelionpick import kinds
from dandelionpick import loop_lag
from dandelionpick import runtime
from dandelionpick.batch import scheduling
from dandelionpick.batch import start_window
from tests import batch_builders as builders
from tests import crest_builders
from tests import test_batch_jobs


class _Handler(http.server.BaseHTTPRequestHandler):
    """Replies to each request at once."""

    def do_POST(self) -> None:  # noqa: N802
        self.send_response(200)
        self.send_header("content-length", "2")
        self.end_headers()
        self.wfile.write(b"{}")

    def log_message(self, *details: object) -> None:
        """Writes nothing."""


class BusyLoopCallTest(unittest.IsolatedAsyncioTestCase):
    """A call of a process whose event loop is busy most of the time."""

    def setUp(self):
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        self.address = f"127.0.0.1:{server.server_port}"

    async def test_reply_counts_although_it_is_read_late(self):
        """Guards against calls that fail because the own loop is busy."""
        lag = loop_lag.LoopLag()
        pools = await self.enterAsyncContext(
            http_pools.Pools(http_pools.PoolLimits(), lag)
        )
        busy = asyncio.ensure_future(self.keep_busy())
        ticks = asyncio.ensure_future(self.record_ticks(lag))
        await asyncio.sleep(0.15)
        result = await http_requests.request(
            pools, self.address, "POST", "/", 0.3
        )
        busy.cancel()
        ticks.cancel()
        self.assertEqual(result.unwrap(), (200, b"{}"))

    async def keep_busy(self) -> None:
        while True:
            time.sleep(0.15)
            await asyncio.sleep(0)

    async def record_ticks(self, lag: loop_lag.LoopLag) -> None:
        while True:
            lag.record_tick(runtime.TICK_PERIOD_S)
            await asyncio.sleep(runtime.TICK_PERIOD_S)


class SlowBodyTest(unittest.IsolatedAsyncioTestCase):
    """A large reply over a full link, as when all read a new configuration."""

    PART = b"x" * 10_000
    PARTS = 8

    async def request(self, sent_parts: int):
        """Sends a request whose reply arrives in parts."""

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            length = len(self.PART) * self.PARTS
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % length
            )
            for _ in range(sent_parts):
                await asyncio.sleep(0.1)
                writer.write(self.PART)
                await writer.drain()
            await closed.wait()
            writer.close()

        closed = asyncio.Event()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pools = await self.enterAsyncContext(
            http_pools.Pools(http_pools.PoolLimits())
        )
        try:
            return await http_requests.request(
                pools, f"127.0.0.1:{port}", "GET", "/", 0.3
            )
        finally:
            closed.set()
            server.close()

    async def test_body_may_take_longer_than_the_timeout(self):
        """Guards against reading a large value again and again."""
        result = await self.request(self.PARTS)
        self.assertEqual(result.unwrap(), (200, self.PART * self.PARTS))

    async def test_body_that_stops_is_given_up(self):
        """Guards against a call that never ends."""
        result = await self.request(self.PARTS - 1)
        self.assertEqual(result.failure(), kinds.CallFailure.LOST)


class LoopLagTimeoutTest(unittest.IsolatedAsyncioTestCase):
    """Timeouts exclude the time in which the event loop was late."""

    async def test_reply_during_a_busy_loop_is_received(self):
        """Guards against a reply that arrived in time and was read late."""
        lag = loop_lag.LoopLag()
        lag.record_tick(0.0)
        async with loop_lag.timeout(0.05, lag):
            reply = asyncio.ensure_future(self.reply_in_steps(5))
            time.sleep(0.2)
            lag.record_tick(0.0)
            self.assertEqual(await reply, "reply")

    async def reply_in_steps(self, steps: int) -> str:
        """Returns a reply that needs several passes of the event loop."""
        for _ in range(steps):
            await asyncio.sleep(0)
        return "reply"

    async def test_timeout_without_lag_is_not_extended(self):
        """Guards against a silent peer that is waited for too long."""
        lag = loop_lag.LoopLag()
        started_s = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with loop_lag.timeout(0.05, lag):
                await asyncio.sleep(5.0)
        self.assertLess(time.monotonic() - started_s, 2.0)

    async def test_extension_has_an_upper_bound(self):
        """Guards against a peer that is waited for without end."""
        lag = loop_lag.LoopLag()
        with self.assertRaises(TimeoutError):
            async with loop_lag.timeout(0.01, lag):
                lag.recorded_s = 1_000.0
                await asyncio.sleep(loop_lag.MAX_EXTENSION_S + 2.0)

    def test_overdue_tick_counts(self):
        """Guards against lag that is seen only once the loop has caught up."""
        lag = loop_lag.LoopLag()
        lag.record_tick(0.0)
        time.sleep(0.05)
        self.assertGreaterEqual(lag.total_s(), 0.05)


class UnresolvedStartTest(test_batch_jobs.BatchTest):
    """A start without a reply is looked up before it is stopped."""

    def test_run_of_a_target_that_was_slow_to_reply_is_not_stopped(self):
        """Guards against work that is started again after a short silence."""
        fabric = self.build(target_count=1)
        fabric.muted_targets.add("t0")
        fabric.submit(1, builders.body(builders.phase(4), work_s=4.0))
        fabric.run_for(1.0)
        fabric.muted_targets.clear()
        fabric.until_completed(1, limit_s=8.0)
        self.assertEqual(set(fabric.world.starts.values()), {1})

    def test_start_that_took_no_effect_is_repeated_soon(self):
        """Guards against a gang whose members wait for a lost start."""
        fabric = self.build(target_count=4)
        fabric.late_share = 0.25
        gang = builders.phase(8, gpu=4, gang=True)
        fabric.submit(1, builders.body(gang, work_s=1.0))
        fabric.run_for(0.3)
        fabric.late_share = 0.0
        fabric.until_completed(1, limit_s=6.0)


class StartWindowTest(unittest.TestCase):
    """The number of starts in flight follows the round trips that are seen."""

    def test_shrinks_once_for_a_burst_of_slow_starts(self):
        """Guards against a bound that collapses with one late burst."""
        window = start_window.StartWindow()
        for _ in range(90):
            window.record_sent()
        for _ in range(90):
            window.record_reply(1.0, seconds=0.6)
        self.assertAlmostEqual(
            window.limit,
            start_window.INITIAL_LIMIT * start_window.DECREASE_FACTOR,
        )
        self.assertEqual(window.in_flight, 0)

    def test_recovers_with_fast_replies(self):
        """Guards against a scheduler that stays slow after an overload."""
        window = start_window.StartWindow(limit=start_window.MIN_LIMIT)
        for _ in range(2_000):
            window.record_sent()
            window.record_reply(1.0, seconds=0.02)
        self.assertGreater(window.limit, 3 * start_window.MIN_LIMIT)

    def test_never_blocks_for_good(self):
        """Guards against a bound below one step after lasting failures."""
        window = start_window.StartWindow()
        for second in range(100):
            window.record_sent()
            window.record_failure(float(second))
        self.assertTrue(window.has_room())

    def test_pass_leaves_work_that_the_bound_does_not_allow(self):
        """Guards against a burst of starts that makes renewals late."""
        state = crest_builders.scheduler_state(270)
        schedule = state.schedule
        for _ in range(20):
            crest_builders.add_job(
                schedule, crest_builders.BATCH_SHAPES[2], priority=2
            )
        step = builders.step(builders.moment(1.0))
        scheduling.tick(state, step)
        starts = schedule.starts.in_flight
        tasks = crest_builders.BATCH_SHAPES[2].tasks
        self.assertLess(starts, start_window.INITIAL_LIMIT + tasks)
        self.assertTrue(schedule.starts.exhausted)


class SlowSchedulerTest(test_batch_jobs.BatchTest):
    """A scheduler whose event loop handles everything a second late."""

    def test_running_work_is_not_stopped(self):
        """Guards against stops and restarts that feed an overload."""
        fabric = self.build(target_count=6)
        for number in range(1, 5):
            body = builders.body(builders.phase(6), work_s=12.0)
            fabric.submit(number, body, 2)
        fabric.run_for(0.01)
        scheduler = fabric.scheduler()
        scheduler.lag_s = 1.0
        fabric.run_for(5.0)
        scheduler.lag_s = 0.0
        fabric.until_completed(1, 2, 3, 4, limit_s=30.0)
        self.assertEqual(set(fabric.world.starts.values()), {1})


class RecoveryTest(test_batch_jobs.BatchTest):
    """A backlog of three times what the pool holds, and then a loss."""

    def build_backlog(self):
        fabric = self.build(target_count=6)
        for number in range(1, 31):
            body = builders.body(builders.phase(6), work_s=1.0)
            fabric.submit(number, body, 2)
        return fabric

    def await_urgent(self, fabric) -> float:
        """Submits an urgent job; returns the seconds until it starts."""
        gang = builders.phase(4, gpu=2, gang=True)
        fabric.submit(99, builders.body(gang), 0, fabric.scheduler().name)
        task = f"{builders.job_id(99)}.0.0.0"
        return fabric.run_until(lambda: task in fabric.world.starts, 5.0)

    def test_new_work_is_served_after_all_processes_were_killed(self):
        """Guards against a backlog that keeps new work out."""
        fabric = self.build_backlog()
        for name in list(fabric.instances):
            fabric.kill(name)
        fabric.run_for(1.0)
        for name in list(fabric.instances):
            fabric.start_instance(name)
        fabric.run_until(fabric.scheduler, 5.0)
        self.await_urgent(fabric)
        fabric.until_completed(*range(1, 31), limit_s=15.0)

    def test_new_work_is_served_beside_a_backlog(self):
        """Guards against an overload that lasts longer than its cause."""
        fabric = self.build_backlog()
        self.await_urgent(fabric)
        fabric.until_completed(*range(1, 31), limit_s=12.0)


if __name__ == "__main__":
    unittest.main()
