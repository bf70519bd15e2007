"""Tests of jobs while targets, their links and their orders fail.

After each test the oracle of the targets checks that nothing ran twice, beyond
a target's capacity, after its recorded end, or although it was refused.
"""

import unittest

from dandelionpick.batch import model
from tests import batch_builders as builders
from tests import test_batch_jobs


class TargetTest(test_batch_jobs.BatchTest):
    """Targets crash, are unreachable, drain, or execute orders late."""

    def test_work_of_a_crashed_target_is_started_elsewhere(self):
        """Guards against work that waits forever for a crashed target."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(24), work_s=3.0))
        fabric.run_for(1.0)
        fabric.crash_target("t0")
        fabric.until_completed(1, limit_s=22.0)

    def test_work_of_a_restarted_target_is_started_immediately(self):
        """Guards against work that waits for a lease from before a restart.

        The target restarts after 1 s, long before the lease would expire.
        """
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(24), work_s=3.0))
        fabric.run_for(1.0)
        fabric.crash_target("t0", back_s=1.0)
        fabric.until_completed(1, limit_s=8.0)

    def test_ends_of_a_restarted_target_are_not_lost(self):
        """Guards against acknowledging ends by pre-restart sequence numbers."""
        fabric = self.build(target_count=1)
        fabric.submit(1, builders.body(builders.phase(8), work_s=0.5))
        fabric.until_completed(1)
        fabric.crash_target("t0", back_s=0.2)
        fabric.run_for(0.3)
        fabric.submit(2, builders.body(builders.phase(4), work_s=0.5))
        fabric.until_completed(2, limit_s=20.0)

    def test_work_on_an_unreachable_target_is_kept(self):
        """Guards against discarding work in a short network partition."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(24), work_s=9.0))
        fabric.run_for(1.0)
        for name in fabric.instances:
            fabric.part(name, "t1")
        fabric.run_for(5.5)
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=8.0)
        self.assertEqual(sum(fabric.world.starts.values()), 24)

    def test_draining_target_gets_no_new_work(self):
        """Guards against work that is lost when a draining target leaves."""
        fabric = self.build()
        fabric.drain_target("t0", leaves_s=6.0)
        fabric.run_for(0.5)
        fabric.submit(1, builders.body(builders.phase(24), work_s=1.0))
        fabric.run_for(0.5)
        self.assertFalse(fabric.world.targets["t0"].runs)
        fabric.until_completed(1)

    def test_orders_that_are_carried_out_late(self):
        """Guards against a start that takes effect after a later start."""
        for seed in range(6):
            with self.subTest(seed=seed):
                fabric = self.build(seed=seed)
                fabric.late_share = 0.3
                gang = builders.phase(4, gang=True)
                fabric.submit(1, builders.body(builders.phase(8)))
                fabric.submit(2, builders.body(gang))
                fabric.run_for(8.0)
                fabric.late_share = 0.0
                fabric.until_completed(1, 2, limit_s=30.0)
                self.assertEqual(fabric.world.broken, [])

    def test_cancelled_start_that_is_carried_out_late_is_stopped(self):
        """Guards against a cancelled job whose start takes effect late."""
        fabric = self.build()
        fabric.late_share = 1.0
        fabric.submit(1, builders.body(builders.phase(4), work_s=30.0))
        fabric.run_for(0.3)
        fabric.ask("e0", builders.cancel(1))
        fabric.late_share = 0.0
        fabric.run_for(8.0)
        self.assertFalse(any(t.runs for t in fabric.world.targets.values()))
        self.assertIs(fabric.state_of(1), model.JobState.CANCELLED)

    def test_unreadable_entries_are_ignored(self):
        """Guards against a malformed entry that blocks the valid ones."""
        fabric = self.build()
        for number, value in enumerate((b"", b"\xff", b"{}", b"[1]")):
            fabric.store.put(f"servers/odd-{number}", value)
        fabric.run_for(0.5)
        fabric.submit(1, builders.body(builders.phase(4)))
        fabric.until_completed(1)


if __name__ == "__main__":
    unittest.main()
