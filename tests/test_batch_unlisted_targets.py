"""Tests of takeovers while a target that may run tasks can't be listed."""

import unittest

from standins import platform_store
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

STORE = "store"


class UnlistedTargetTest(test_batch_jobs.BatchTest):
    """A scheduler can't list a target on which tasks may be running."""

    def test_takeover_with_a_target_that_cannot_be_read(self):
        """Guards against a second start of a run on an unreachable target."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(12), work_s=40.0), 2)
        fabric.run_for(1.0)
        first = fabric.scheduler()
        self.assertEqual(len(fabric.world.targets["t0"].runs), 8)
        self.cut_off_from_others(fabric, first.name, "t0")
        fabric.part(first.name, STORE)
        fabric.run_for(60.0)
        self.assertEqual(fabric.world.broken, [])
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=90.0)

    def test_reelected_scheduler_waits_for_its_own_leases(self):
        """Guards against a second start of runs of the process's last epoch.

        Found in a simulated day: the scheduler lost its lease in an outage of
        the store, and was elected again while a target did not answer.
        """
        fabric = self.build(instances=1)
        fabric.run_for(30.0)
        fabric.submit(1, builders.body(builders.phase(12), work_s=8.0), 2)
        fabric.run_for(1.0)
        self.assertEqual(len(fabric.world.targets["t0"].runs), 8)
        fabric.store.lapse = True
        fabric.store.outages[""] = platform_store.Outage.SILENT
        fabric.part("e0", "t0")
        epoch = fabric.scheduler().state.schedule.epoch
        fabric.run_for(2.0)
        fabric.store.outages.clear()
        fabric.run_until(
            lambda: (
                fabric.scheduler()
                and fabric.scheduler().state.schedule.epoch != epoch
            )
        )
        fabric.run_for(2.0)
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=15.0)
        self.assertEqual(sum(fabric.world.starts.values()), 12)

    def test_isolated_scheduler_stops_extending_in_time(self):
        """Guards against leases that an isolated scheduler extends forever.

        It can't learn of its successor, and the successor waits only for a
        fixed time before it starts the tasks again.
        """
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(12), work_s=60.0), 2)
        fabric.run_for(1.0)
        first = fabric.scheduler()
        self.cut_off_from_others(fabric, first.name, "t0")
        others = [name for name in fabric.instances if name != first.name]
        for place in (STORE, "t1", "t2", *others):
            fabric.part(first.name, place)
        fabric.run_for(60.0)
        self.assertEqual(fabric.world.broken, [])
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=90.0)

    def test_target_without_an_entry_delays_tasks_for_less_time(self):
        """Guards against tasks that wait too long for an unlisted target.

        Found in a simulated day: a target left while the store was unavailable,
        so that the roster could not record it as silent.
        """
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(24), work_s=8.0))
        fabric.run_for(1.0)
        fabric.store.outages[""] = platform_store.Outage.SILENT
        fabric.crash_target("t0")
        fabric.run_for(5.0)
        fabric.kill(fabric.scheduler().name)
        fabric.store.outages.clear()
        # A takeover, the longest lease and the work itself.
        fabric.until_completed(1, limit_s=23.0)

    def cut_off_from_others(
        self, fabric: batch_fabric.Fabric, name: str, target: str
    ) -> None:
        for other in fabric.instances:
            if other != name:
                fabric.part(other, target)

    def test_silent_target_is_extended_only_after_the_store_knows(self):
        """Guards against a successor that relies on an outdated lease end.

        The target is silent and then reachable again during an outage of the
        store, which therefore still records the earlier end of its leases.
        """
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(12), work_s=60.0), 2)
        fabric.run_for(1.0)
        first = fabric.scheduler()
        self.cut_off_from_others(fabric, first.name, "t0")
        fabric.part(first.name, "t0")
        fabric.run_for(2.5)
        fabric.store.outages[""] = platform_store.Outage.SILENT
        fabric.cut.discard(frozenset((first.name, "t0")))
        fabric.run_for(7.0)
        fabric.kill(first.name)
        fabric.store.outages.clear()
        fabric.run_for(20.0)
        self.assertEqual(fabric.world.broken, [])

    def test_adopted_runs_keep_the_lease_of_their_first_scheduler(self):
        """Guards against a second start of runs that a predecessor extended.

        Found in a simulated day: the target was marked as silent, so that the
        new scheduler had not extended any lease there when one listing got no
        reply.
        """
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(12), work_s=8.0), 2)
        fabric.run_for(1.0)
        first = fabric.scheduler()
        for name in fabric.instances:
            fabric.part(name, "t0")
        fabric.run_for(2.5)
        fabric.kill(first.name)
        fabric.cut.clear()
        fabric.run_until(lambda: fabric.scheduler() not in (None, first), 5.0)
        for name in fabric.instances:
            fabric.part(name, "t0")
        fabric.run_for(2.0)
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=8.0)
        self.assertEqual(sum(fabric.world.starts.values()), 12)

    def test_target_that_left_before_the_takeover_delays_nothing(self):
        """Guards against tasks that wait for a target that has left."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(24), work_s=8.0))
        fabric.run_for(1.0)
        fabric.crash_target("t0")
        fabric.run_for(14.0)
        fabric.kill(fabric.scheduler().name)
        fabric.until_completed(1, limit_s=14.0)


if __name__ == "__main__":
    unittest.main()
