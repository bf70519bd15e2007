"""The cost of a scheduling pass at a crest, counted in comparisons.

The load replayed is that of a pool of 270 full targets with 300 waiting steps.
A pass that takes longer than the interval between passes keeps the event loop
busy, so that replies are read late and taken for lost.
"""

import unittest
from unittest import mock

from dandelionpick import events
from dandelionpick.batch import features as features_lib
from dandelionpick.batch import model
from dandelionpick.batch import reducer
from dandelionpick.batch import roster
from dandelionpick.batch import scheduling
from dandelionpick.batch import watches
from tests import batch_builders
from tests import crest_builders as builders

TARGETS = 270
# Comparisons of a shape with a target or a sum of its resources, a target: the
# shapes are counted once in each rack and compared once when they are placed.
MAX_COMPARISONS_PER_TARGET = 40
ALL_OFF = features_lib.Features()


class PassCostTest(unittest.TestCase):
    """A pass costs in proportion to targets and shapes, not their product."""

    def count_comparisons(
        self,
        targets: int,
        urgent: int,
        batch: int,
        features: features_lib.Features = ALL_OFF,
    ) -> int:
        state = builders.scheduler_state(targets)
        schedule = state.schedule
        schedule.features = features
        builders.fill(schedule)
        builders.add_waiting(schedule, urgent, batch)
        count_fitting_in = model.Resources.count_fitting_in
        fits_in = model.Resources.fits_in
        calls = 0

        def count(method):
            def counted(resources, available):
                nonlocal calls
                calls += 1
                return method(resources, available)

            return counted

        with (
            mock.patch.object(
                model.Resources, "count_fitting_in", count(count_fitting_in)
            ),
            mock.patch.object(model.Resources, "fits_in", count(fits_in)),
        ):
            scheduling.tick(
                state, batch_builders.step(batch_builders.moment(1.0))
            )
        return calls

    def test_waiting_steps_are_not_compared_with_each_target(self):
        """Guards against a pass that lasts longer than its interval."""
        calls = self.count_comparisons(TARGETS, urgent=0, batch=300)
        self.assertLess(calls, MAX_COMPARISONS_PER_TARGET * TARGETS)

    def test_fair_shares_and_reservations_cost_one_look_at_the_pool(self):
        """Guards against a plan for each gang that waits."""
        off = self.count_comparisons(TARGETS, urgent=0, batch=300)
        features = features_lib.Features(
            fair_shares=True, gang_reservations=True
        )
        calls = self.count_comparisons(TARGETS, 0, 300, features)
        runs_and_free = 9 * TARGETS
        self.assertLess(calls, off + runs_and_free)
        self.assertGreater(calls, off)

    def test_preemption_does_not_repack_for_each_victim(self):
        """Guards against seconds spent on choosing what to preempt."""
        calls = self.count_comparisons(TARGETS, urgent=4, batch=300)
        self.assertLess(calls, 3 * MAX_COMPARISONS_PER_TARGET * TARGETS)

    def test_a_larger_pool_costs_in_proportion(self):
        """Guards against a cost that grows with the square of the pool."""
        small = self.count_comparisons(90, urgent=0, batch=100)
        large = self.count_comparisons(900, urgent=0, batch=1_000)
        self.assertLess(large, 12 * small)


class EventCostTest(unittest.TestCase):
    """An event that changes nothing costs the same with many targets."""

    def test_roster_is_not_built_for_each_event(self):
        """Guards against a cost of each reply in proportion to the targets."""
        state = builders.scheduler_state(TARGETS)
        state.schedule.roster_read = True
        built = mock.Mock(return_value=state.schedule.roster)
        watch = watches.TargetsWatch("targets/", 1.0)
        watch.listed = True
        state.watches[watches.TargetsWatch] = watch
        with mock.patch.object(roster, "_build_roster", built):
            for number in range(50):
                moment = batch_builders.moment(1.0 + number / 1_000)
                event = events.Stalled(moment, 1.1)
                reducer.reduce_guarded(state, event)
        self.assertEqual(built.call_count, 0)


class PassIntervalTest(unittest.TestCase):
    """Passes follow each other at a longer interval while many units wait."""

    def test_interval_grows_with_the_queue(self):
        """Guards against passes that take all of the processor time."""
        state = builders.scheduler_state(12)
        schedule = state.schedule
        builders.fill(schedule)
        builders.add_waiting(schedule, urgent=0, batch=300)
        scheduling.tick(state, batch_builders.step(batch_builders.moment(1.0)))
        self.assertEqual(schedule.waiting_units, 300)
        schedule.dirty = True
        scheduling.tick(state, batch_builders.step(batch_builders.moment(1.05)))
        self.assertTrue(schedule.dirty)
        scheduling.tick(state, batch_builders.step(batch_builders.moment(1.2)))
        self.assertFalse(schedule.dirty)

    def test_interval_has_an_upper_bound(self):
        """Guards against urgent work that waits for the next pass."""
        schedule = builders.scheduler_state(1).schedule
        schedule.waiting_units = 10_000
        self.assertEqual(
            scheduling.pass_period_s(schedule), scheduling.MAX_PASS_PERIOD_S
        )


if __name__ == "__main__":
    unittest.main()
