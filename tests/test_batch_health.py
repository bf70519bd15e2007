"""Targets that answer as usual, but on which runs fail or stall."""

import unittest

from dandelionpick.batch import model
from tests import batch_builders as builders
from tests import test_batch_jobs

TASK = f"{builders.job_id(1)}.0.0.0"


class FaultyTargetTest(test_batch_jobs.BatchTest):
    """Faulty targets get no work, and stalled runs are moved off them."""

    def test_target_that_fails_everything_fails_no_job(self):
        """Guards against a target that looks idle and uses up all attempts."""
        fabric = self.build(target_count=3)
        faulty = fabric.world.targets["t0"]
        faulty.fails = True
        for number in range(1, 11):
            wide = builders.phase(1, gpu=5)
            fabric.submit(number, builders.body(wide, work_s=1.5))
            fabric.run_for(0.3)
        # Two failures, and one try after each quarantine of 3 s.
        self.assertLessEqual(faulty.number, 3)
        fabric.until_completed(*range(1, 11), limit_s=20.0)

    def test_stalled_tasks_are_rescheduled(self):
        """Guards against a job that waits on a target without progress."""
        fabric = self.build(target_count=2)
        fabric.world.targets["t0"].hangs = True
        gang = builders.phase(2, gang=True)
        fabric.submit(1, builders.body(gang))
        fabric.submit(2, builders.body(builders.phase(3)))
        fabric.until_completed(1, 2, limit_s=6.0)

    def test_gang_member_that_waits_for_others_is_not_stalled(self):
        """Guards against a gang restarted because its members differ in speed.

        Seen in simulated days: finished members stay at 100% while they wait,
        which looks like a stall.
        """
        fabric = self.build(target_count=2)
        gang = builders.phase(2, gpu=5, gang=True)
        fabric.submit(1, builders.body(gang, work_s=8.0))
        fabric.run_for(0.5)
        fabric.world.targets["t0"].speed = 3.0
        fabric.until_completed(1, limit_s=9.0)
        self.assertEqual(sum(fabric.world.starts.values()), 2)

    def test_long_task_is_not_stalled(self):
        """Guards against a task restarted because it exceeds its estimate."""
        fabric = self.build(target_count=2)
        body = builders.body(builders.phase(1, estimate_ms=1_000), work_s=7.0)
        fabric.submit(1, body)
        fabric.until_completed(1, limit_s=8.0)
        self.assertEqual(sum(fabric.world.starts.values()), 1)

    def test_task_of_hours_is_not_stalled(self):
        """Guards against work that is moved before its first percent.

        The estimate may be right or far too low.
        """
        for estimate_ms, starts in ((2_000_000, 1), (1_000, 4)):
            with self.subTest(estimate_ms=estimate_ms):
                fabric = self.build(target_count=6)
                phase = builders.phase(1, estimate_ms=estimate_ms)
                fabric.submit(1, builders.body(phase, work_s=1_000.0))
                fabric.run_for(60.0)
                self.assertLessEqual(sum(fabric.world.starts.values()), starts)
                ((_, run),) = fabric.world.running(TASK)
                self.assertGreater(run.worked_s, 30.0)

    def test_resumed_task_of_hours_is_not_stalled(self):
        """Guards against work that is moved because it had been fast before."""
        fabric = self.build(target_count=3)
        phase = builders.phase(1, estimate_ms=1_000_000, checkpointing=True)
        fabric.submit(1, builders.body(phase, work_s=1_000.0))
        fabric.run_for(200.0)
        ((target, _),) = fabric.world.running(TASK)
        fabric.crash_target(target.id, back_s=3.0)
        fabric.run_for(60.0)
        self.assertEqual(sum(fabric.world.starts.values()), 2)

    def test_failing_job_does_not_quarantine_targets_for_long(self):
        """Guards against a failing job that makes a whole pool unusable."""
        fabric = self.build(target_count=3)
        fabric.submit(1, builders.body(builders.phase(3), fails=99))
        fabric.run_for(1.0)
        fabric.submit(2, builders.body(builders.phase(24)))
        fabric.until_completed(2, limit_s=10.0)
        self.assertIs(fabric.state_of(1), model.JobState.FAILED)


if __name__ == "__main__":
    unittest.main()
