"""Tasks that crash the targets on which they run."""

import unittest

from dandelionpick.batch import model
from tests import batch_builders as builders
from tests import test_batch_jobs

MAX_CRASHES = 3
# Long enough for ten starts, each after the leases of a crashed target.
LONG_S = 120.0


class CrashBudgetTest(test_batch_jobs.BatchTest):
    """The first task of job 1 crashes every target that starts it."""

    def first_task(self) -> str:
        return f"{builders.job_id(1)}.0.0.0"

    def test_task_that_crashes_targets_is_given_up(self):
        """Guards against a task that crashes one target after the other."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(builders.phase(3), crashes=True))
        fabric.run_for(LONG_S)
        self.assertEqual(fabric.world.crashes[self.first_task()], MAX_CRASHES)
        self.assertIs(fabric.state_of(1), model.JobState.FAILED)


if __name__ == "__main__":
    unittest.main()
