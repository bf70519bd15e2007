"""Stateful fuzzing of tasks that crash their targets, among other faults."""

import unittest

import hypothesis.stateful as stateful
from hypothesis import strategies

from dandelionpick.batch import model
from dandelionpick.platform import jobs
from tests import batch_builders as builders
from tests import fuzzing
from tests import test_batch_fuzz

# A task may be given up when this many targets have crashed under it.
MIN_CRASHES = 2


@fuzzing.seeded
class CrashingPlatform(test_batch_fuzz.Platform):
    """Some jobs crash their targets."""

    def __init__(self):
        super().__init__()
        self.deadly: set[int] = set()

    @stateful.rule(
        name=test_batch_fuzz.instances,
        count=strategies.integers(1, 4),
        gang=strategies.booleans(),
    )
    def submit_deadly(self, name, count, gang):
        number = len(self.sent) + 1
        phase = builders.phase(count, gang=gang)
        body = builders.body(phase, work_s=2.0, crashes=True)
        self.fabric.register(number, body)
        self.sent[number] = body, 1, 0
        self.deadly.add(number)
        spec = jobs.decode(body).unwrap()
        self.outcomes[number] = self.send(name, builders.submit(number, spec))

    @stateful.rule(renames=strategies.booleans())
    def rename_crashed(self, renames):
        self.fabric.renames_crashed = renames

    @stateful.rule(share=strategies.sampled_from((0.0, 0.7)))
    def lose_start_replies(self, share):
        self.fabric.lost_start_share = share

    @stateful.rule(share=strategies.sampled_from((0.0, 0.7)))
    def drop_starts(self, share):
        self.fabric.dropped_start_share = share

    def teardown(self):
        self.fabric.lost_start_share = 0.0
        self.fabric.dropped_start_share = 0.0
        super().teardown()

    def check_end(self, number: int) -> None:
        """Checks that deadly jobs have failed, and others only with cause."""
        job = builders.job_id(number)
        crashes = self.fabric.world.crashes_under
        may_fail = any(
            count >= MIN_CRASHES
            for task, count in crashes.items()
            if task.startswith(job)
        )
        state = self.fabric.state_of(number, self.sent[number][1])
        if number in self.deadly:
            expected = {model.JobState.FAILED}
            if number in self.cancels:
                expected.add(model.JobState.CANCELLED)
            assert state in expected, f"job {number} is {state}\n{self.story()}"
        elif state is not model.JobState.FAILED or not may_fail:
            super().check_end(number)


CrashFuzz = CrashingPlatform.TestCase
# Hypothesis creates the class; the test id has to name this module.
CrashFuzz.__module__ = __name__
CrashFuzz.__qualname__ = "CrashFuzz"
CrashFuzz.settings = fuzzing.profile("crashes", examples=25, steps=40)


if __name__ == "__main__":
    unittest.main()
