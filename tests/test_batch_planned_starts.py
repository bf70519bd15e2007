"""Starts that wait until the store has a record of them."""

import math
import unittest

from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import planned_starts
from dandelionpick.batch import run_records
from standins import platform_store
from tests import batch_builders as builders
from tests import batch_fabric
from tests import batch_target_faults
from tests import test_batch_jobs

TASK = f"{builders.job_id(1)}.0.0.0"
# Shorter than the time after which a call to the store fails.
COMMIT_DELAY_S = 0.3


class PlannedStartTest(test_batch_jobs.BatchTest):
    """A target has crashed under the first task of job 1."""

    def crash_once(self, fabric: batch_fabric.Fabric, body: bytes) -> None:
        """Runs job 1 until a target that it has crashed is back."""
        # Otherwise the scheduler loses its lease in an outage.
        fabric.store.lapse = False
        fabric.submit(1, body)
        fabric.run_until(lambda: fabric.world.crashes.get(TASK))
        fabric.run_for(batch_target_faults.TARGET_RESTART_S - 0.2)

    def planned_run(self, fabric: batch_fabric.Fabric) -> job_state.Run | None:
        """Returns the planned run of the task, if there is one."""
        scheduler = fabric.scheduler()
        if scheduler is None:
            return None
        for planned in scheduler.state.schedule.planned_starts:
            for run in planned:
                if f"{run.task.job_id}.{run.task.task_name()}" == TASK:
                    return run
        return None

    def plan(self, fabric: batch_fabric.Fabric) -> job_state.Run:
        """Returns the task's next run as soon as it is planned.

        It takes a while until the store has it.
        """
        fabric.commit_delay_s = COMMIT_DELAY_S
        fabric.run_until(lambda: self.planned_run(fabric), 5.0)
        fabric.commit_delay_s = 0.0
        run = self.planned_run(fabric)
        assert run is not None
        return run

    def test_other_work_starts_while_the_store_is_away(self):
        """Guards against an outage that stops more than suspected tasks."""
        fabric = self.build(target_count=3)
        self.crash_once(fabric, builders.body(builders.phase(1), crashes=True))
        steps = (builders.phase(1), builders.phase(8, after=[0]))
        fabric.submit(2, builders.body(*steps, work_s=2.0))
        fabric.store.outages[""] = platform_store.Outage.SILENT
        fabric.run_for(8.0)
        second = f"{builders.job_id(2)}.0.1.0"
        self.assertIn(second, fabric.world.starts)
        self.assertEqual(fabric.world.starts[TASK], 1)
        fabric.store.outages.clear()
        fabric.until_completed(2)
        fabric.run_until(lambda: fabric.world.starts[TASK] == 3)

    def test_gang_is_not_sent_to_a_target_that_drains_meanwhile(self):
        """Guards against a start that was possible only when it was planned."""
        fabric = self.build(target_count=4)
        gang = builders.phase(2, gpu=8, gang=True)
        self.crash_once(fabric, builders.body(gang, crashes=True))
        run = self.plan(fabric)
        fabric.drain_target(run.target, 10.0)
        fabric.run_for(0.1)
        self.assertIsNot(self.planned_run(fabric), run)
        fabric.run_for(60.0)
        self.assertEqual(fabric.world.starts[TASK], 3)
        self.assertNotIn(run.target, fabric.world.targets_started_on[TASK])
        self.assertIs(fabric.state_of(1), model.JobState.FAILED)

    def test_start_is_not_sent_into_a_domain_that_is_evacuated(self):
        """Guards against a start that was possible only when it was planned."""
        fabric = self.build(target_count=4, domains=4, evacuate_s=5.0)
        self.crash_once(fabric, builders.body(builders.phase(1), crashes=True))
        run = self.plan(fabric)
        fabric.commit_delay_s = COMMIT_DELAY_S
        fabric.evacuate(fabric.world.targets[run.target].zone)
        fabric.run_for(0.1)
        self.assertIsNot(self.planned_run(fabric), run)
        fabric.run_for(60.0)
        self.assertEqual(fabric.world.starts[TASK], 3)
        self.assertNotIn(run.target, fabric.world.targets_started_on[TASK])

    def test_start_is_not_sent_to_a_target_that_shrinks_meanwhile(self):
        """Guards against a start that was possible only when it was planned."""
        fabric = self.build(target_count=4)
        self.crash_once(fabric, builders.body(builders.phase(1), crashes=True))
        run = self.plan(fabric)
        fabric.resize_target(run.target, gpu=0)
        fabric.run_for(0.1)
        self.assertIsNot(self.planned_run(fabric), run)
        fabric.run_for(60.0)
        self.assertNotIn(run.target, fabric.world.targets_started_on[TASK])

    def test_planned_start_on_a_crashed_target_is_no_crash(self):
        """Guards against a crash that counts although nothing was sent."""
        fabric = self.build(target_count=6)
        self.crash_once(fabric, builders.body(builders.phase(1), crashes=True))
        run = self.plan(fabric)
        schedule = fabric.scheduler().state.schedule
        fabric.crash_target(run.target, back_s=0.05)
        fabric.run_for(0.15)
        self.assertIsNot(self.planned_run(fabric), run)
        task = schedule.task_of(run.task)
        self.assertEqual(len(run_records.crashes(schedule, task)), 1)

    def test_planned_starts_respect_the_bound_on_starts(self):
        """Guards against a burst of starts after a rack has crashed."""
        fabric = self.build(target_count=4)
        self.crash_once(fabric, builders.body(builders.phase(1), crashes=True))
        run = self.plan(fabric)
        window = fabric.scheduler().state.schedule.starts
        others = math.ceil(window.limit)
        window.in_flight += others
        fabric.run_for(1.0)
        self.assertIs(self.planned_run(fabric), run)
        self.assertEqual(fabric.world.starts[TASK], 1)
        window.in_flight -= others
        fabric.run_until(lambda: fabric.world.starts[TASK] == 2, 0.2)

    def test_start_that_is_not_stored_in_time_frees_its_target(self):
        """Guards against resources that are kept for a start in vain."""
        fabric = self.build(target_count=3)
        self.crash_once(fabric, builders.body(builders.phase(1), crashes=True))
        run = self.plan(fabric)
        schedule = fabric.scheduler().state.schedule
        fabric.store.outages[""] = platform_store.Outage.SILENT
        fabric.run_for(planned_starts.PLAN_TIMEOUT_S + 0.1)
        self.assertNotIn(
            (run.task, run.attempt), schedule.targets[run.target].runs
        )
        fabric.store.outages.clear()
        fabric.run_until(lambda: fabric.world.crashes[TASK] == 3)


if __name__ == "__main__":
    unittest.main()
