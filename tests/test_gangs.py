"""Tests of jobs from submission to their end, with faults in between."""

import unittest

from dandelionpick import caller_messages
from dandelionpick import kinds
from standins import store
from tests import builders
from tests import fabric


def gang_fabric(
    seed: int = 1,
    workers: int = 3,
    domains: str = "a",
    tree: dict | None = None,
    instances: int = 2,
) -> fabric.Fabric:
    """Builds failure domains with instances and workers of 8 accelerators."""
    built = fabric.Fabric(seed)
    text = builders.document(tree=tree)
    built.store.entries["config/tree"] = store.Entry(1, text)
    built.store.versions = 1
    for domain in domains:
        for number in range(1, workers + 1):
            rack = f"{domain}-rack-{(number + 1) // 2}"
            built.add_worker(f"{domain}-worker-{number}", domain, rack)
        for number in range(1, instances + 1):
            built.add_instance(f"{domain}-entry-{number}", domain)
    built.run_for(8.0)
    return built


def key(number: int):
    """Returns the key of a job submitted at the start of a fabric."""
    return builders.uuid7(number, fabric.START_UNIX_MS)


def fetch(built: fabric.Fabric, name: str, number: int):
    """Fetches a job through an instance."""
    message = caller_messages.FetchJob(organisation="ward", key=key(number))
    return built.ask(name, message)


def await_end(built: fabric.Fabric, number: int, limit_s: float = 60.0):
    """Fetches a job until it has ended; returns its last status."""
    end_s = built.now_s + limit_s
    while True:
        name = next(n for n, i in built.instances.items() if i.state)
        status = fetch(built, name, number)
        if status and status.outcome is not kinds.Outcome.PENDING:
            return status
        if built.now_s > end_s:
            return status
        built.run_for(0.5)


class JobTest(unittest.TestCase):
    """A job is accepted, runs as a gang and ends with its results."""

    def test_runs_a_gang_and_returns_one_result_for_each_worker(self):
        built = gang_fabric()
        job = builders.job(key(1), tasks=3, payload='{"run_s": 2}')
        status = built.ask("a-entry-1", job)
        self.assertEqual(status.outcome, kinds.Outcome.PENDING)
        ended = await_end(built, 1)
        self.assertEqual(ended.outcome, kinds.Outcome.COMPLETED)
        self.assertEqual(ended.results, ["done 2", "done 2"])

    def test_runs_a_non_idempotent_job_once(self):
        built = gang_fabric()
        built.ask("a-entry-1", builders.job(key(1), "stretch", tasks=3))
        ended = await_end(built, 1)
        self.assertEqual(ended.state, kinds.JobState.FINISHED)
        self.assertEqual(ended.run, 1)


if __name__ == "__main__":
    unittest.main()
