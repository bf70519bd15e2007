"""More runs end on one target than it lists at a time.

The load replayed is a wide step whose tasks all end while the scheduler can't
store or hear of it.
"""

import unittest

from standins import platform_store
from standins import platform_targets
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

TASKS = platform_targets.MAX_ENDS_PER_LISTING + 100
WORK_S = 5.0


class ManyEndsTest(test_batch_jobs.BatchTest):
    """All tasks of a step run on one target, and end together."""

    def start_work(self) -> batch_fabric.Fabric:
        fabric = self.build(target_count=1)
        spare = fabric.add_target("t1", rack="r9")
        phase = builders.phase(TASKS, cpu=100, mem_mb=10, gpu=0)
        fabric.submit(1, builders.body(phase, work_s=WORK_S))
        fabric.run_for(2.0)
        self.assertEqual(len(fabric.world.targets["t0"].runs), TASKS)
        self.assertFalse(spare.runs)
        return fabric

    def finish(self, fabric: batch_fabric.Fabric) -> None:
        fabric.store.outages.clear()
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=30.0)
        self.assertEqual(set(fabric.world.starts.values()), {1})

    def test_ends_during_an_outage_of_the_store(self):
        """Guards against ends beyond a full list that are taken for losses."""
        fabric = self.start_work()
        fabric.store.outages[""] = platform_store.Outage.BUSY
        fabric.run_for(WORK_S + 1.0)
        self.finish(fabric)

    def test_ends_while_the_target_is_cut_off(self):
        """Guards against the same without an outage."""
        fabric = self.start_work()
        fabric.part(fabric.scheduler().name, "t0")
        fabric.run_for(WORK_S + 1.0)
        self.finish(fabric)

    def test_ends_before_a_takeover(self):
        """Guards against a new scheduler that sees only the first ends."""
        fabric = self.start_work()
        first = fabric.scheduler().name
        fabric.store.outages[""] = platform_store.Outage.BUSY
        fabric.run_for(WORK_S + 1.0)
        fabric.kill(first)
        self.finish(fabric)

    def test_first_ends_are_stored_before_the_target_is_cut_off(self):
        """Guards against a takeover that has read only a part of the ends."""
        fabric = self.start_work()
        first = fabric.scheduler().name
        fabric.store.outages[""] = platform_store.Outage.BUSY
        fabric.run_for(WORK_S + 1.0)
        fabric.kill(first)
        fabric.store.outages.clear()

        def has_read_some() -> bool:
            return fabric.world.targets["t0"].fencing_token > epoch

        epoch = fabric.world.targets["t0"].fencing_token
        while not has_read_some():
            fabric.run_for(0.002)
        fabric.run_for(0.004)
        for name in fabric.instances:
            fabric.part(name, "t0")
        fabric.run_for(20.0)
        self.finish(fabric)


if __name__ == "__main__":
    unittest.main()
