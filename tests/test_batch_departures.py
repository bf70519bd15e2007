"""Targets that leave at short notice while gangs run on them."""

import unittest

from dandelionpick.batch import departures
from dandelionpick.batch import features
from dandelionpick.platform import keys
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

NOTICE_S = 1.9
STOP_S = 0.4
WORK_S = 6.0
# A job that could run must not have nothing running for longer.
MAX_STANDSTILL_S = 3.0


class MustStopTest(unittest.TestCase):
    """A run is stopped only if it would be lost with its target."""

    def test_run_that_ends_in_time_goes_on(self):
        """Guards against work that is thrown away just before its end."""
        for left_s in (2.0, 0.5):
            self.assertFalse(departures.must_stop(0.4, left_s, STOP_S, False))

    def test_checkpointing_run_goes_on_until_the_last_moment(self):
        """Guards against idle targets while a target is draining."""
        self.assertFalse(departures.must_stop(9.0, 2.0, STOP_S, True))
        self.assertTrue(departures.must_stop(9.0, 0.7, STOP_S, True))

    def test_other_run_is_stopped_once_it_cannot_end(self):
        """Guards against gangs that keep targets busy in vain."""
        self.assertTrue(departures.must_stop(9.0, 2.0, STOP_S, False))
        self.assertFalse(departures.must_stop(2.5, 2.0, STOP_S, False))

    def test_run_without_progress_is_judged_at_the_last_moment(self):
        """Guards against the stop of a run of which nothing is known."""
        unknown_s = float("inf")
        self.assertFalse(departures.must_stop(unknown_s, 2.0, STOP_S, False))
        self.assertTrue(departures.must_stop(unknown_s, 0.7, STOP_S, False))


class DepartureTest(test_batch_jobs.BatchTest):
    """A target that runs a member of a gang leaves 1.9 s after its notice."""

    def build_pool(self, is_on: bool = True) -> batch_fabric.Fabric:
        fabric = self.build(target_count=6)
        for instance in fabric.instances.values():
            instance.state.features = features.Features(departures=is_on)
            schedule = instance.state.schedule
            if schedule is not None:
                schedule.features = instance.state.features
        return fabric

    def run_gang(
        self, fabric: batch_fabric.Fabric, work_s: float = WORK_S
    ) -> None:
        """Starts a gang on several targets, one of which drains then."""
        gang = builders.phase(16, gang=True, checkpointing=True)
        fabric.submit(1, builders.body(gang, work_s=work_s))
        fabric.run_for(1.0)
        name = next(
            target.id for target in fabric.world.targets.values() if target.runs
        )
        fabric.drain_target(name, NOTICE_S, refuses=False)

    def test_gang_continues_elsewhere_before_its_target_leaves(self):
        """Guards against gangs that wait until the lost leases have ended."""
        fabric = self.build_pool()
        self.run_gang(fabric)
        fabric.until_completed(1, limit_s=WORK_S + 1.5)

    def test_without_the_setting_nothing_is_stopped(self):
        """Guards against a change where the settings do not call for it."""
        fabric = self.build_pool(is_on=False)
        self.run_gang(fabric)
        fabric.run_for(NOTICE_S - 0.1)
        self.assertFalse(any("before its target" in it for it in fabric.log))

    def test_gang_that_ends_in_time_is_not_moved(self):
        """Guards against work that starts again although it had the time."""
        fabric = self.build_pool()
        self.run_gang(fabric, work_s=2.0)
        fabric.until_completed(1, limit_s=3.0)
        self.assertEqual(sum(fabric.world.starts.values()), 16)

    def test_successor_moves_work_off_a_leaving_target(self):
        """Guards against a takeover between the notice and the stop."""
        fabric = self.build_pool()
        self.run_gang(fabric)
        fabric.kill(fabric.scheduler().name)
        fabric.until_completed(1, limit_s=WORK_S + 14.0)

    def test_run_that_was_stopped_does_not_wait_for_its_lease(self):
        """Guards against a gang that waits for a member that has stopped.

        A new scheduler doesn't know how old the entry of a draining target is,
        so that its end does not prove that the target has left.
        """
        fabric = self.build_pool()
        gang = builders.phase(16, gang=True)
        fabric.submit(1, builders.body(gang, work_s=30.0))
        fabric.run_for(4.0)
        name = next(
            target.id for target in fabric.world.targets.values() if target.runs
        )
        fabric.drain_target(name, NOTICE_S, refuses=False)
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(lambda: "before its target" in fabric.log[-1])
        fabric.run_until(lambda: self.stops_obeyed(fabric, name))
        fabric.crash_target(name)
        fabric.store.remove(keys.TARGETS_PREFIX + name)
        starts = sum(fabric.world.starts.values())
        fabric.run_until(
            lambda: sum(fabric.world.starts.values()) > starts,
            MAX_STANDSTILL_S,
        )

    def stops_obeyed(self, fabric: batch_fabric.Fabric, name: str) -> bool:
        """Returns whether a target has obeyed the stops of all its runs."""
        target = fabric.scheduler().state.schedule.targets[name]
        return all(run.stopped_s < float("inf") for run in target.runs.values())
