"""Writes of the scheduler that the store carries out late."""

import unittest

from dandelionpick.batch import state as state_lib
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

LATE_S = 3.0
# Seconds from the lost write to the moment at which the target is back.
OFFSETS_S = (0.05, 0.2, 0.4, 0.6, 0.8, 1.0)
CUT_S = 5.5
LEASE_S = 10.0
TASKS = 8


class LateRosterTest(test_batch_jobs.BatchTest):
    """A write of the roster gets no reply and takes effect 3 s later."""

    def lose_write(self, fabric: batch_fabric.Fabric) -> None:
        fabric.store.lost_key = state_lib.ROSTER_KEY
        fabric.store.late_s = LATE_S
        fabric.store.lost_share = 1.0
        fabric.run_until(lambda: fabric.store.delayed_writes, 8.0)
        fabric.store.lost_share = 0.0

    def cut_off(self, fabric: batch_fabric.Fabric, target: str) -> None:
        for name in fabric.instances:
            fabric.part(name, target)

    def lose_scheduler(self, fabric: batch_fabric.Fabric, cut_s: float) -> None:
        """Kills the scheduler while the target is cut off."""
        self.cut_off(fabric, "t0")
        fabric.kill(fabric.scheduler().name)
        fabric.run_for(cut_s)
        fabric.cut.clear()
        fabric.run_for(2.0)
        self.assertEqual(fabric.world.broken, [])

    def lose_silence(self, offset_s: float) -> batch_fabric.Fabric:
        """Cuts a busy target off until after the write of that is lost."""
        fabric = self.build()
        body = builders.body(builders.phase(TASKS), work_s=40.0)
        fabric.submit(1, body, 2)
        fabric.run_for(1.0)
        self.assertEqual(len(fabric.world.targets["t0"].runs), TASKS)
        self.cut_off(fabric, "t0")
        self.lose_write(fabric)
        fabric.run_for(offset_s)
        fabric.cut.clear()
        return fabric

    def test_late_record_of_silence_is_not_believed_later(self):
        """Guards against a record that leases ended which were extended."""
        for offset_s in OFFSETS_S:
            with self.subTest(offset_s=offset_s):
                fabric = self.lose_silence(offset_s)
                fabric.run_for(16.0)
                self.lose_scheduler(fabric, CUT_S)

    def test_leases_are_not_extended_while_silence_may_be_recorded(self):
        """Guards against a late record that a takeover reads."""
        for offset_s in OFFSETS_S:
            with self.subTest(offset_s=offset_s):
                fabric = self.lose_silence(offset_s)
                fabric.run_for(LATE_S - offset_s - 0.1)
                self.lose_scheduler(fabric, LEASE_S + 2.0)

    def test_late_removal_of_an_idle_target_is_not_believed_later(self):
        """Guards against a record without a target that got work since."""
        for offset_s in OFFSETS_S:
            with self.subTest(offset_s=offset_s):
                fabric = self.build(target_count=2)
                fabric.cut_from_store("t0")
                self.lose_write(fabric)
                fabric.run_for(offset_s)
                fabric.rejoin_store("t0")
                fabric.run_for(0.5)
                body = builders.body(builders.phase(TASKS), work_s=40.0)
                fabric.submit(1, body, 2)
                fabric.run_for(10.0)
                self.lose_scheduler(fabric, CUT_S)

    def test_refused_read_of_the_roster_is_repeated(self):
        """Guards against a takeover without the roster of the last epoch."""
        fabric = self.build()
        body = builders.body(builders.phase(TASKS), work_s=40.0)
        fabric.submit(1, body, 2)
        fabric.run_for(1.0)
        serve = fabric.store.serve

        def refuse_roster(method, target, body, now_s, done, caller=""):
            if method == "GET" and target.startswith("/kv-key"):
                fabric.store.serve = serve
                done((503, {}))
            else:
                serve(method, target, body, now_s, done, caller)

        fabric.store.serve = refuse_roster
        self.lose_scheduler(fabric, CUT_S)
        self.assertIs(fabric.store.serve.__func__, serve.__func__)


class RemovalTest(test_batch_jobs.BatchTest):
    """The removal of an ended job gets no reply and takes effect late."""

    def test_late_removal_spares_a_job_that_was_accepted_since(self):
        """Guards against an accepted job that is removed under its id."""
        fabric = self.build(retention_s=1.0)
        fabric.submit(1, builders.body())
        fabric.until_completed(1)
        fabric.run_for(20.0)
        fabric.store.late_s = 30.0
        fabric.store.lost_share = 1.0
        fabric.run_until(lambda: fabric.store.delayed_writes, 30.0)
        fabric.store.lost_share = 0.0
        key = state_lib.JOBS_PREFIX + builders.job_id(1)
        fabric.run_until(lambda: key not in fabric.store.items, 20.0)
        # The oracle does not know that ids may be used again after a while.
        fabric.world.done.clear()
        fabric.submit(1, builders.body(work_s=60.0))
        fabric.run_for(35.0)
        self.assertIn(key, fabric.store.items)
        fabric.until_completed(1, limit_s=40.0)

    def test_job_is_run_that_was_accepted_after_an_unnoticed_removal(self):
        """Guards against an accepted job that counts as the removed one."""
        fabric = self.build(retention_s=1.0)
        fabric.submit(1, builders.body())
        fabric.until_completed(1)
        fabric.run_for(20.0)
        fabric.store.lost_share = 1.0
        key = state_lib.JOBS_PREFIX + builders.job_id(1)
        fabric.run_until(lambda: key not in fabric.store.items, 30.0)
        fabric.store.lost_share = 0.0
        fabric.world.done.clear()
        fabric.submit(1, builders.body())
        fabric.until_completed(1, limit_s=5.0)
        self.assertEqual(sum(fabric.world.starts.values()), 2)


if __name__ == "__main__":
    unittest.main()
