"""Tests of the lifecycle of a request."""

import unittest

from dandelionpick import kinds
from standins import store
from tests import builders
from tests import fabric


def small_fabric(seed: int = 1) -> fabric.Fabric:
    """Builds one failure domain with two instances and two executors."""
    built = fabric.Fabric(seed)
    built.store.entries["config/tree"] = store.Entry(1, builders.document())
    built.store.versions = 1
    for number in (1, 2):
        built.add_executor(f"executor-{number}", "a")
    for number in (1, 2):
        built.add_instance(f"entry-{number}", "a")
    built.run_for(5.0)
    return built


class RequestTest(unittest.TestCase):
    """A caller gets the complete answer to its own request."""

    def test_answers_with_the_output_of_the_same_body(self):
        built = small_fabric()
        answer = built.ask("entry-1", builders.request("k1"))
        self.assertEqual(answer.outcome, kinds.Outcome.COMPLETED)
        self.assertEqual(answer.body, b"body of k1"[::-1])

    def test_refuses_a_key_that_comes_back_with_another_body(self):
        built = small_fabric()
        built.ask("entry-1", builders.request("k1"))
        answer = built.ask("entry-1", builders.request("k1", body=b"other"))
        self.assertEqual(answer.problem.kind.value, "key_reused")

    def test_retries_an_idempotent_request_on_another_executor(self):
        built = small_fabric()
        del built.targets["executor-1"]
        answers = [
            built.ask("entry-1", builders.request(f"k{number}"))
            for number in range(10)
        ]
        outcomes = {answer.outcome for answer in answers}
        self.assertEqual(outcomes, {kinds.Outcome.COMPLETED})


if __name__ == "__main__":
    unittest.main()
