"""Jobs that could run don't stand still after a takeover (rule LOST)."""

from tests import batch_builders as builders
from tests import test_batch_jobs

# A job with room must not have nothing running for longer.
MAX_STANDSTILL_S = 3.0
# Leases of 10 s on a slow clock, the 3 s for which an earlier scheduler may act
# without evidence, and a second each for the takeover and for clocks that
# differ.
MAX_WAIT_FOR_GONE_TARGET_S = 10.2 + 3.0 + 2.0
# Targets of one of nine failure domains at the size that the users aim at.
DOMAIN_TARGETS = 3_700 // 9
DOWN_S = 0.6
# At the end of a day, jobs have to run again after this time.
FINISH_S = 14.0


class StandingJobsTest(test_batch_jobs.BatchTest):
    """Targets are lost for good just before all instances are killed."""

    def restart_all(self, fabric) -> None:
        """Kills all instances; they are back a little later."""
        for name in fabric.instances:
            fabric.kill(name)
        fabric.run_for(DOWN_S)
        for name in list(fabric.instances):
            fabric.start_instance(name)
        fabric.run_until(fabric.scheduler, 5.0)

    def test_silent_targets_do_not_keep_others_from_being_listed(self):
        """Guards against targets that are up and stay unlisted for 30 s.

        Their runs are not extended, and earlier jobs wait for them.
        """
        silent = DOMAIN_TARGETS
        fabric = self.build(target_count=silent + 20)
        # A new scheduler reads the targets in the order of their ids.
        names = sorted(fabric.world.targets)
        for name in names[:silent]:
            fabric.crash_target(name)
        self.restart_all(fabric)
        fabric.run_for(MAX_STANDSTILL_S)
        targets = fabric.scheduler().state.schedule.targets
        unlisted = [name for name in names[silent:] if not targets[name].listed]
        self.assertEqual(unlisted, [])

    def test_second_takeover_does_not_start_the_wait_anew(self):
        """Guards against a wait for a gone target with each takeover."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(builders.phase(8, gpu=2), work_s=40.0))
        fabric.run_for(1.0)
        lost = next(
            name for name, it in fabric.world.targets.items() if it.runs
        )
        fabric.crash_target(lost)
        self.restart_all(fabric)
        crashed_s = fabric.now_s
        for _ in range(3):
            fabric.run_for(6.0)
            self.restart_all(fabric)
        left_s = MAX_WAIT_FOR_GONE_TARGET_S + crashed_s - fabric.now_s
        fabric.run_for(max(MAX_STANDSTILL_S, left_s))
        running = sum(
            len(it.runs) for it in fabric.world.targets.values() if it.up
        )
        self.assertEqual(running, 8)

    def test_job_accepted_after_a_target_fell_silent_waits_for_others(self):
        """Guards against jobs that wait for a target that was gone before."""
        fabric = self.build(target_count=6)
        fabric.crash_target("t0")
        fabric.run_for(MAX_WAIT_FOR_GONE_TARGET_S / 4)
        fabric.kill(fabric.scheduler().name)
        name = next(it.name for it in fabric.instances.values() if it.up)
        fabric.submit(1, builders.body(work_s=40.0), name=name)
        fabric.run_until(fabric.scheduler, 5.0)
        fabric.run_until(
            lambda: any(it.runs for it in fabric.world.targets.values()),
            MAX_STANDSTILL_S,
        )

    def test_task_of_a_lost_target_runs_again_in_time(self):
        """Guards against a wait of a lease and 3 s from the takeover on."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(work_s=40.0))
        fabric.run_for(32.0)
        lost = next(
            name for name, it in fabric.world.targets.items() if it.runs
        )
        fabric.crash_target(lost)
        killed_s = fabric.now_s
        self.restart_all(fabric)
        fabric.run_until(
            lambda: any(it.runs for it in fabric.world.targets.values()),
            killed_s + FINISH_S - fabric.now_s,
        )


class AccountedTasksTest(test_batch_jobs.BatchTest):
    """The scheduler is killed just after an idle target is lost or cut off."""

    def lose_scheduler_and_target(self, fabric, is_cut: bool) -> None:
        """Kills the scheduler beside the loss of a target that runs nothing.

        Args:
            fabric: the simulation.
            is_cut: the target is cut off from the instances and still reaches
                the store; otherwise it crashes for good.
        """
        idle = next(
            name for name, it in fabric.world.targets.items() if not it.runs
        )
        if is_cut:
            for name in fabric.instances:
                fabric.part(name, idle)
        else:
            fabric.crash_target(idle)
        fabric.run_for(0.1)
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(fabric.scheduler, 5.0)

    def fail_runs(self, fabric, after_s: float) -> None:
        """Lets the target that is at work fail its runs some time later."""
        for target in fabric.world.targets.values():
            target.fails = bool(target.runs)
            target.fails_after_s = after_s

    def running(self, fabric, number: int) -> int:
        """Returns how many tasks of a job are at work."""
        return sum(
            key.startswith(builders.job_id(number))
            for target in fabric.world.targets.values()
            for key in target.runs
        )

    def longest_standstill_s(self, fabric, number: int, end_s: float) -> float:
        """Returns for how long a job had nothing running before its end."""
        stood_since_s = fabric.now_s
        longest_s = 0.0
        while fabric.now_s < end_s:
            fabric.run_for(0.1)
            if self.running(fabric, number):
                stood_since_s = fabric.now_s
            longest_s = max(longest_s, fabric.now_s - stood_since_s)
            if fabric.state_of(number) is test_batch_jobs.COMPLETED:
                return longest_s
        return max(longest_s, MAX_WAIT_FOR_GONE_TARGET_S)

    def test_task_that_was_found_and_fails_starts_again_at_once(self):
        """Guards against a retry that waits for targets it can't be on."""
        for is_cut in (False, True):
            with self.subTest(is_cut=is_cut):
                fabric = self.build(target_count=6)
                fabric.submit(1, builders.body(work_s=12.0))
                fabric.run_for(1.0)
                self.fail_runs(fabric, after_s=4.0)
                self.lose_scheduler_and_target(fabric, is_cut)
                self.assertLess(
                    self.longest_standstill_s(fabric, 1, 60.0),
                    MAX_STANDSTILL_S,
                )

    def test_step_after_one_that_was_found_starts_at_once(self):
        """Guards against a step that waits for targets it can't be on."""
        for gang in (False, True):
            with self.subTest(gang=gang):
                fabric = self.build(target_count=6)
                body = builders.body(
                    builders.phase(2, gang=gang),
                    builders.phase(2, gang=gang, after=[0]),
                    work_s=6.0,
                )
                fabric.submit(1, body)
                fabric.run_for(1.0)
                self.lose_scheduler_and_target(fabric, is_cut=False)
                self.assertLess(
                    self.longest_standstill_s(fabric, 1, 60.0),
                    MAX_STANDSTILL_S,
                )

    def lose_scheduler_and_busy_target(self, fabric) -> str:
        """Kills the scheduler and cuts off a target; returns the target."""
        busy = next(
            name for name, it in fabric.world.targets.items() if it.runs
        )
        for name in fabric.instances:
            fabric.part(name, busy)
        fabric.run_for(0.1)
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(fabric.scheduler, 5.0)
        return busy

    def test_task_that_is_recorded_on_a_target_waits_for_its_ends(self):
        """Guards against a second run of work that was done unseen."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(work_s=6.0))
        fabric.run_for(1.0)
        self.lose_scheduler_and_busy_target(fabric)
        fabric.run_for(MAX_WAIT_FOR_GONE_TARGET_S + 5.0)
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=10.0)
        self.assertEqual(sum(fabric.world.starts.values()), 1)

    def test_task_that_fails_right_after_a_takeover(self):
        """Guards against a retry that waits although its run was found."""
        fabric = self.build(target_count=6)
        fabric.submit(1, builders.body(work_s=40.0))
        fabric.run_for(32.0)
        self.lose_scheduler_and_target(fabric, is_cut=False)
        fabric.run_for(0.1)
        self.fail_runs(fabric, after_s=0.0)
        fabric.run_for(0.3)
        for target in fabric.world.targets.values():
            target.fails = False
        fabric.run_until(lambda: self.running(fabric, 1) > 0, MAX_STANDSTILL_S)

    def test_gang_with_a_member_on_a_lost_target_waits(self):
        """Guards against a gang of which only some members start again."""
        fabric = self.build(target_count=6)
        gang = builders.phase(4, gpu=8, gang=True)
        fabric.submit(1, builders.body(gang, work_s=12.0))
        fabric.run_for(1.0)
        lost = self.lose_scheduler_and_busy_target(fabric)
        fabric.run_for(6.0)
        self.fail_runs(fabric, after_s=0.0)
        fabric.world.targets[lost].fails = False
        fabric.run_for(0.3)
        fabric.crash_target(lost)
        for target in fabric.world.targets.values():
            target.fails = False
        fabric.until_completed(1, limit_s=60.0)
        self.assertEqual(set(fabric.world.starts.values()), {2})
