"""Work does not run twice although a takeover holds back few tasks."""

import dataclasses

from dandelionpick.batch import state as state_lib
from dandelionpick.platform import jobs
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

WORK_S = 5.0
# Longer than the longest lease and what a scheduler may act without evidence.
CUT_S = 18.0


class TakeoverSafetyTest(test_batch_jobs.BatchTest):
    """The scheduler and the link to a busy target are lost together."""

    def send_job(self, fabric: batch_fabric.Fabric, work_s: float) -> None:
        """Submits a job without waiting for the reply."""
        body = builders.body(work_s=work_s)
        fabric.register(1, body)
        spec = jobs.decode(body).unwrap()
        fabric.send("e0", builders.submit(1, spec, 1))

    def run_until_started(self, fabric: batch_fabric.Fabric) -> str:
        """Advances in small steps until a target is at work; returns it."""
        while True:
            for name, target in fabric.world.targets.items():
                if target.runs:
                    return name
            fabric.run_for(0.0005)

    def cut_off(self, fabric: batch_fabric.Fabric, target: str) -> None:
        for name in fabric.instances:
            fabric.part(name, target)

    def restart_scheduler(self, fabric: batch_fabric.Fabric) -> None:
        name = fabric.scheduler().name
        fabric.kill(name)
        fabric.run_for(0.6)
        fabric.start_instance(name)

    def test_work_that_was_done_before_its_start_was_recorded(self):
        """Guards against taking the lack of a record for proof."""
        for after_s in (0.001, 0.002, 0.004):
            for seed in range(1, 6):
                with self.subTest(after_s=after_s, seed=seed):
                    fabric = self.build(seed=seed, target_count=6)
                    self.send_job(fabric, WORK_S)
                    busy = self.run_until_started(fabric)
                    fabric.run_for(after_s)
                    self.cut_off(fabric, busy)
                    self.restart_scheduler(fabric)
                    fabric.run_for(CUT_S)
                    fabric.cut.clear()
                    fabric.run_for(2 * WORK_S)
                    self.assertEqual(sum(fabric.world.starts.values()), 1)

    def test_late_start_on_a_target_that_has_restarted(self):
        """Guards against a lease that begins when a late order arrives."""
        for late_s in (2.0, 5.0, 8.0):
            with self.subTest(late_s=late_s):
                fabric = self.build(target_count=2)
                fabric.run_for(15.0)
                fabric.late_share, fabric.late_s = 1.0, late_s
                fabric.late_after_restarts = True
                self.send_job(fabric, 40.0)
                schedule = fabric.scheduler().state.schedule
                targets = schedule.targets.values()
                while not any(target.runs for target in targets):
                    fabric.run_for(0.001)
                fabric.run_for(0.004)
                busy = next(target.id for target in targets if target.runs)
                self.cut_off(fabric, busy)
                fabric.crash_target(busy, back_s=0.5)
                fabric.late_share = 0.0
                self.restart_scheduler(fabric)
                fabric.run_for(25.0)
                self.assertEqual(fabric.world.broken, [])

    def test_step_of_the_clock_does_not_shorten_the_wait(self):
        """Guards against a record of leases that follows the system clock."""
        fabric = self.build(target_count=3)
        fabric.submit(1, builders.body(work_s=60.0))
        fabric.run_for(32.0)
        busy = self.run_until_started(fabric)
        fabric.cut_from_store(busy, 0.0)
        self.cut_off(fabric, busy)
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(fabric.scheduler, 5.0)
        second = fabric.scheduler()
        fabric.run_for(1.5)
        before = second.state.schedule.targets[busy].silent_until_ms
        self.assertGreater(before, 0)
        self.step_clock(fabric, second, -5_000)
        fabric.run_for(1.0)
        after = second.state.schedule.targets[busy].silent_until_ms
        self.assertEqual(after, before)

    def step_clock(
        self,
        fabric: batch_fabric.Fabric,
        instance: batch_fabric.Instance,
        step_ms: int,
    ) -> None:
        """Steps the system clock of an instance."""
        apply = fabric._apply

        def apply_shifted(receiver, event):
            if receiver is instance:
                moment = dataclasses.replace(
                    event.moment, unix_ms=event.moment.unix_ms + step_ms
                )
                event = dataclasses.replace(event, moment=moment)
            apply(receiver, event)

        fabric._apply = apply_shifted

    def test_first_listing_does_not_account_for_a_task(self):
        """Guards against a listing of an earlier scheduler in progress.

        It may tell that scheduler of an end, after which it starts the task
        elsewhere.
        """
        fabric = self.build(target_count=2)
        fabric.submit(1, builders.body(work_s=40.0))
        fabric.run_for(2.0)
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(fabric.scheduler, 5.0)
        self.assertFalse(self.task_of(fabric.scheduler().state).accounted)
        fabric.run_for(4.0)
        self.assertTrue(self.task_of(fabric.scheduler().state).accounted)

    def task_of(self, state: state_lib.State):
        (job,) = state.schedule.jobs.values()
        return job.steps[0, 0].tasks[0]

    def test_stopped_run_of_an_unknown_step(self):
        """Guards against an exception for a job that was submitted anew."""
        fabric = self.build(instances=1, target_count=1)
        fabric.submit(1, builders.body(work_s=40.0))
        fabric.run_for(1.0)
        schedule = fabric.scheduler().state.schedule
        (job,) = schedule.jobs.values()
        (run,) = schedule.targets["t0"].runs.values()
        run.stopped_s = fabric.now_s
        job.steps.clear()
        self.cut_off(fabric, "t0")
        fabric.run_for(5.0)
        self.assertEqual(fabric.faults, [])
