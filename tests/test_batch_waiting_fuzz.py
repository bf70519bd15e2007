"""Random faults, after which nothing that could run may stand still."""

import os
import unittest

from tests import fuzzing
from tests import test_batch_jobs
from tests import waiting_faults
from tests import waiting_oracle

DEFAULT_SEED = 1
DEFAULT_EXAMPLES = 8


class WaitingFuzz(test_batch_jobs.BatchTest):
    """No order of faults leaves work standing that could run."""

    def test_random_faults_leave_no_work_standing(self):
        """Guards against accepted work that waits without need."""
        first = int(os.environ.get(fuzzing.SEED_VARIABLE, DEFAULT_SEED))
        count = int(os.environ.get(fuzzing.EXAMPLES_VARIABLE, DEFAULT_EXAMPLES))
        for seed in range(first * 1_000, first * 1_000 + count):
            with self.subTest(seed=seed):
                waits = waiting_faults.RandomWaits(seed)
                waits.play()
                self.check(waits.fabric)
                found = waiting_oracle.describe(waits.oracle.violations)
                self.assertEqual(found, "", "\n".join(waits.story))


if __name__ == "__main__":
    unittest.main()
