"""A target that the scheduler can't reach while the store can.

The load replayed is that of a link between regions that is full for longer than
the leases, so that the targets beyond it answer late.
"""

import unittest

from tests import batch_builders as builders
from tests import test_batch_jobs

LEASE_S = 6.0


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


if __name__ == "__main__":
    unittest.main()
