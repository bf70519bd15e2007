"""Tasks that do their work while their targets have troubles of their own."""

import unittest

from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import run_records
from dandelionpick.platform import keys
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

MAX_CRASHES = 3
MAX_CRASHES_AFTER_STARTS = 4
MAX_CRASHES_OF_ANY_KIND = 5
# Longer than the leases, and than the time until an entry expires.
SILENCE_S = 12.0
# Between two crashes that have nothing to do with the task.
RARE_S = 60.0
TASK = f"{builders.job_id(1)}.0.0.0"


class InnocentTaskTest(test_batch_jobs.BatchTest):
    """Job 1 does its work, and its targets have troubles of their own."""

    def place(self, fabric: batch_fabric.Fabric) -> str:
        """Returns the target that runs the task, once its progress is known."""

        def running():
            return fabric.world.running(TASK)

        fabric.run_until(running)
        fabric.run_for(2.5)
        ((target, _),) = running()
        return target.id

    def count(self, fabric: batch_fabric.Fabric) -> int:
        schedule = fabric.scheduler().state.schedule
        job = schedule.jobs[builders.job_id(1)]
        task = job.steps[0, 0].tasks[0]
        return len(run_records.crashes(schedule, task))

    def test_task_survives_two_crashes_of_its_targets(self):
        """Guards against a job that fails because targets crash."""
        fabric = self.build(target_count=4)
        fabric.submit(1, builders.body(work_s=6.0))
        for _ in range(MAX_CRASHES - 1):
            fabric.crash_target(self.place(fabric))
            fabric.run_for(SILENCE_S)
        fabric.until_completed(1)

    def test_task_survives_crashes_in_the_middle_of_its_work(self):
        """Guards against a long task that fails with the third coincidence."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(work_s=12.0))
        for _ in range(MAX_CRASHES + 1):
            target = self.place(fabric)
            fabric.run_for(2.0)
            fabric.crash_target(target)
            fabric.run_for(SILENCE_S)
        fabric.until_completed(1)

    def test_task_that_crashes_its_targets_late_is_given_up(self):
        """Guards against a task that crashes its targets without limit."""
        fabric = self.build(target_count=12)
        fabric.submit(1, builders.body(work_s=60.0))
        for _ in range(MAX_CRASHES_OF_ANY_KIND):
            target = self.place(fabric)
            fabric.run_for(2.0)
            fabric.crash_target(target)
            fabric.run_for(SILENCE_S)
        self.assertIs(fabric.state_of(1), model.JobState.FAILED)

    def test_targets_that_crashed_before_the_start_do_not_count(self):
        """Guards against a job that fails although none of its runs started.

        Each target crashes just before the task fits there.
        """
        fabric = self.build(target_count=0)
        fabric.submit(1, builders.body())
        for number in range(MAX_CRASHES_OF_ANY_KIND + 1):
            name = f"t{number}"
            target = fabric.add_target(name)
            fabric.resize_target(name, gpu=0)
            fabric.run_for(1.0)
            fabric.crash_target(name)
            fabric.resize_target(name, gpu=8)
            fabric.run_for(SILENCE_S)
            self.assertFalse(target.up)
        self.assertLessEqual(self.count(fabric), 1)
        fabric.add_target("live")
        fabric.until_completed(1)
        self.assertEqual(fabric.world.starts[TASK], 1)

    def test_starts_that_did_not_arrive_do_not_fail_a_job(self):
        """Guards against targets that crash before they could start a task."""
        fabric = self.build(target_count=2)
        fabric.dropped_start_share = 1.0
        fabric.submit(1, builders.body())
        for _ in range(MAX_CRASHES_AFTER_STARTS - 1):
            fabric.run_until(lambda: self.sent_run(fabric))
            fabric.crash_target(self.sent_run(fabric).target, back_s=3.0)
            fabric.run_for(4.0)
        self.assertEqual(self.count(fabric), MAX_CRASHES_AFTER_STARTS - 1)
        fabric.dropped_start_share = 0.0
        fabric.until_completed(1)
        self.assertEqual(fabric.world.starts[TASK], 1)

    def sent_run(self, fabric: batch_fabric.Fabric) -> job_state.Run | None:
        """Returns the run of the task whose start was sent, or None."""
        schedule = fabric.scheduler().state.schedule
        task = schedule.jobs[builders.job_id(1)].steps[0, 0].tasks[0]
        for run in task.runs.values():
            if run.state is not job_state.RunState.PLANNED:
                return run
        return None

    def test_silent_targets_do_not_fail_a_job(self):
        """Guards against work given up because its target was only silent."""
        fabric = self.build(target_count=8)
        fabric.submit(1, builders.body(work_s=60.0))
        for _ in range(MAX_CRASHES + 1):
            target = self.place(fabric)
            for name in fabric.instances:
                fabric.part(name, target)
            fabric.run_for(SILENCE_S)
        self.assertEqual(self.count(fabric), 0)
        fabric.cut.clear()
        fabric.until_completed(1)

    def test_silence_across_takeovers_does_not_fail_a_job(self):
        """Guards against a successor that takes silent targets for crashed."""
        fabric = self.build(target_count=8)
        fabric.submit(1, builders.body(work_s=60.0))
        for _ in range(MAX_CRASHES + 1):
            target = self.place(fabric)
            for name in fabric.instances:
                fabric.part(name, target)
            fabric.run_for(2.0)
            name = fabric.scheduler().name
            fabric.kill(name)
            fabric.run_for(1.0)
            fabric.start_instance(name)
            fabric.run_for(SILENCE_S)
        self.assertEqual(self.count(fabric), 0)
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=90.0)

    def test_short_silence_does_not_count(self):
        """Guards against a count of silences that end within the lease."""
        fabric = self.build(target_count=2)
        fabric.submit(1, builders.body(work_s=30.0))
        target = self.place(fabric)
        for name in fabric.instances:
            fabric.part(name, target)
        fabric.run_for(4.0)
        self.assertEqual(self.count(fabric), 0)
        fabric.cut.clear()
        fabric.run_for(1.0)
        self.assertEqual(self.count(fabric), 0)
        self.assertEqual(fabric.world.starts[TASK], 1)

    def test_short_silence_does_not_count_for_the_next_scheduler(self):
        """Guards against a silence that counts after a takeover."""
        fabric = self.build(target_count=2)
        fabric.submit(1, builders.body(work_s=30.0))
        target = self.place(fabric)
        for name in fabric.instances:
            fabric.part(name, target)
        fabric.run_for(4.0)
        fabric.kill(fabric.scheduler().name)
        fabric.cut.clear()
        fabric.run_until(fabric.scheduler)
        fabric.run_for(1.0)
        self.assertEqual(self.count(fabric), 0)
        self.assertEqual(fabric.world.starts[TASK], 1)

    def test_target_cut_off_from_all_does_not_count_once_it_is_back(self):
        """Guards against a cut that stays counted as a crash.

        The target reaches neither the store nor the scheduler for longer than
        its leases, so that it can't be told from one that has crashed.
        """
        fabric = self.build(target_count=8)
        fabric.submit(1, builders.body(work_s=30.0))
        for _ in range(MAX_CRASHES + 1):
            target = fabric.world.targets[self.place(fabric)]
            for name in fabric.instances:
                fabric.part(name, target.id)
            fabric.store.remove(keys.TARGETS_PREFIX + target.id)
            fabric.run_for(SILENCE_S)
            self.assertEqual(self.count(fabric), 1)
            fabric.cut.clear()
            fabric.store.put(keys.TARGETS_PREFIX + target.id, target.entry())
            fabric.run_for(2.0)
            self.assertEqual(self.count(fabric), 0)
        fabric.until_completed(1)

    def test_planned_departures_do_not_fail_a_job(self):
        """Guards against work given up because its targets were drained."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(work_s=20.0))
        for _ in range(MAX_CRASHES + 1):
            fabric.drain_target(self.place(fabric), 1.0)
            fabric.run_for(5.0)
        self.assertEqual(self.count(fabric), 0)
        fabric.until_completed(1)

    def test_crashes_over_months_do_not_end_a_lasting_task(self):
        """Guards against rare crashes that add up for work that never ends."""
        fabric = self.build(target_count=2)
        lasting = builders.phase(1, long_running=True)
        fabric.submit(1, builders.body(lasting, work_s=10_000.0))
        for _ in range(MAX_CRASHES + 2):
            target = self.place(fabric)
            fabric.run_for(RARE_S)
            fabric.crash_target(target, back_s=3.0)
            fabric.run_for(SILENCE_S)
        self.assertEqual(self.count(fabric), 0)
        self.assertIs(fabric.state_of(1), model.JobState.ACTIVE)


if __name__ == "__main__":
    unittest.main()
