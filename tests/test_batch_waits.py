"""Tests that the log tells why a job's open tasks don't start."""

import collections
import unittest

from dandelionpick.batch import obstacles
from dandelionpick.batch import start_conditions
from dandelionpick.batch import waiting
from tests import batch_builders as builders
from tests import test_batch_jobs

OBSTACLE = obstacles.Obstacle
STORE = "store"


class WaitsTest(test_batch_jobs.BatchTest):
    """Each cause of a wait leaves a line of its own about the job."""

    def lines_about(self, fabric, number: int) -> list[str]:
        """Returns the lines that say what a job waits for."""
        return [
            note.text
            for note in fabric.notes
            if note.fields.get("job") == builders.job_id(number)
            and "wait" in note.text
        ]

    def assert_explained(self, fabric, number: int, obstacle: OBSTACLE):
        lines = self.lines_about(fabric, number)
        self.assertTrue(
            any(obstacle.value in line for line in lines),
            "\n".join([f"lines about the job: {lines}", *fabric.log[-20:]]),
        )

    def start_job(self, fabric, **fields) -> str:
        """Starts a job of one long task; returns its target."""
        body = builders.body(builders.phase(1, **fields), work_s=40.0)
        fabric.submit(1, body)
        fabric.run_for(1.0)
        return next(
            name for name, target in fabric.world.targets.items() if target.runs
        )

    def cut_off(self, fabric, target: str) -> None:
        """Cuts a target off from all instances, not from the store."""
        for name in fabric.instances:
            fabric.part(name, target)

    def test_target_that_was_not_listed_since_a_takeover(self):
        fabric = self.build()
        target = self.start_job(fabric)
        self.cut_off(fabric, target)
        fabric.kill(fabric.scheduler().name)
        fabric.run_for(8.0)
        self.assert_explained(fabric, 1, OBSTACLE.UNLISTED_TARGETS)
        summary = next(
            note for note in fabric.notes if "steps wait" in note.text
        )
        self.assertEqual(summary.fields["unlisted"], [target])

    def test_run_on_a_target_that_does_not_answer(self):
        fabric = self.build()
        target = self.start_job(fabric)
        self.cut_off(fabric, target)
        fabric.run_for(5.0)
        self.assert_explained(fabric, 1, OBSTACLE.SILENT_TARGET)

    def test_start_without_a_reply(self):
        fabric = self.build(target_count=1)
        self.cut_off(fabric, "t0")
        fabric.submit(1, builders.body(work_s=1.0))
        fabric.run_for(5.0)
        self.assert_explained(fabric, 1, OBSTACLE.UNRESOLVED)

    def test_no_target_has_room(self):
        fabric = self.build(target_count=1)
        self.start_job(fabric, gpu=8)
        fabric.submit(2, builders.body(builders.phase(1, gpu=8)))
        fabric.run_for(3.0)
        self.assert_explained(fabric, 2, OBSTACLE.ROOM)
        self.assertEqual(
            fabric.scheduler().state.gauges()["held_back_steps"], 0
        )

    def test_nothing_shows_that_there_is_no_other_scheduler(self):
        fabric = self.build(instances=1)
        fabric.part("e0", STORE)
        self.cut_off(fabric, "t0")
        fabric.run_for(8.0)
        self.assertTrue(
            any(
                OBSTACLE.UNCONFIRMED_LEADERSHIP.value in line
                for line in fabric.log
            )
        )

    def test_scheduler_that_leaves_tells_what_waits(self):
        """Guards against a wait that goes unexplained over a hand-over."""
        fabric = self.build()
        self.cut_off(fabric, self.start_job(fabric))
        fabric.run_for(3.0)
        scheduler = fabric.scheduler()
        fabric.stop(scheduler.name)
        lines = self.lines_about(fabric, 1)
        self.assertIn("still waits, resigned", lines[-1])
        self.assertIn(OBSTACLE.SILENT_TARGET.value, lines[-1])

    def test_short_waits_are_not_logged(self):
        """Guards against lines about every start."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(8), work_s=0.5))
        fabric.until_completed(1)
        self.assertEqual(self.lines_about(fabric, 1), [])

    def test_lines_are_bounded(self):
        """Guards against a line about each of thousands of jobs."""
        fabric = self.build(target_count=1)
        self.start_job(fabric, gpu=8)
        for number in range(2, 102):
            fabric.submit(number, builders.body(builders.phase(1, gpu=8)))
        fabric.run_for(6.0)
        lines = [line for line in fabric.log if " waits: " in line]
        self.assertEqual(len(lines), 100)
        by_review = collections.Counter(line.split()[0] for line in lines)
        self.assertLessEqual(max(by_review.values()), waiting.MAX_LINES)
        self.assertTrue(any("100 steps wait" in line for line in fabric.log))


class TargetObstacleTest(unittest.TestCase):
    """The obstacles in the log are those that decide."""

    def test_every_obstacle_has_a_text_of_its_own(self):
        """Guards against log lines that don't tell two causes apart."""
        values = [
            obstacle.value
            for kind in (obstacles.Obstacle, obstacles.TargetObstacle)
            for obstacle in kind
        ]
        self.assertEqual(len(values), len(set(values)))

    def test_scheduler_without_obstacles_starts_work(self):
        fabric = test_batch_jobs.BatchTest().build()
        state = fabric.scheduler().state
        self.assertIsNone(
            start_conditions.obstacle_to_all(
                state, state.schedule, fabric.now_s
            )
        )
