"""Tasks that crash the targets on which they run, and others that do not."""

import itertools
import unittest
from unittest import mock

from dandelionpick.batch import crash_budget
from dandelionpick.batch import model
from dandelionpick.batch import run_records
from tests import batch_builders as builders
from tests import batch_fabric
from tests import batch_target_faults
from tests import test_batch_jobs

MAX_CRASHES = 3
# How often a task may start if targets crash before they can confirm it.
MAX_STARTS = 5
# Long enough for ten starts, each after the leases of a crashed target.
LONG_S = 120.0
# Longer than the leases, and than the time until an entry expires.
SILENCE_S = 12.0
# Between two crashes that have nothing to do with the task.
RARE_S = 60.0
TASK = f"{builders.job_id(1)}.0.0.0"


class CrashBudgetTest(test_batch_jobs.BatchTest):
    """The first task of job 1 crashes every target that starts it."""

    def check_given_up(self, fabric: batch_fabric.Fabric) -> None:
        self.assertEqual(fabric.world.crashes[TASK], MAX_CRASHES)
        self.assertEqual(fabric.world.starts[TASK], MAX_CRASHES)
        self.assertIs(fabric.state_of(1), model.JobState.FAILED)

    def crash_for(self, fabric: batch_fabric.Fabric, *phases, **fields) -> None:
        body = builders.body(*phases, crashes=True, **fields)
        fabric.submit(1, body)
        fabric.run_for(LONG_S)

    def test_task_that_crashes_targets_is_given_up(self):
        """Guards against a task that crashes one target after the other."""
        fabric = self.build(target_count=6)
        self.crash_for(fabric, builders.phase(3))
        self.check_given_up(fabric)

    def test_task_that_crashes_targets_that_keep_their_id_is_given_up(self):
        """Guards against a count that a quick restart of the target evades."""
        fabric = self.build(target_count=6)
        fabric.renames_crashed = False
        self.crash_for(fabric, builders.phase(3))
        self.check_given_up(fabric)

    def test_gang_that_crashes_targets_is_given_up(self):
        """Guards against a count that misses the members of a gang."""
        fabric = self.build(target_count=6)
        gang = builders.phase(3, gpu=8, gang=True)
        self.crash_for(fabric, gang, work_s=20.0)
        self.check_given_up(fabric)

    def test_lasting_task_that_crashes_targets_is_given_up(self):
        """Guards against a task without limit of failures that crashes all."""
        fabric = self.build(target_count=6)
        self.crash_for(fabric, builders.phase(2, long_running=True))
        self.check_given_up(fabric)

    def test_count_survives_takeovers(self):
        """Guards against crashes that are forgotten with the scheduler."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(builders.phase(3), crashes=True))
        for count in range(1, MAX_CRASHES + 1):
            fabric.run_until(lambda c=count: fabric.world.crashes[TASK] >= c)
            fabric.run_for(3.5)
            name = fabric.scheduler().name
            fabric.kill(name)
            fabric.run_for(1.0)
            fabric.start_instance(name)
        fabric.run_for(LONG_S)
        self.check_given_up(fabric)

    def test_count_survives_schedulers_lost_with_each_crash(self):
        """Guards against crashes that no scheduler lives to notice."""
        for renames in (True, False):
            with self.subTest(renames=renames):
                fabric = self.build(target_count=6)
                fabric.renames_crashed = renames
                body = builders.body(builders.phase(3), crashes=True)
                fabric.submit(1, body)
                for count in range(1, MAX_CRASHES + 1):
                    fabric.run_until(
                        lambda c=count, f=fabric: f.world.crashes[TASK] >= c
                    )
                    name = fabric.scheduler().name
                    fabric.kill(name)
                    fabric.run_for(1.0)
                    fabric.start_instance(name)
                fabric.run_for(LONG_S)
                self.check_given_up(fabric)

    def test_task_whose_starts_get_no_reply_is_given_up(self):
        """Guards against crashes that don't count without a reply."""
        for share in (0.5, 1.0):
            with self.subTest(share=share):
                fabric = self.build(target_count=6)
                fabric.lost_start_share = share
                self.crash_for(fabric, builders.phase(3))
                self.assertLessEqual(fabric.world.starts[TASK], MAX_STARTS)
                self.assertIs(fabric.state_of(1), model.JobState.FAILED)

    def test_count_survives_schedulers_lost_after_starts_without_reply(self):
        """Guards against starts that only a lost scheduler knew."""
        fabric = self.build(target_count=6)
        fabric.lost_start_share = 1.0
        fabric.submit(1, builders.body(builders.phase(3), crashes=True))
        for count in range(1, MAX_STARTS):
            fabric.run_until(
                lambda c=count: fabric.world.crashes.get(TASK, 0) >= c
            )
            fabric.run_for(0.3)
            name = fabric.scheduler().name
            fabric.kill(name)
            fabric.run_for(1.0)
            fabric.start_instance(name)
        fabric.run_for(LONG_S)
        self.assertLessEqual(fabric.world.starts[TASK], MAX_STARTS)
        self.assertIs(fabric.state_of(1), model.JobState.FAILED)

    def test_first_start_that_is_not_stored_fits_into_the_limit(self):
        """Guards against one start too many if a scheduler is lost with it.

        Found in a simulated day: the commit that records the first start of a
        task was lost, and so was the reply to the start.
        """
        fabric = self.build(target_count=6)
        fabric.lost_start_share = 1.0
        fabric.submit(1, builders.body(builders.phase(3), crashes=True))
        fabric.run_until(lambda: fabric.world.starts.get(TASK))
        job = fabric.scheduler().state.schedule.jobs[builders.job_id(1)]
        self.assertEqual(job.progress.runs, {})
        fabric.kill(fabric.scheduler().name)
        fabric.run_for(LONG_S)
        self.assertLessEqual(fabric.world.starts[TASK], MAX_STARTS)
        self.assertIs(fabric.state_of(1), model.JobState.FAILED)

    def test_suspected_task_starts_only_once_the_start_is_stored(self):
        """Guards against starts by a scheduler that can't record them."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(builders.phase(3), crashes=True))
        for count in range(1, MAX_CRASHES):
            fabric.run_until(
                lambda c=count: fabric.world.crashes.get(TASK, 0) >= c
            )
            fabric.run_for(batch_target_faults.TARGET_RESTART_S - 0.1)
            cut_off = fabric.scheduler().name
            fabric.part(cut_off, "store")
            fabric.run_for(3.0)
            fabric.cut.clear()
        fabric.run_for(LONG_S)
        self.check_given_up(fabric)

    def test_count_survives_the_loss_of_all_instances(self):
        """Guards against a count that only the instances hold."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(builders.phase(3), crashes=True))
        fabric.run_until(lambda: fabric.world.crashes.get(TASK, 0) >= 2)
        fabric.run_for(3.5)
        for name in list(fabric.instances):
            fabric.cut_power(name)
        fabric.run_for(2.0)
        for name in list(fabric.instances):
            fabric.start_instance(name)
        fabric.run_for(LONG_S)
        self.check_given_up(fabric)

    def test_other_work_is_not_lost_with_each_crash(self):
        """Guards against a suspected task that starts among other work."""
        fabric = self.build(target_count=6)
        small = builders.phase(2)
        for number in range(2, 7):
            fabric.submit(number, builders.body(small, work_s=50.0))
        fabric.submit(1, builders.body(small, crashes=True))
        fabric.run_for(LONG_S)
        self.check_given_up(fabric)
        others = [
            count
            for task, count in fabric.world.starts.items()
            if not task.startswith(builders.job_id(1))
        ]
        # Those beside it at the first crash start twice, and no one again.
        self.assertLessEqual(max(others), 2)
        fabric.until_completed(*range(2, 7))

    def test_lost_work_starts_when_its_target_is_replaced(self):
        """Guards against work that waits for the leases of a dead target."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(builders.phase(1), crashes=True))
        fabric.run_until(lambda: fabric.world.crashes.get(TASK))
        restarted = batch_target_faults.TARGET_RESTART_S + 1.0
        fabric.run_until(lambda: fabric.world.starts[TASK] == 2, restarted)
        fabric.run_for(LONG_S)
        self.check_given_up(fabric)

    def test_gang_that_lost_a_member_before_a_takeover_runs_again(self):
        """Guards against members that wait for a lost one for ever."""
        fabric = self.build(target_count=4)
        gang = builders.phase(6, gpu=2, gang=True)
        fabric.submit(2, builders.body(gang, work_s=4.0))
        fabric.run_for(1.0)
        hosts = [
            target for target in fabric.world.targets.values() if target.runs
        ]
        self.assertEqual(len(hosts), 2)
        fabric.crash_target(hosts[0].id, back_s=3.0)
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(fabric.scheduler)
        fabric.until_completed(2, limit_s=25.0)

    def test_new_scheduler_does_not_wait_for_replaced_targets(self):
        """Guards against a takeover that waits for leases of dead targets."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(builders.phase(1), crashes=True))
        fabric.submit(2, builders.body(builders.phase(49), work_s=5.0))
        fabric.run_until(lambda: fabric.world.crashes.get(TASK))
        fabric.run_for(batch_target_faults.TARGET_RESTART_S - 0.5)
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(lambda: fabric.world.starts[TASK] == 2, 3.0)

    def test_progress_of_wide_jobs_stays_small(self):
        """Guards against progress that is too large for the store."""
        with mock.patch.object(run_records, "MAX_RECORDED_TASKS", 2):
            fabric = self.build(target_count=6)
            fabric.submit(1, builders.body(builders.phase(9), work_s=4.0))
            fabric.run_for(1.0)
            schedule = fabric.scheduler().state.schedule
            job = schedule.jobs[builders.job_id(1)]
            self.assertEqual(len(job.progress.runs), 2)
            fabric.until_completed(1)
            self.assertEqual(job.progress.runs, {})

    def test_task_of_a_wide_job_that_crashes_targets_is_given_up(self):
        """Guards against a count that needs the record of the start."""
        with mock.patch.object(run_records, "MAX_RECORDED_TASKS", 0):
            fabric = self.build(target_count=6)
            self.crash_for(fabric, builders.phase(3))
            self.check_given_up(fabric)

    def test_observed_target_gets_no_other_work(self):
        """Guards against work that is sent where a suspected task starts."""
        fabric = self.build(target_count=2)
        fabric.submit(1, builders.body(builders.phase(1), crashes=True))
        fabric.run_until(lambda: fabric.world.crashes.get(TASK))
        fabric.run_until(lambda: fabric.world.starts[TASK] == 2)
        schedule = fabric.scheduler().state.schedule
        (observed,) = schedule.observed_until_s
        fabric.submit(2, builders.body(builders.phase(8), work_s=0.5))
        started = f"{builders.job_id(2)}.0.0.0"
        fabric.run_until(lambda: started in fabric.world.starts, 3.0)
        places = fabric.world.targets_started_on[started]
        self.assertNotIn(observed, places)


class LimitTest(unittest.TestCase):
    """What the crashes of a task's targets add up to."""

    def is_exhausted(self, evidence: str) -> bool:
        kinds = {kind.value[0]: kind for kind in model.CrashEvidence}
        return crash_budget.is_exhausted(
            [
                model.RunRecord(number, "t", 0, kinds[letter])
                for number, letter in enumerate(evidence)
            ]
        )

    def test_limits(self):
        """Guards against limits that depend on the order of the crashes.

        The letters stand for early, late and unconfirmed.
        """
        cases = {
            "eeu": True,
            "eel": True,
            "eul": False,
            "uuu": False,
            "uuue": True,
            "uuuu": True,
            "elll": False,
            "llll": False,
            "lllll": True,
        }
        for evidence, expected in cases.items():
            for order in set(itertools.permutations(evidence)):
                with self.subTest("".join(order)):
                    self.assertIs(self.is_exhausted("".join(order)), expected)

    def test_two_crashes_may_be_a_coincidence(self):
        """Guards against a job that fails with the second crash."""
        for pair in itertools.product("elu", repeat=2):
            self.assertFalse(self.is_exhausted("".join(pair)))

    def test_five_crashes_are_too_many(self):
        """Guards against a task without a limit, whatever is known of it."""
        for crashes in itertools.product("elu", repeat=MAX_STARTS):
            self.assertTrue(self.is_exhausted("".join(crashes)))


if __name__ == "__main__":
    unittest.main()
