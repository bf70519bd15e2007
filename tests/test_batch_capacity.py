"""Targets whose capacity shrinks and grows while they run tasks."""

import unittest

from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

# Longer than it takes to learn of a new capacity.
LEARN_S = 0.5


class ChangingCapacityTest(test_batch_jobs.BatchTest):
    """The oracle records each start that exceeds the present capacity."""

    def running(self, fabric: batch_fabric.Fabric, number: int) -> int:
        return sum(
            run.task.startswith(builders.job_id(number))
            for target in fabric.world.targets.values()
            for run in target.runs.values()
        )

    def test_nothing_starts_on_a_target_that_has_shrunk(self):
        """Guards against starts that a smaller target has no room for."""
        fabric = self.build(target_count=1)
        fabric.submit(1, builders.body(builders.phase(6, gpu=1), work_s=4.0))
        fabric.run_for(LEARN_S)
        fabric.resize_target("t0", gpu=3)
        fabric.run_for(LEARN_S)
        fabric.submit(2, builders.body(builders.phase(8, gpu=1), work_s=1.0))
        fabric.run_for(2.0)
        self.assertEqual(self.running(fabric, 2), 0)
        fabric.until_completed(1, 2)

    def test_what_is_being_stopped_still_counts(self):
        """Guards against urgent work that starts before the room is free."""
        fabric = self.build(target_count=1)
        fabric.submit(1, builders.body(builders.phase(8, gpu=1), work_s=9.0))
        fabric.run_for(LEARN_S)
        fabric.resize_target("t0", gpu=5)
        fabric.run_for(LEARN_S)
        urgent = builders.body(builders.phase(4, gpu=1))
        fabric.submit(2, urgent, priority=0)
        fabric.until_completed(2, limit_s=10.0)

    def test_work_without_accelerators_avoids_an_exceeded_target(self):
        """Guards against starts that add to what a target has too much of."""
        fabric = self.build(target_count=2)
        fabric.submit(1, builders.body(builders.phase(16, gpu=1), work_s=5.0))
        fabric.run_for(LEARN_S)
        fabric.resize_target("t0", gpu=2)
        fabric.run_for(LEARN_S)
        fabric.submit(2, builders.body(builders.phase(4, gpu=0), work_s=1.0))
        fabric.until_completed(2, limit_s=4.0)
        task = f"{builders.job_id(2)}.0.0.0"
        self.assertEqual(fabric.world.targets_started_on[task], {"t1"})

    def test_work_starts_when_the_target_has_grown(self):
        """Guards against a capacity that is only read once."""
        fabric = self.build(target_count=1)
        fabric.resize_target("t0", gpu=1)
        fabric.run_for(LEARN_S)
        fabric.submit(1, builders.body(builders.phase(4, gpu=2), work_s=1.0))
        fabric.run_for(LEARN_S)
        self.assertEqual(self.running(fabric, 1), 0)
        fabric.resize_target("t0", gpu=8)
        fabric.run_for(LEARN_S)
        self.assertEqual(self.running(fabric, 1), 4)
        fabric.until_completed(1)

    def test_a_new_scheduler_knows_the_present_capacity(self):
        """Guards against a takeover that restores the earlier capacity."""
        fabric = self.build(target_count=1)
        fabric.submit(1, builders.body(builders.phase(6, gpu=1), work_s=6.0))
        fabric.run_for(LEARN_S)
        fabric.resize_target("t0", gpu=3)
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(fabric.scheduler)
        name = fabric.scheduler().name
        body = builders.body(builders.phase(4, gpu=1), work_s=1.0)
        fabric.submit(2, body, name=name)
        fabric.until_completed(1, 2)


if __name__ == "__main__":
    unittest.main()
