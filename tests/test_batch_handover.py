"""Which instance becomes the scheduler in a mix of weak and strong ones."""

import dataclasses
import unittest

from dandelionpick.batch import state as state_lib
from dandelionpick.batch import succession
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

# As in the Authority's large deployment.
STRONG, WEAK = 2.15, 0.516


def set_strength(instance: batch_fabric.Instance, strength: float) -> None:
    """Sets the processor cores of an instance."""
    state = instance.state
    state.identity = dataclasses.replace(state.identity, strength=strength)


class StrengthTest(test_batch_jobs.BatchTest):
    """One strong instance among weak ones."""

    def build_mixed(self, instances: int = 5) -> batch_fabric.Fabric:
        """Builds instances of which the scheduler is weak, and one is strong.

        The strong instance has the longest way to the store.
        """
        fabric = self.build(instances=instances, target_count=4)
        others = [
            instance
            for instance in fabric.instances.values()
            if instance is not fabric.scheduler()
        ]
        for instance in fabric.instances.values():
            set_strength(instance, WEAK)
        set_strength(others[-1], STRONG)
        others[-1].state.store_health.min_rtt_s = 0.028
        self.strong = others[-1]
        # Each instance calls with its strength, and then with its rank.
        fabric.run_for(4.5)
        return fabric

    def test_strong_instance_succeeds(self):
        """Guards against a weak scheduler while a strong one is there."""
        fabric = self.build_mixed()
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(fabric.scheduler, 3.0)
        self.assertIs(fabric.scheduler(), self.strong)

    def test_late_scheduler_hands_over(self):
        """Guards against a scheduler that stays although it is always late."""
        fabric = self.build_mixed()
        fabric.submit(1, builders.body(builders.phase(8), work_s=20.0))
        fabric.run_for(succession.MIN_TENURE_S)
        fabric.scheduler().state.election.lag_share = 0.9
        fabric.run_until(lambda: fabric.scheduler() is self.strong, 2.0)
        fabric.until_completed(1, limit_s=15.0)
        self.assertEqual(set(fabric.world.starts.values()), {1})

    def test_late_scheduler_stays_without_a_stronger_one(self):
        """Guards against equal instances that hand over to each other."""
        fabric = self.build(instances=3)
        first = fabric.scheduler()
        for instance in fabric.instances.values():
            set_strength(instance, WEAK)
        fabric.run_for(succession.MIN_TENURE_S + 4.5)
        first.state.election.lag_share = 0.9
        fabric.run_for(1.0)
        self.assertIs(fabric.scheduler(), first)

    def test_failure_of_the_strong_instance_is_survived(self):
        """Guards against waiting for a candidate that is gone."""
        fabric = self.build_mixed()
        first = fabric.scheduler()
        fabric.kill(self.strong.name)
        fabric.kill(first.name)
        self.assertLess(fabric.run_until(fabric.scheduler, 3.0), 1.5)


class LagTest(unittest.TestCase):
    """The average share of time in which the event loop is late."""

    def lag_share_after(self, lag_s: float, seconds: float) -> float:
        state = builders.state("e0")
        state.election.role = state_lib.Role.LEADING
        period_s = 0.1 + lag_s
        now_s = 0.0
        while now_s < seconds:
            now_s += period_s
            moment = builders.moment(now_s, lag_s)
            succession.record_lag(state, builders.step(moment))
        return state.election.lag_share

    def test_lasting_lag_is_seen(self):
        """Guards against a late scheduler that is not noticed."""
        self.assertGreater(
            self.lag_share_after(0.3, 8.0), succession.HANDOVER_LAG_SHARE
        )

    def test_one_burst_is_not_taken_for_lasting_lag(self):
        """Guards against handing over after a single burst of starts."""
        self.assertLess(
            self.lag_share_after(0.3, 1.2), succession.HANDOVER_LAG_SHARE
        )


if __name__ == "__main__":
    unittest.main()
