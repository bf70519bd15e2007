"""Starts that get no reply, while a gang waits for its members.

The load replayed is a pool in which 55 of 1,000 starts do not arrive, and wide
gangs, of which nearly all lose a start.
"""

from dandelionpick import ids
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

DROPPED_SHARE = 0.055
MEMBERS = 40
# The reply to the first start is waited for, and the target is listed.
FIRST_REPETITION_S = 0.6


class LostStartTest(test_batch_jobs.BatchTest):
    """A start is sent again to the target that has not carried it out."""

    def build_pool(self, seed: int = 1) -> batch_fabric.Fabric:
        return self.build(seed=seed, target_count=8)

    def lose_first_start(self, fabric: batch_fabric.Fabric) -> None:
        """Submits a job of one task, whose start gets lost."""
        fabric.dropped_start_share = 1.0
        fabric.submit(1, builders.body(builders.phase(1), work_s=1.0))
        fabric.run_for(0.2)
        fabric.dropped_start_share = 0.0

    def repetitions(self, fabric: batch_fabric.Fabric) -> int:
        return sum("repeating a start" in line for line in fabric.log)

    def test_wide_gang_starts_once_although_some_starts_are_lost(self):
        """Guards against a gang that is stopped for one missing member."""
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                fabric = self.build_pool(seed)
                fabric.dropped_start_share = DROPPED_SHARE
                gang = builders.phase(MEMBERS, gang=True)
                fabric.submit(1, builders.body(gang, work_s=1.0))
                fabric.until_completed(1, limit_s=4.0)
                self.assertEqual(sum(fabric.world.starts.values()), MEMBERS)

    def test_first_order_is_not_carried_out_after_a_restart(self):
        """Guards against a late order that runs work again that is done."""
        fabric = self.build_pool()
        fabric.late_after_restarts = True
        fabric.late_share, fabric.late_s = 1.0, 5.0
        fabric.submit(1, builders.body(builders.phase(1), work_s=1.0))
        fabric.run_for(0.2)
        fabric.late_share = 0.0
        fabric.until_completed(1, limit_s=3.0)
        self.assertEqual(self.repetitions(fabric), 1)
        (run_on,) = fabric.world.targets_started_on.values()
        for name in run_on:
            fabric.crash_target(name, 0.1, 1.4)
        fabric.run_for(6.0)
        self.assertEqual(sum(fabric.world.starts.values()), 1)

    def test_start_is_not_repeated_after_a_restart(self):
        """Guards against a repetition that a new incarnation carries out."""
        fabric = self.build_pool()
        self.lose_first_start(fabric)
        for name in list(fabric.world.targets):
            fabric.crash_target(name, 0.1, 1.4)
        fabric.until_completed(1, limit_s=8.0)
        self.assertEqual(self.repetitions(fabric), 0)

    def test_start_is_not_repeated_in_a_closed_domain(self):
        """Guards against work that starts in a domain under evacuation."""
        fabric = self.build_pool()
        self.lose_first_start(fabric)
        schedule = fabric.scheduler().state.schedule
        schedule.closed_domains = frozenset((ids.FailureDomain("a"),))
        fabric.run_for(FIRST_REPETITION_S)
        self.assertEqual(self.repetitions(fabric), 0)

    def test_start_of_a_cancelled_job_is_not_repeated(self):
        """Guards against work of a job that has been cancelled meanwhile."""
        fabric = self.build_pool()
        self.lose_first_start(fabric)
        fabric.ask("e0", builders.cancel(1))
        fabric.run_for(3.0)
        self.assertEqual(sum(fabric.world.starts.values()), 0)

    def test_successor_finds_a_repeated_start(self):
        """Guards against a takeover just after a repetition."""
        fabric = self.build_pool()
        self.lose_first_start(fabric)
        fabric.run_until(lambda: self.repetitions(fabric), 2.0)
        fabric.kill(fabric.scheduler().name)
        fabric.until_completed(1, limit_s=30.0)
        self.assertEqual(sum(fabric.world.starts.values()), 1)

    def test_starts_are_not_repeated_without_the_bound(self):
        """Guards against repetitions where the settings name no bound."""
        fabric = self.build_pool()
        for instance in fabric.instances.values():
            instance.state.limits.gang_wait_s = 0.0
        self.lose_first_start(fabric)
        fabric.until_completed(1, limit_s=5.0)
        self.assertEqual(self.repetitions(fabric), 0)

    def test_restart_during_a_stop_does_not_cause_a_storm_of_listings(self):
        """Guards against a listing every few ms while a stop has no reply."""
        fabric = self.build(instances=1, target_count=1)
        fabric.part("e0", "t0")
        fabric.submit(1, builders.body(work_s=1.0))
        fabric.run_until(lambda: self.stop_in_progress(fabric))
        fabric.crash_target("t0", 0.0)
        fabric.run_for(0.01)
        fabric.cut.clear()
        target = fabric.scheduler().state.schedule.targets["t0"]
        before = target.poll_serial
        fabric.run_for(0.7)
        self.assertLess(target.poll_serial - before, 20)

    def stop_in_progress(self, fabric: batch_fabric.Fabric) -> bool:
        """Returns whether a stop has been sent and has no reply."""
        target = fabric.scheduler().state.schedule.targets["t0"]
        return any(run.stop_pending for run in target.runs.values())
