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
