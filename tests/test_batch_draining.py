"""Targets that drain, and leave or are cut off before they do."""

import unittest

from dandelionpick.batch import polling
from tests import batch_builders as builders
from tests import batch_fabric
from tests import batch_target_faults
from tests import test_batch_jobs

# Time from the report that a target drains to its exit.
DRAIN_S = 10.0
LEASE_S = 10.0
TASKS = 4


class DrainingTargetTest(test_batch_jobs.BatchTest):
    """A target with four long tasks drains."""

    def start_work(self) -> tuple[batch_fabric.Fabric, str]:
        fabric = self.build(target_count=4)
        fabric.submit(1, builders.body(builders.phase(TASKS), work_s=20.0))
        fabric.run_for(1.0)
        busy = [
            target.id for target in fabric.world.targets.values() if target.runs
        ]
        self.assertEqual(len(busy), 1)
        return fabric, busy[0]

    def starts(self, fabric: batch_fabric.Fabric) -> int:
        return sum(fabric.world.starts.values())

    def cut_from_instances(self, fabric, target: str) -> None:
        for name in fabric.instances:
            fabric.part(name, target)

    def test_work_of_a_cut_off_target_is_kept(self):
        """Guards against an expired entry that is taken for an exit."""
        fabric, target = self.start_work()
        fabric.drain_target(target, leaves_s=60.0)
        fabric.run_for(0.5)
        fabric.cut_from_store(target)
        self.cut_from_instances(fabric, target)
        fabric.run_for(5.5)
        fabric.cut.clear()
        fabric.rejoin_store(target)
        fabric.until_completed(1, limit_s=20.0)
        self.assertEqual(self.starts(fabric), TASKS)

    def test_work_of_a_target_without_an_entry_is_kept(self):
        """Guards against one lost listing of a target whose entry expired."""
        fabric, target = self.start_work()
        fabric.drain_target(target, leaves_s=60.0)
        fabric.run_for(0.5)
        fabric.cut_from_store(target)
        fabric.run_for(batch_target_faults.ENTRY_TTL_S + 1.0)
        self.cut_from_instances(fabric, target)
        fabric.run_for(2.0)
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=20.0)
        self.assertEqual(self.starts(fabric), TASKS)

    def test_reset_as_the_entry_goes_does_not_show_an_exit(self):
        """Guards against a target that serves on without its entry.

        Found with real processes: its entry goes before it exits, and its
        connections are reset at that moment.
        """
        fabric, target = self.start_work()
        fabric.drain_target(target, leaves_s=60.0)
        fabric.run_for(2.0)
        # A listing that is sent now finds its connection closed.
        for call in self.listings_of(fabric, target):
            fabric.fail_call(fabric.scheduler(), call)
        fabric.cut_from_store(target, expires_s=0.0)
        fabric.refusing_targets.add(target)
        fabric.run_for(0.15)
        fabric.refusing_targets.clear()
        fabric.until_completed(1, limit_s=25.0)
        self.assertEqual(self.starts(fabric), TASKS)

    def test_entry_that_expires_as_connections_are_reset_shows_no_exit(self):
        """Guards against a target that loses its links one by one."""
        for drained_s in (0.1, 1.4, 1.6, 2.3):
            for before_s in (0.05, 0.3, 0.5, 1.0, 1.6, 1.9):
                with self.subTest(drained_s=drained_s, before_s=before_s):
                    fabric, target = self.start_work()
                    fabric.drain_target(target, leaves_s=60.0)
                    fabric.run_for(drained_s)
                    fabric.cut_from_store(target)
                    fabric.run_for(batch_target_faults.ENTRY_TTL_S - before_s)
                    fabric.refusing_targets.add(target)
                    fabric.run_for(5.5)
                    fabric.refusing_targets.clear()
                    fabric.rejoin_store(target)
                    fabric.until_completed(1, limit_s=25.0)
                    self.assertEqual(self.starts(fabric), TASKS)

    def listings_of(self, fabric, target: str) -> list[str]:
        return [
            call_id
            for call_id, call in fabric.scheduler().state.calls.items()
            if isinstance(call.context, polling.ListContext)
            and call.context.target == target
        ]

    def test_refused_connections_do_not_show_an_exit(self):
        """Guards against a network that refuses connections of a cut link."""
        fabric, target = self.start_work()
        fabric.drain_target(target, leaves_s=60.0)
        fabric.run_for(0.5)
        fabric.cut_from_store(target)
        fabric.refusing_targets.add(target)
        fabric.run_for(6.5)
        fabric.refusing_targets.clear()
        fabric.until_completed(1, limit_s=20.0)
        self.assertEqual(self.starts(fabric), TASKS)

    def test_work_of_a_target_that_has_left_starts_again_soon(self):
        """Guards against work that waits for leases that nobody holds."""
        fabric, target = self.start_work()
        fabric.drain_target(target, leaves_s=3.0)
        fabric.run_for(4.5)
        self.assertEqual(self.starts(fabric), 2 * TASKS)

    def test_work_of_a_target_that_left_silently_waits_for_its_leases(self):
        """Guards against work that is lost with a machine that drained."""
        fabric, target = self.start_work()
        fabric.drain_target(target, leaves_s=3.0, refuses=False)
        fabric.run_for(3.0)
        fabric.run_until(
            lambda: self.starts(fabric) == 2 * TASKS, LEASE_S + 2.0
        )
        job = fabric.scheduler().state.schedule.jobs[builders.job_id(1)]
        self.assertTrue(
            all(len(runs) == 1 for runs in job.progress.runs.values()),
            job.progress.runs,
        )


if __name__ == "__main__":
    unittest.main()
