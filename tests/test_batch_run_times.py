"""Expected run times: what is learnt, how it is used, and how it is stored.

The load replayed has callers whose estimates are off by nine tenths, and one
organisation whose estimates are a tenth of the truth, so that its work would
come first.
"""

import random
import unittest

import msgspec

from dandelionpick import kinds
from dandelionpick.batch import model
from dandelionpick.batch import preemption_gain
from dandelionpick.batch import run_endings
from dandelionpick.batch import run_time_groups
from dandelionpick.batch import run_time_records
from dandelionpick.batch import run_time_store
from dandelionpick.batch import run_times
from dandelionpick.batch import scheduling
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import target_api
from tests import batch_builders
from tests import batch_fabric
from tests import run_time_builders as builders
from tests import test_batch_jobs


class LearningTest(unittest.TestCase):
    """A scheduler to which runs with known times end."""

    def setUp(self):
        self.state = builders.learning_state()
        self.schedule = self.state.schedule
        self.random = random.Random(1)

    def end(self, run, now_s: float, ending=model.Ending.DONE) -> list:
        """Lists the end of a run; returns the log lines about steps."""
        step = batch_builders.step(batch_builders.moment(now_s))
        ended = target_api.Ended(
            next(builders.END_NUMBERS), run.task, run.attempt, ending, ""
        )
        target = self.schedule.targets[run.target]
        run_endings.apply_end(self.state, step, target, ended)
        return [
            effect.fields
            for effect in step.emitted
            if getattr(effect, "text", "") == "run times of a step"
        ]

    def do(self, time_s: float, estimate_s: float, organisation="ward"):
        job = builders.add_job(self.schedule, estimate_s, organisation)
        lines = self.end(builders.add_run(self.schedule, job), time_s)
        self.refresh()
        return lines

    def refresh(self, now_s: float = 0.0):
        self.schedule.run_times.refreshed_s = float("-inf")
        run_time_records.refresh(self.schedule, now_s)

    def expected_s(self, estimate_s: float, organisation="ward") -> float:
        job = builders.add_job(self.schedule, estimate_s, organisation)
        return run_times.expected_s(self.schedule, job, job.steps[0, 0])

    def do_usual(self, count: int = 40, error: float = 0.9):
        """Ends runs of about 10 s with estimates that are off."""
        for _ in range(count):
            time_s = self.random.uniform(8.0, 12.0)
            estimate_s = time_s * (1 + self.random.uniform(-error, error))
            self.do(time_s, estimate_s)

    def test_wrong_and_odd_estimates_hardly_matter(self):
        """Guards against an order of work that follows estimates blindly."""
        self.do_usual()
        for estimate_s in (0, 1, 19, 31_536_000):
            with self.subTest(estimate_s):
                self.assertAlmostEqual(self.expected_s(estimate_s), 10, delta=5)

    def test_false_estimates_give_no_advantage(self):
        """Guards against work that comes first because it is said to be short.

        The load: one of two organisations says a tenth of the truth.
        """
        for _ in range(30):
            time_s, other_s = (self.random.uniform(2, 40) for _ in range(2))
            self.do(time_s, time_s)
            self.do(other_s, 0.1 * other_s, "liars")
        jobs = [
            builders.add_job(self.schedule, estimate_s, organisation)
            for estimate_s, organisation in ((30.0, "ward"), (3.0, "liars"))
        ]
        for job in jobs:
            due_s = scheduling.urgency(
                self.schedule, job, job.steps[0, 0], 1.0
            )[1]
            self.assertAlmostEqual(due_s, 3.0 * 30.0 + 1.0, delta=15.0)

    def test_estimate_is_used_without_the_feature_or_enough_runs(self):
        """Guards against expectations that rest on a few runs."""
        self.do_usual(7)
        self.assertEqual(self.expected_s(123.0), 123.0)
        self.do_usual(1)
        self.assertLess(self.expected_s(123.0), 100.0)
        self.schedule.features = type(self.schedule.features)()
        self.assertEqual(self.expected_s(123.0), 123.0)
        job = builders.add_job(self.schedule, 10.0)
        run = builders.add_run(self.schedule, job, percent=40.0)
        self.assertEqual(
            run_times.remaining_s(self.schedule, run, 5.0),
            preemption_gain.remaining_s(run, 5.0),
        )

    def test_runs_that_were_stopped_or_still_run_count(self):
        """Guards against expectations from the short tasks, which end first."""
        for _ in range(10):
            self.do(2.0, 0)
            job = builders.add_job(self.schedule, 0)
            stopped = builders.add_run(self.schedule, job)
            self.end(stopped, 8.0, model.Ending.STOPPED)
            builders.add_run(
                self.schedule, builders.add_job(self.schedule, 0), -8.0
            )
        self.refresh(0.0)
        self.assertGreater(self.expected_s(0), 6.0)

    def test_resumed_runs_and_gangs_are_measured_as_they_work(self):
        """Guards against times that are too short or include a wait."""
        job = builders.add_job(self.schedule, 5.0)
        run = builders.add_run(
            self.schedule, job, percent=50.0, first_percent=50.0
        )
        restore_s = self.state.limits.restore_s
        (line,) = self.end(run, 5.0 + restore_s)
        self.assertAlmostEqual(line["actual_s"], 10.0)
        gang = builders.add_job(self.schedule, 5.0, tasks=2, gang=True)
        members = [
            builders.add_run(self.schedule, gang, 0.0, index, confirmed_s=start)
            for index, start in enumerate((0.1, 3.0))
        ]
        (line,) = self.end(members[0], 13.0)
        self.assertAlmostEqual(line["actual_s"], 10.0)
        self.assertEqual(self.end(members[1], 13.1), [])

    def test_follows_a_change_and_bounds_its_memory(self):
        """Guards against old runs that count for ever, and for a leak."""
        self.do_usual(100)
        for _ in range(2 * int(run_time_groups.MAX_WEIGHT)):
            self.do(40.0, 0)
        self.assertAlmostEqual(self.expected_s(0), 40.0, delta=4)
        for number in range(2 * run_time_groups.MAX_GROUPS):
            self.do(40.0, 0, f"o{number}")
        self.assertLessEqual(
            len(self.schedule.run_times.groups), run_time_groups.MAX_GROUPS
        )
        self.assertFalse(self.schedule.run_times.steps)

    def test_remaining_time_combines_progress_and_expectation(self):
        """Guards against a hung run that seems to end soon."""
        self.do_usual()
        job = builders.add_job(self.schedule, 10.0)
        run = builders.add_run(self.schedule, job)
        for now_s, low, high in ((1.0, 7.0, 11.0), (9.8, 1e9, float("inf"))):
            left_s = run_times.remaining_s(self.schedule, run, now_s)
            self.assertTrue(low <= left_s <= high)
        run.percent, run.progressed_s = 80.0, 16.0
        left_s = run_times.remaining_s(self.schedule, run, 16.0)
        self.assertAlmostEqual(left_s, 4.0, delta=0.5)

    def test_stored_form_is_bounded_and_odd_values_are_ignored(self):
        """Guards against a takeover that fails because of a stored value."""
        for number in range(200):
            for time_s in range(1, 12):
                self.do(time_s * 1.3, 5.0, f"o{number}")
        value = run_time_store.encode(self.schedule.run_times)
        self.assertLess(len(value), run_time_store.MAX_BYTES)
        context = run_time_store.RunTimesContext(self.schedule.epoch)
        document = msgspec.json.decode(value)
        (*names, times, ratios, error, other), *_ = document["groups"]
        odd = [*names, [[[1, -4.0]], []], ratios, error, other]
        for text, known in (
            (value, True),
            (b"{", False),
            (msgspec.json.encode({**document, "version": 2}), False),
            (msgspec.json.encode({**document, "groups": [odd]}), False),
            (value + b" " * run_time_store.MAX_BYTES, False),
        ):
            with self.subTest(text[:40]):
                state = builders.learning_state()
                step = batch_builders.step(batch_builders.moment(1.0))
                item = store_api.Item(state_lib.RUN_TIMES_KEY, text, 3)
                run_time_store.dispatch.on_reply(context, state, step, item)
                self.assertTrue(state.schedule.run_times.is_read)
                self.assertEqual(bool(state.schedule.run_times.groups), known)
                self.assertEqual(step.emitted[-1].warning, not known)


class StoringTest(unittest.TestCase):
    """The scheduler writes what it has learnt from time to time."""

    def test_a_failed_write_is_repeated_and_names_the_epoch(self):
        """Guards against a copy of a scheduler that was replaced meanwhile."""
        state = builders.learning_state()
        schedule = state.schedule
        schedule.run_times.is_read = schedule.run_times.changed = True
        commits = []
        for now_s in (1.0, 2.0, 1.0 + run_time_store.PERIOD_S):
            step = batch_builders.step(batch_builders.moment(now_s))
            run_time_store.tick(state, step)
            commits += [effect.message for effect in step.emitted]
            for pending in state.calls.values():
                run_time_store.dispatch.on_failure(
                    pending.context, state, step, kinds.CallFailure.LOST
                )
            state.calls.clear()
        self.assertEqual(len(commits), 2)
        for commit in commits:
            condition = store_api.Condition(
                state_lib.SCHEDULER_KEY, schedule.epoch
            )
            self.assertEqual(commit.conditions, (condition,))


class TakeoverTest(test_batch_jobs.BatchTest):
    """What was learnt survives the loss of the scheduler."""

    def build_learning(self):
        fabric = batch_fabric.Fabric()
        self.addCleanup(self.check, fabric)
        for instance in fabric.instances.values():
            instance.state.features = builders.LEARNING
        fabric.run_until(fabric.scheduler, 5.0)
        fabric.run_for(0.5)
        fabric.submit(1, batch_builders.body())
        fabric.until_completed(1)
        fabric.run_for(run_time_store.PERIOD_S + 1.0)
        return fabric

    def groups(self, fabric) -> int:
        scheduler = fabric.scheduler()
        schedule = scheduler and scheduler.state.schedule
        return len(schedule.run_times.groups) if schedule else 0

    def test_successor_reads_what_was_learnt(self):
        """Guards against a scheduler that starts without any expectation."""
        fabric = self.build_learning()
        fabric.kill(fabric.scheduler().name)
        fabric.run_until(lambda: self.groups(fabric), 10.0)

    def test_a_damaged_copy_does_not_hold_up_a_takeover(self):
        """Guards against a takeover that waits for a copy of run times."""
        fabric = self.build_learning()
        fabric.store.put(state_lib.RUN_TIMES_KEY, b"{")
        fabric.kill(fabric.scheduler().name)
        name = next(n for n, i in fabric.instances.items() if i.up)
        fabric.run_until(fabric.scheduler, 10.0)
        fabric.submit(2, batch_builders.body(), name=name)
        fabric.until_completed(2, limit_s=5.0)
        self.assertTrue(
            any("ignored the stored run times" in line for line in fabric.log)
        )
        self.assertTrue(self.groups(fabric))


if __name__ == "__main__":
    unittest.main()
