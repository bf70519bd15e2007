"""Which work is preempted when a guarantee is claimed on a full pool."""

import unittest

from dandelionpick import ids
from dandelionpick.batch import free_capacity
from dandelionpick.batch import model
from dandelionpick.batch import placement
from dandelionpick.batch import victim_choice
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

GPU = model.Resources(accelerators=1)


def make_candidate(
    name: str, rack: str, free: int = 0
) -> free_capacity.Candidate:
    """Builds a target with free accelerators."""
    return free_capacity.Candidate(
        ids.TargetId(name), ids.Rack(rack), GPU.times(free), 99
    )


def make_victim(cost: float, **accelerators: int) -> victim_choice.Victim:
    """Builds a victim that occupies accelerators of targets."""
    resources = {
        ids.TargetId(name): GPU.times(accelerators[name])
        for name in accelerators
    }
    return victim_choice.Victim((), resources, cost)


class ChooseVictimsTest(unittest.TestCase):
    """The victims with the least lost work are chosen."""

    def choose(self, count: int, candidates, victims, **demand):
        demanded = placement.Demand(GPU, count, True, **demand)
        return victim_choice.choose_victims(demanded, candidates, victims)

    def test_cheapest_rack_is_chosen(self):
        """Guards against stopping a gang where cheaper single tasks suffice."""
        candidates = [make_candidate("a", "r1"), make_candidate("b", "r2")]
        gang = make_victim(90.0, a=4)
        single = [make_victim(10.0, b=2), make_victim(12.0, b=2)]
        plan = self.choose(4, candidates, [gang, *single], one_rack=True)
        self.assertEqual(set(plan.targets), {"b"})
        self.assertEqual(plan.cost, 22.0)

    def test_unneeded_victims_are_dropped(self):
        """Guards against stopping a cheap victim that turns out unneeded."""
        candidates = [make_candidate("a", "r1")]
        small, large = make_victim(1.0, a=1), make_victim(5.0, a=4)
        plan = self.choose(4, candidates, [small, large])
        self.assertEqual(plan.victims, (large,))

    def test_free_resources_reduce_the_victims(self):
        """Guards against more stops than the missing resources require."""
        candidates = [make_candidate("a", "r1", free=3)]
        victims = [make_victim(2.0, a=1), make_victim(1.0, a=1)]
        plan = self.choose(4, candidates, victims)
        self.assertEqual(plan.cost, 1.0)

    def test_nothing_is_stopped_if_the_demand_still_does_not_fit(self):
        """Guards against stops that do not free enough resources."""
        candidates = [make_candidate("a", "r1"), make_candidate("b", "r2")]
        victims = [make_victim(1.0, a=2), make_victim(1.0, b=2)]
        self.assertIsNone(self.choose(4, candidates, victims, one_rack=True))


class BurstTest(test_batch_jobs.BatchTest):
    """A burst of urgent gangs on a pool that is full of other work."""

    def test_gang_is_not_preempted_repeatedly(self):
        """Guards against a gang that never finishes under urgent bursts."""
        fabric = self.build(target_count=2)
        gang = builders.phase(2, gpu=4, gang=True)
        fabric.submit(1, builders.body(gang, work_s=6.0), 1)
        fabric.submit(2, builders.body(builders.phase(8), work_s=30.0), 2)
        fabric.run_for(1.0)
        for number in range(3, 9):
            urgent = builders.phase(2, gpu=2, gang=True)
            fabric.submit(number, builders.body(urgent, work_s=0.5), 0)
            fabric.run_for(1.0)
        fabric.until_completed(1, limit_s=4.0)
        self.assertEqual(fabric.world.starts[f"{builders.job_id(1)}.0.0.0"], 1)

    def test_urgent_work_over_guarantee_is_preempted(self):
        """Guards against a guarantee that waits for work over another's."""
        fabric = self.build(target_count=2)
        tenants = [
            builders.tenant(builders.ORGANISATION, builders.KEY, 8),
            builders.tenant("other", "key-2", 8),
        ]
        value = builders.configuration_value(2, tenants=tenants)
        fabric.store.put("op/config", value)
        fabric.run_for(0.1)
        for number in (1, 2):
            body = builders.body(builders.phase(8), work_s=30.0)
            fabric.submit(number, body, 0)
        fabric.run_for(1.0)
        body = builders.body(builders.phase(8, gang=True))
        fabric.register(3, body)
        spec = batch_fabric.jobs.decode(body).unwrap()
        message = builders.submit(3, spec, 0, credential="key-2")
        fabric.ask("e0", message)
        task = f"{builders.job_id(3)}.0.0.0"
        fabric.run_until(lambda: task in fabric.world.starts, 2.9)
        covered = f"{builders.job_id(1)}.0.0.0"
        self.assertEqual(fabric.world.starts[covered], 1)


if __name__ == "__main__":
    unittest.main()
