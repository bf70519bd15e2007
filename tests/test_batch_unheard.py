"""A target that the scheduler can't reach while the store can.

The load replayed is that of a link between regions that is full for longer than
the leases, so that the targets beyond it answer late.
"""

import unittest

from dandelionpick.batch import unheard_runs
from tests import batch_builders as builders
from tests import test_batch_jobs

LEASE_S = 6.0
STOP_S = 0.4


class UnheardTargetTest(test_batch_jobs.BatchTest):
    """The link to the only busy target is cut for longer than its lease."""

    def start_work(self, *phases, work_s: float, target_count: int = 1):
        fabric = self.build(target_count=target_count)
        for instance in fabric.instances.values():
            instance.state.limits.run_lease_s = LEASE_S
        fabric.submit(1, builders.body(*phases, work_s=work_s))
        fabric.run_for(1.2)
        return fabric

    def cut(self, fabric, *targets: str) -> None:
        scheduler = fabric.scheduler().name
        for target in targets:
            fabric.part(scheduler, target)

    def test_work_that_was_done_meanwhile_is_not_repeated(self):
        """Guards against a done task that runs again after a silence."""
        fabric = self.start_work(builders.phase(4), work_s=3.0)
        self.cut(fabric, "t0")
        fabric.add_target("t9", rack="r9")
        fabric.run_for(2 * LEASE_S)
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=3.0)
        self.assertEqual(set(fabric.world.starts.values()), {1})

    def test_work_that_cannot_have_ended_starts_again(self):
        """Guards against work that waits for a target in vain."""
        fabric = self.start_work(builders.phase(4), work_s=40.0)
        self.cut(fabric, "t0")
        fabric.add_target("t9", rack="r9")
        fabric.run_for(2 * LEASE_S)
        self.assertEqual(set(fabric.world.starts.values()), {2})

    def test_work_of_a_crashed_target_starts_again(self):
        """Guards against work that waits for a target that is gone."""
        fabric = self.start_work(builders.phase(4), work_s=3.0)
        fabric.crash_target("t0")
        fabric.add_target("t9", rack="r9")
        fabric.until_completed(1, limit_s=2 * LEASE_S + 4.0)

    def test_gang_is_judged_by_the_members_that_answer(self):
        """Guards against a gang that waits although its end is known."""
        gang = builders.phase(2, gpu=8, gang=True)
        fabric = self.start_work(gang, work_s=20.0, target_count=2)
        self.cut(fabric, "t0")
        fabric.add_target("t8", rack="r9")
        fabric.add_target("t9", rack="r9")
        task = f"{builders.job_id(1)}.0.0.0"
        fabric.run_until(lambda: fabric.world.starts[task] == 2, 2.5 * LEASE_S)

    def test_stopped_work_that_cannot_have_ended_does_not_wait(self):
        """Guards against a wait for the lease of a run that was stopped."""
        self.assertTrue(self.has_stopped(percent=40.0, after_s=1.0))

    def test_stop_takes_its_time(self):
        """Guards against a second run beside one that is being stopped."""
        self.assertFalse(self.has_stopped(percent=40.0, after_s=0.3))

    def test_stopped_work_may_have_ended_before(self):
        """Guards against a done task that runs again after a stop."""
        for percent in (0.0, 95.0):
            with self.subTest(percent=percent):
                self.assertFalse(self.has_stopped(percent, after_s=1.0))

    def has_stopped(self, percent: float, after_s: float) -> bool:
        """Asks about a run that obeyed a stop some time ago."""
        fabric = self.start_work(builders.phase(), work_s=40.0)
        schedule = fabric.scheduler().state.schedule
        target = schedule.targets["t0"]
        (run,) = target.runs.values()
        run.progressed_s = run.ordered_s + 10.0
        run.first_percent, run.percent = 0.0, percent
        run.stopped_s = run.progressed_s + 0.1
        now_s = run.stopped_s + after_s
        return unheard_runs.has_stopped(schedule, target, run, now_s, STOP_S)


if __name__ == "__main__":
    unittest.main()
