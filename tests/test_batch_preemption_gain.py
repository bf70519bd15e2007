"""Whether stopping others for urgent work pays.

The load replayed is a burst of urgent gangs on a pool that is full of tasks of
which many are about to end.
"""

import unittest

from dandelionpick import ids
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import preemption_gain
from tests import batch_builders as builders
from tests import crest_builders
from tests import test_batch_jobs


def make_run(percent: float, first_percent: float = 0.0) -> job_state.Run:
    """Builds a run that was started at 0 s and listed at 4 s."""
    key = model.TaskKey(ids.JobId("j"), 0, 0, 0)
    return job_state.Run(
        key,
        ids.Attempt(1),
        ids.TargetId("t"),
        model.Resources(),
        job_state.RunState.RUNNING,
        0.0,
        percent=percent,
        first_percent=first_percent,
        progressed_s=4.0,
    )


class RemainingTest(unittest.TestCase):
    """The expected end of a run follows from its progress."""

    def test_progress_is_extrapolated(self):
        """Guards against stopping a run that is about to end."""
        run = make_run(percent=80.0)
        self.assertAlmostEqual(preemption_gain.remaining_s(run, 4.0), 1.0)
        self.assertAlmostEqual(preemption_gain.remaining_s(run, 4.5), 0.5)

    def test_work_before_a_checkpoint_does_not_count(self):
        """Guards against a resumed run that seems almost done."""
        run = make_run(percent=60.0, first_percent=50.0)
        self.assertAlmostEqual(preemption_gain.remaining_s(run, 4.0), 16.0)

    def test_unknown_progress_is_not_waited_for(self):
        """Guards against urgent work that waits for a run without end."""
        self.assertEqual(
            preemption_gain.remaining_s(make_run(0.0), 4.0), float("inf")
        )


class PaysTest(unittest.TestCase):
    """Work outside a guarantee stops nothing that costs much more."""

    def test_loss_is_compared_with_the_own_work(self):
        """Guards against work that is thrown away for a small job."""
        spec = crest_builders.URGENT_SHAPES[0]
        own_core_s = 3 * (7.5 + 8.0) * 2.1
        self.assertTrue(preemption_gain.pays(own_core_s, spec.needs, 3, 2.1))
        self.assertFalse(
            preemption_gain.pays(5 * own_core_s, spec.needs, 3, 2.1)
        )


class BurstTest(test_batch_jobs.BatchTest):
    """Urgent gangs arrive at a pool of two full targets."""

    def build_full(self, work_s: float):
        fabric = self.build(target_count=2)
        fabric.submit(1, builders.body(builders.phase(16), work_s=work_s), 2)
        fabric.run_for(3.0)
        gang = builders.phase(4, gpu=2, gang=True, estimate_ms=1_000)
        fabric.submit(2, builders.body(gang, work_s=1.0), 0)
        return fabric

    def test_work_that_ends_soon_is_not_stopped(self):
        """Guards against stopping tasks that end before the stop would pay."""
        fabric = self.build_full(work_s=3.2)
        fabric.until_completed(1, 2, limit_s=8.0)
        self.assertEqual(set(fabric.world.starts.values()), {1})

    def test_work_that_lasts_is_stopped(self):
        """Guards against urgent work that waits in vain."""
        fabric = self.build_full(work_s=60.0)
        task = f"{builders.job_id(2)}.0.0.0"
        waited_s = fabric.run_until(lambda: task in fabric.world.starts, 3.0)
        stop_s = fabric.scheduler().state.limits.stop_s
        self.assertLess(waited_s, stop_s + 0.5)


if __name__ == "__main__":
    unittest.main()
