"""Targets that restart under their ids while work is sent to them."""

import itertools
import unittest

from dandelionpick.platform import jobs
from tests import batch_builders as builders
from tests import test_batch_jobs

DOWN_S = 0.4
# An entry is written about every 1.5 s.
REPORTS_AFTER_S = 1.4
TASKS = 4
# Seconds from the restart of a target to the arrival of work, or to the cut.
OFFSETS_S = (0.0, 0.05, 0.3, 0.7, 1.2)


class RestartedTargetTest(test_batch_jobs.BatchTest):
    """Every target restarts, and gets work before and after it reports."""

    def build_idle(self, **options):
        fabric = self.build(**options)
        fabric.run_for(4.0)
        return fabric

    def restart_all(self, fabric, reports_after_s: float) -> None:
        for name in list(fabric.world.targets):
            fabric.crash_target(name, DOWN_S, reports_after_s)
        fabric.run_for(DOWN_S)

    def cut_off(self, fabric, *targets: str) -> None:
        for name in fabric.instances:
            for target in targets:
                fabric.part(name, target)

    def starts(self, fabric) -> int:
        return sum(fabric.world.starts.values())

    def test_work_of_a_new_incarnation_is_not_lost_by_its_report(self):
        """Guards against a late report that drops work started after it."""
        for offset_s in OFFSETS_S:
            for seed in (1, 2):
                with self.subTest(offset_s=offset_s, seed=seed):
                    fabric = self.build_idle(seed=seed)
                    self.restart_all(fabric, REPORTS_AFTER_S)
                    fabric.run_for(offset_s)
                    body = builders.body(builders.phase(TASKS), work_s=3.0)
                    fabric.submit(1, body)
                    fabric.until_completed(1, limit_s=8.0)
                    self.assertEqual(self.starts(fabric), TASKS)

    def test_work_of_a_new_incarnation_outlives_a_cut(self):
        """Guards against a report of a cut-off target that drops its work."""
        for offset_s in OFFSETS_S:
            with self.subTest(offset_s=offset_s):
                fabric = self.build_idle()
                self.restart_all(fabric, REPORTS_AFTER_S)
                body = builders.body(builders.phase(TASKS), work_s=9.0)
                fabric.submit(1, body)
                fabric.run_for(offset_s)
                self.cut_off(fabric, "t0")
                fabric.run_for(5.5)
                fabric.cut.clear()
                fabric.until_completed(1, limit_s=12.0)
                self.assertEqual(self.starts(fabric), TASKS)

    def test_run_of_a_new_incarnation_counts_no_crash(self):
        """Guards against a job that is given up although its tasks run."""
        fabric = self.build_idle()
        self.restart_all(fabric, REPORTS_AFTER_S)
        fabric.run_for(0.7)
        body = builders.body(builders.phase(TASKS), work_s=9.0)
        fabric.submit(1, body)
        fabric.run_for(4.0)
        job = fabric.scheduler().state.schedule.jobs[builders.job_id(1)]
        starts = {
            target.id: target.boot_ms()
            for target in fabric.world.targets.values()
        }
        self.assertEqual(len(job.progress.runs), TASKS)
        for records in job.progress.runs.values():
            (record,) = records
            self.assertEqual(record.target_started_ms, starts[record.target])

    def test_gang_across_a_restarted_and_a_sound_target_runs_once(self):
        """Guards against a gang whose member is dropped by a late report."""
        for offset_s in OFFSETS_S:
            with self.subTest(offset_s=offset_s):
                fabric = self.build_idle()
                fabric.crash_target("t0", DOWN_S, REPORTS_AFTER_S)
                fabric.run_for(DOWN_S + offset_s)
                gang = builders.phase(12, gang=True)
                fabric.submit(1, builders.body(gang, work_s=3.0))
                fabric.until_completed(1, limit_s=9.0)
                self.assertEqual(self.starts(fabric), 12)

    def test_late_start_is_not_carried_out_by_the_next_incarnation(self):
        """Guards against a start that was given up before a restart."""
        for late_s in (2.2, 3.0, 5.0):
            with self.subTest(late_s=late_s):
                fabric = self.build_idle()
                fabric.late_after_restarts = True
                fabric.late_share, fabric.late_s = 1.0, late_s
                step = builders.phase(TASKS)
                fabric.submit(1, builders.body(step, work_s=9.0))
                fabric.run_for(0.3)
                fabric.late_share = 0.0
                fabric.run_until(lambda it=fabric: self.starts(it) >= TASKS)
                fabric.crash_target("t0", 0.1, REPORTS_AFTER_S)
                fabric.until_completed(1, limit_s=15.0)
                self.assertEqual(fabric.world.broken, [])

    def test_takeover_between_a_restart_and_its_report(self):
        """Guards against a new scheduler that believes an earlier entry."""
        for offset_s in OFFSETS_S:
            with self.subTest(offset_s=offset_s):
                fabric = self.build_idle()
                self.restart_all(fabric, REPORTS_AFTER_S)
                body = builders.body(builders.phase(TASKS), work_s=4.0)
                fabric.submit(1, body)
                fabric.run_for(offset_s)
                fabric.kill(fabric.scheduler().name)
                fabric.run_until(fabric.scheduler, 5.0)
                fabric.until_completed(1, limit_s=12.0)
                self.assertEqual(self.starts(fabric), TASKS)

    def test_takeover_while_a_restarted_target_is_cut_off(self):
        """Guards against a record that a restarted target runs nothing.

        It is cut off about when it confirms its first start.
        """
        offsets_ms = range(4, 140, 6)
        for reports_after_s, offset_ms in itertools.product(
            (0.03, 0.1, 0.3), offsets_ms
        ):
            with self.subTest(after_s=reports_after_s, offset_ms=offset_ms):
                fabric = self.build_idle()
                self.restart_all(fabric, reports_after_s)
                body = builders.body(builders.phase(TASKS), work_s=9.0)
                fabric.register(1, body)
                spec = jobs.decode(body).unwrap()
                fabric.send("e0", builders.submit(1, spec))
                fabric.run_for(offset_ms / 1_000)
                self.cut_off(fabric, "t0")
                fabric.run_for(3.0)
                fabric.kill(fabric.scheduler().name)
                fabric.run_for(2.5)
                fabric.cut.clear()
                fabric.until_completed(1, limit_s=25.0)
                self.assertEqual(fabric.world.broken, [])

    def test_runs_of_a_restarted_target_start_again_soon(self):
        """Guards against lost runs that are waited for until leases end."""
        fabric = self.build_idle()
        fabric.submit(1, builders.body(builders.phase(TASKS), work_s=3.0))
        fabric.run_for(1.0)
        self.restart_all(fabric, REPORTS_AFTER_S)
        fabric.until_completed(1, limit_s=5.0)
        self.assertEqual(self.starts(fabric), 2 * TASKS)

    def test_entry_of_an_earlier_incarnation_places_no_work(self):
        """Guards against work for which the new incarnation has no label."""
        fabric = self.build_idle(target_count=1)
        fabric.world.targets["t0"].labels = ["other", "r0"]
        fabric.crash_target("t0", DOWN_S, reports_after_s=5.0)
        fabric.run_for(4.0)
        step = builders.phase(TASKS, requirements="kind")
        fabric.submit(1, builders.body(step))
        fabric.run_for(3.0)
        self.assertEqual(self.starts(fabric), 0)

    def test_ends_of_a_new_incarnation_are_not_acknowledged_unseen(self):
        """Guards against the number of an end of the earlier incarnation."""
        for work_s in (0.01, 0.05, 0.3):
            with self.subTest(work_s=work_s):
                fabric = self.build_idle(target_count=1)
                step = builders.phase(TASKS)
                fabric.submit(1, builders.body(step, work_s=0.3))
                fabric.until_completed(1)
                fabric.run_for(4.0)
                self.restart_all(fabric, REPORTS_AFTER_S)
                fabric.submit(2, builders.body(step, work_s=work_s))
                fabric.until_completed(2, limit_s=6.0)
                self.assertEqual(self.starts(fabric), 2 * TASKS)

    def test_ends_are_acknowledged_right_after_an_answer(self):
        """Guards against a restart between a listing and its acknowledgement.

        The ends wait for the store; a restart takes longer than the margin.
        """
        fabric = self.build_idle(target_count=1)
        target = fabric.world.targets["t0"]
        serve = target.serve
        answered_s = [0.0]
        ages_s = []

        def record(path, body, now_s, done):
            if body.get("acked_through"):
                ages_s.append(now_s - answered_s[-1])

            def reply(exchange):
                answered_s.append(fabric.now_s)
                done(exchange)

            serve(path, body, now_s, reply)

        target.serve = record
        for number, delay_s in enumerate((0.0, 0.1, 0.17, 0.5)):
            fabric.commit_delay_s = delay_s
            fabric.submit(number, builders.body(builders.phase(TASKS)))
            fabric.until_completed(number, limit_s=10.0)
            fabric.run_for(2.0)
        self.assertTrue(ages_s)
        self.assertLess(max(ages_s), 0.1)
        self.assertEqual(target.unacknowledged_ends, [])

    def test_two_restarts_between_two_reports(self):
        """Guards against a report of a life that has ended since."""
        fabric = self.build_idle()
        self.restart_all(fabric, 5.0)
        fabric.submit(1, builders.body(builders.phase(TASKS), work_s=3.0))
        fabric.run_for(0.3)
        self.restart_all(fabric, REPORTS_AFTER_S)
        fabric.until_completed(1, limit_s=8.0)
        self.assertEqual(self.starts(fabric), 2 * TASKS)


if __name__ == "__main__":
    unittest.main()
