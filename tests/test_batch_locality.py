"""When a step runs away from its data, or a gang runs across racks."""

import unittest

from dandelionpick import ids
from dandelionpick.batch import job_state
from dandelionpick.batch import locality
from dandelionpick.batch import model
from dandelionpick.batch import schedule_state
from dandelionpick.batch import target_api
from tests import batch_builders as builders
from tests import test_batch_jobs

POOL = ids.PoolName("pool")
CAPACITY = model.Resources(64_000, 131_072, 8)
ESTIMATE_S = 2.0


class MayRelaxLocalityTest(unittest.TestCase):
    """Two racks of two targets with eight accelerators each."""

    def setUp(self):
        self.schedule = schedule_state.Schedule(ids.Epoch(1), 0.0)
        for number in range(4):
            entry = target_api.TargetEntry(
                ids.TargetId(f"t{number}"),
                f"t{number}:1",
                POOL,
                ids.FailureDomain("a"),
                target_api.TargetState.READY,
                CAPACITY,
                frozenset(),
                ids.Rack(f"r{number // 2}"),
            )
            self.schedule.targets[entry.id] = schedule_state.Target(
                entry.id, entry.address, entry
            )

    def occupy_all_targets(self) -> None:
        for target in self.schedule.targets.values():
            target.used = CAPACITY

    def may_relax_locality(self, now_s: float, **fields) -> bool:
        spec = model.StepSpec(
            fields.pop("tasks", 2),
            model.Resources(accelerators=8),
            int(ESTIMATE_S * 1_000),
            **fields,
        )
        record = model.JobRecord(
            ids.QueueName("q"),
            ids.OrganisationId("o"),
            model.QueueTerms(POOL),
            model.JobSpec("", (spec,)),
            0,
        )
        job = job_state.Job(ids.JobId("j"), record, 1)
        step_run = job_state.StepRun(spec, 0, 0, [], spec.tasks)
        return locality.may_relax_locality(self.schedule, job, step_run, now_s)

    def test_waits_while_the_pool_is_busy(self):
        """Guards against gangs that occupy resources three times as long."""
        self.occupy_all_targets()
        gang = {"gang": True, "one_rack": True}
        self.assertFalse(self.may_relax_locality(4 * ESTIMATE_S, **gang))
        self.assertTrue(self.may_relax_locality(9 * ESTIMATE_S, **gang))

    def test_relaxes_locality_early_in_an_idle_pool(self):
        """Guards against work that waits although the resources are unused."""
        gang = {"gang": True, "one_rack": True}
        self.assertFalse(self.may_relax_locality(0.5 * ESTIMATE_S, **gang))
        self.assertFalse(self.may_relax_locality(locality.IDLE_S / 2, **gang))
        self.assertTrue(self.may_relax_locality(locality.IDLE_S + 2.0, **gang))

    def test_short_drop_in_demand_does_not_make_a_pool_idle(self):
        """Guards against non-local work at each low of a varying demand."""
        gang = {"gang": True, "one_rack": True}
        self.may_relax_locality(1.0, **gang)
        self.occupy_all_targets()
        self.may_relax_locality(4.0, **gang)
        for target in self.schedule.targets.values():
            target.used = model.Resources()
        self.assertFalse(self.may_relax_locality(locality.IDLE_S + 2.0, **gang))

    def test_step_that_fits_no_rack_relaxes_locality_at_once(self):
        """Guards against a gang that waits although no rack can hold it."""
        self.occupy_all_targets()
        self.assertTrue(
            self.may_relax_locality(0.0, tasks=3, gang=True, one_rack=True)
        )
        self.assertTrue(self.may_relax_locality(0.0, data_rack="r9"))
        self.assertFalse(self.may_relax_locality(0.0, data_rack="r1"))


class CrestTest(test_batch_jobs.BatchTest):
    """One target of each rack is occupied for longer than a gang can wait."""

    def test_gang_waits_for_its_rack(self):
        """Guards against a gang that runs three times as long across racks."""
        fabric = self.build(target_count=4)
        for number, rack in ((1, "r0"), (2, "r1")):
            step = builders.phase(gpu=8, affinity=rack)
            fabric.submit(number, builders.body(step, work_s=3.0))
        gang = builders.phase(2, gpu=8, gang=True, same_rack=True)
        fabric.submit(3, builders.body(gang, work_s=2.0))
        fabric.until_completed(3, limit_s=5.8)


if __name__ == "__main__":
    unittest.main()
