"""Capacity that is kept for gangs that have waited for long."""

import unittest

from dandelionpick import ids
from dandelionpick.batch import features as features_lib
from dandelionpick.batch import free_capacity
from dandelionpick.batch import model
from dandelionpick.batch import placement
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_headroom
from tests import test_batch_jobs

GANG = 1
GANG_BODY = builders.body(
    builders.phase(2, gpu=8, gang=True, same_rack=True), work_s=2.0
)


class FillRacksTest(unittest.TestCase):
    """Single tasks go to racks that are already broken into."""

    def test_single_tasks_leave_whole_racks_free(self):
        """Guards against batch work that breaks into each rack."""
        racks = free_capacity.group(
            test_batch_headroom.make_candidate(name, rack, free)
            for name, rack, free in (
                ("a", "r1", 8),
                ("b", "r1", 0),
                ("c", "r2", 7),
                ("d", "r2", 8),
            )
        )
        needs = model.Resources(accelerators=1)
        for fill_racks, chosen in ((False, "c"), (True, "a")):
            demand = placement.Demand(needs, 1, False, fill_racks=fill_racks)
            self.assertEqual(placement.choose_targets(demand, racks), [chosen])


class BatchStreamTest(test_batch_jobs.BatchTest):
    """Batch tasks take each accelerator that becomes free, one at a time."""

    def full_pool(self, reserve: bool = True) -> batch_fabric.Fabric:
        """Builds two racks of two targets, and a gang that waits for one.

        Batch jobs of one task each end at different times, and more of them
        wait than run.
        """
        fabric = batch_fabric.Fabric(target_count=4)
        self.addCleanup(self.check, fabric)
        for instance in fabric.instances.values():
            instance.state.features = features_lib.Features(
                gang_reservations=reserve
            )
        fabric.run_until(fabric.scheduler, 5.0)
        fabric.run_for(0.5)
        for number in range(160):
            work_s = 1.5 + number * 7 % 32 / 16
            step = builders.phase(estimate_ms=int(work_s * 1_000))
            body = builders.body(step, work_s=work_s)
            fabric.register(100 + number, body)
            spec = batch_fabric.jobs.decode(body).unwrap()
            fabric.send("e0", builders.submit(100 + number, spec, 2))
        fabric.run_for(1.0)
        fabric.submit(GANG, GANG_BODY, 1)
        return fabric

    def reservations(self, fabric: batch_fabric.Fabric) -> list:
        scheduler = fabric.scheduler()
        if scheduler is None:
            return []
        return list(scheduler.state.schedule.contention.reservations.values())

    def until_started(self, fabric: batch_fabric.Fabric) -> float:
        """Returns how long it takes until the gang starts."""
        task = f"{builders.job_id(GANG)}.0.0.0"
        return fabric.run_until(lambda: task in fabric.world.starts, 30.0)

    def test_gang_starts_before_the_batch_work_is_done(self):
        """Guards against a gang that never finds a whole rack free."""
        without_s = self.until_started(self.full_pool(reserve=False))
        with_s = self.until_started(self.full_pool())
        self.assertGreater(without_s, 10.0)
        self.assertLess(with_s, 6.0)

    def test_work_that_ends_before_runs_in_reserved_capacity(self):
        """Guards against capacity that is idle until the gang starts."""
        fabric = self.full_pool()
        fabric.run_until(lambda: self.reservations(fabric), 5.0)
        (reserved,) = self.reservations(fabric)
        short = builders.body(builders.phase(32, estimate_ms=50), work_s=0.05)
        fabric.submit(2, short, 1)
        schedule = fabric.scheduler().state.schedule
        fabric.run_until(
            lambda: any(
                task.job_id == builders.job_id(2)
                for target in reserved.resources
                for task, _ in schedule.targets[target].runs
            ),
            reserved.starts_s - fabric.now_s,
        )

    def test_urgent_work_starts_in_reserved_capacity(self):
        """Guards against a guarantee that waits for a reservation."""
        fabric = self.full_pool()
        fabric.run_until(lambda: self.reservations(fabric), 5.0)
        urgent = builders.phase(2, gpu=4, gang=True)
        fabric.submit(2, builders.body(urgent, work_s=0.5), 0)
        task = f"{builders.job_id(2)}.0.0.0"
        fabric.run_until(lambda: task in fabric.world.starts, 1.2)

    def test_reservation_of_a_target_that_fails_is_dropped(self):
        """Guards against a gang that waits for a target that is gone."""
        fabric = self.full_pool()
        fabric.run_until(lambda: self.reservations(fabric), 5.0)
        (reserved,) = self.reservations(fabric)
        lost = min(reserved.resources)
        fabric.crash_target(lost, back_s=60.0)
        fabric.run_until(
            lambda: all(
                lost not in reservation.resources
                for reservation in self.reservations(fabric)
            ),
            5.0,
        )
        self.assertLess(self.until_started(fabric), 12.0)

    def test_reservation_in_an_evacuated_domain_is_dropped(self):
        """Guards against a gang that waits for targets that take no work."""
        fabric = self.full_pool()
        fabric.run_until(lambda: self.reservations(fabric), 5.0)
        schedule = fabric.scheduler().state.schedule
        (domain,) = {
            target.entry.failure_domain for target in schedule.targets.values()
        }
        schedule.closed_domains = frozenset([ids.FailureDomain(domain)])
        fabric.run_for(0.3)
        self.assertEqual(self.reservations(fabric), [])

    def test_gang_starts_after_a_takeover(self):
        """Guards against reservations that a new scheduler relies on."""
        fabric = self.full_pool()
        fabric.run_until(lambda: self.reservations(fabric), 5.0)
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(fabric.scheduler, 10.0)
        self.assertLess(self.until_started(fabric), 12.0)
