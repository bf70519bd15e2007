"""Jobs that crash their workers, on the product's own interface."""

import unittest

from dandelionpick import caller_messages
from dandelionpick import kinds
from standins import store
from tests import builders
from tests import fabric

WORKERS = ("w1", "w2", "w3")
# How soon after the start of a part its worker crashes.
EARLY_S = 0.5
LATE_S = 90.0
LIMIT_S = 120.0
MAX_CRASHED_RUNS = 3


class CrashingGangTest(unittest.TestCase):
    """Workers restart under the parts of one job."""

    def build(self, job_class: str, run_s: int) -> caller_messages.FetchJob:
        """Submits a job to new workers; returns the question for its state."""
        self.built = fabric.Fabric(seed=3)
        self.built.store.entries["config/tree"] = store.Entry(
            1, builders.document()
        )
        self.built.store.versions = 1
        self.models = {
            name: self.built.add_worker(name, "a") for name in WORKERS
        }
        self.built.add_instance("a1", "a")
        self.built.run_for(8.0)
        job = builders.job(
            builders.uuid7(1, fabric.START_UNIX_MS),
            job_class,
            tasks=1,
            accelerators=8,
            payload=f'{{"run_s": {run_s}}}',
        )
        self.built.send("a1", job)
        return caller_messages.FetchJob(
            organisation=job.organisation, key=job.key
        )

    def crash_workers(self, times: int, after_s: float) -> int:
        """Restarts each worker that runs a part; returns the crashes."""
        crashes = 0
        for _ in range(times):
            worker = self.await_running()
            if worker is None:
                break
            self.built.run_for(after_s)
            incarnation = self.built.new_incarnation()
            self.models[worker].restart(incarnation, self.built.now_s)
            crashes += 1
        return crashes

    def await_running(self) -> str | None:
        for _ in range(int(LIMIT_S / 0.1)):
            for name, model in self.models.items():
                states = [part.state for part in model.parts.values()]
                if kinds.PartState.RUNNING in states:
                    return name
            self.built.run_for(0.1)
        return None

    def test_job_that_crashes_its_workers_is_given_up(self):
        """Guards against a job that crashes one worker after the other."""
        for job_class in ("assessment", "scan"):
            with self.subTest(job_class):
                question = self.build(job_class, 60)
                crashes = self.crash_workers(8, EARLY_S)
                self.assertEqual(crashes, MAX_CRASHED_RUNS)
                status = self.built.ask("a1", question, limit_s=10.0)
                self.assertIs(status.state, kinds.JobState.UNKNOWN)
                self.assertIs(status.outcome, kinds.Outcome.UNKNOWN)
                self.assertIn("restarted", status.problem.message)

    def test_job_survives_crashes_of_workers_that_had_run_it_for_long(self):
        """Guards against a long job that fails with the third coincidence."""
        question = self.build("assessment", 100)
        times = MAX_CRASHED_RUNS + 1
        self.assertEqual(self.crash_workers(times, LATE_S), times)
        self.built.run_for(LIMIT_S + 60.0)
        status = self.built.ask("a1", question, limit_s=10.0)
        self.assertIs(status.state, kinds.JobState.FINISHED)

    def test_job_survives_silent_workers(self):
        """Guards against a job that is given up because workers are cut off."""
        question = self.build("assessment", 600)
        for _ in range(MAX_CRASHED_RUNS + 1):
            worker = self.await_running()
            self.assertIsNotNone(worker)
            self.built.run_for(EARLY_S)
            self.built.silent.add(worker)
            self.built.run_for(LATE_S)
            self.built.heal()
        status = self.built.ask("a1", question, limit_s=10.0)
        self.assertIsNot(status.state, kinds.JobState.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
