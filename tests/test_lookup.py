"""Tests of cancels, fetches, input validation and retained answers."""

import unittest

from dandelionpick import kinds
from tests import builders
from tests import cases

COMPLETED = kinds.Outcome.COMPLETED
NOT_RUN = kinds.Outcome.NOT_RUN
UNKNOWN = kinds.Outcome.UNKNOWN
PENDING = kinds.Outcome.PENDING


class CancelTest(unittest.TestCase):
    """A cancel reports whether the request ran, and is final."""

    def test_a_cancelled_key_never_runs(self):
        built = cases.small_fabric()
        message = cases.exclusive_request(built)
        answer = built.ask(
            "entry-2", cases.cancel_message(message.key, "reconciliation")
        )
        self.assertIs(answer.outcome, NOT_RUN)
        answer = built.ask("entry-1", message)
        self.assertIs(answer.outcome, NOT_RUN)
        self.assertEqual(answer.problem.kind.value, "cancelled")
        self.assertEqual(cases.total_task_starts(built), 0)

    def test_cancel_without_class_has_unknown_outcome(self):
        # A claim does not stop an idempotent request with the same key.
        built = cases.small_fabric()
        key = cases.exclusive_request(built).key
        answer = built.ask("entry-2", cases.cancel_message(key))
        self.assertIs(answer.outcome, UNKNOWN)
        answer = built.ask("entry-1", cases.fetch_message(key))
        self.assertIs(answer.outcome, UNKNOWN)

    def test_cancel_of_a_completed_request_returns_its_output(self):
        built = cases.small_fabric()
        message = cases.exclusive_request(built)
        built.ask("entry-1", message)
        built.run_for(1.0)
        answer = built.ask("entry-2", cases.cancel_message(message.key))
        self.assertEqual(answer.body, message.body[::-1])

    def test_cancel_of_a_running_request_returns_pending(self):
        built = cases.small_fabric()
        for model in built.targets.values():
            model.run_s = 2.0
        message = cases.exclusive_request(built, wait=False)
        built.ask("entry-1", message)
        built.run_for(0.5)
        answer = built.ask("entry-2", cases.cancel_message(message.key))
        self.assertIs(answer.outcome, PENDING)
        answer = built.ask(
            "entry-2", cases.fetch_message(message.key, wait_s=5.0)
        )
        self.assertIs(answer.outcome, COMPLETED)

    def test_cancel_of_a_queued_idempotent_request_answers_its_submitter(self):
        built = cases.small_fabric(executors=0)
        exchange_id = built.send("entry-1", builders.request("k"))
        answer = built.ask("entry-1", cases.cancel_message("k"))
        self.assertIs(answer.outcome, NOT_RUN)
        self.assertIs(built.response(exchange_id).outcome, NOT_RUN)


class LookupTest(unittest.TestCase):
    """Any instance finds an answer, and reports absence only if proved."""

    def test_fetch_from_a_peer_and_after_its_crash_from_the_executor(self):
        built = cases.small_fabric()
        built.ask("entry-1", builders.request("k"))
        for crashed in (False, True):
            with self.subTest(crashed=crashed):
                if crashed:
                    built.crash("entry-1")
                answer = built.ask("entry-2", cases.fetch_message("k"))
                self.assertEqual(answer.body, b"body of k"[::-1])

    def test_unknown_key_is_reported_only_after_every_query_succeeded(self):
        built = cases.small_fabric()
        answer = built.ask("entry-1", cases.fetch_message("nobody's"))
        self.assertEqual(answer.problem.kind.value, "unknown_key")
        del built.targets["executor-2"]
        answer = built.ask("entry-1", cases.fetch_message("nobody's"))
        self.assertIs(answer.outcome, UNKNOWN)
        self.assertEqual(answer.problem.kind.value, "peer_unavailable")

    def test_a_fetch_waits_for_a_running_request(self):
        built = cases.small_fabric()
        for model in built.targets.values():
            model.run_s = 2.0
        built.ask("entry-1", builders.request("k", wait=False))
        answer = built.ask("entry-2", cases.fetch_message("k"))
        self.assertIs(answer.outcome, PENDING)
        answer = built.ask("entry-2", cases.fetch_message("k", wait_s=5.0))
        self.assertIs(answer.outcome, COMPLETED)

    def test_expired_key_has_unknown_outcome(self):
        built = cases.small_fabric()
        age_ms = 25 * 3600 * 1000
        key = builders.uuid7(1, built.moment().unix_ms - age_ms)
        answer = built.ask("entry-1", builders.request(key, "reconciliation"))
        self.assertIs(answer.outcome, UNKNOWN)
        self.assertEqual(answer.problem.kind.value, "key_expired")


class InputValidationTest(unittest.TestCase):
    """Invalid input is refused with the matching kind of problem."""

    def test_invalid_input_is_refused(self):
        built = cases.small_fabric()
        ahead = builders.uuid7(1, built.moment().unix_ms + 61_000)
        confirmation, reconciliation = "confirmation", "reconciliation"
        table = [
            ("k" * 129, confirmation, {}, "key_invalid"),
            ("", confirmation, {}, "key_invalid"),
            ("ä", confirmation, {}, "key_invalid"),
            ("k\n", confirmation, {}, "key_invalid"),
            ("k", reconciliation, {}, "key_invalid"),
            (ahead, reconciliation, {}, "key_invalid"),
            ("k", confirmation, {"attempt": 0}, "malformed"),
            ("k", confirmation, {"deadline_s": 0.0}, "deadline_too_short"),
            (
                "k",
                confirmation,
                {"deadline_s": float("nan")},
                "deadline_too_short",
            ),
            ("k", confirmation, {"deadline_s": 1e9}, "malformed"),
            ("k", confirmation, {"body": b"x" * 1_000_001}, "body_too_large"),
            ("k", "nothing", {}, "unknown_class"),
            ("k", confirmation, {"organisation": "x"}, "unknown_organisation"),
        ]
        for key, job_class, fields, kind in table:
            with self.subTest(key=key, fields=list(fields), kind=kind):
                message = builders.request(key, job_class, **fields)
                answer = built.ask("entry-1", message)
                self.assertEqual(answer.problem.kind.value, kind)
                self.assertIsNot(answer.outcome, COMPLETED)


class RetentionTest(unittest.TestCase):
    """Retained answers stay within the byte limit and the retention time."""

    def test_oldest_answers_are_evicted_over_the_byte_limit(self):
        built = cases.small_fabric(max_answer_bytes=50_000)
        for number in range(40):
            message = builders.request(f"k{number}", body=b"x" * 4_000)
            built.ask("entry-1", message)
        requests = built.instances["entry-1"].state.requests
        self.assertLessEqual(requests.answer_bytes, 50_000)
        self.assertLess(len(requests.by_name), 11)
        self.assertEqual(len(requests.by_name), len(requests.done))

    def test_answers_are_evicted_after_the_retention_time(self):
        built = cases.small_fabric(answer_retention_s=2.0)
        built.ask("entry-1", builders.request("k"))
        built.run_for(3.0)
        requests = built.instances["entry-1"].state.requests
        self.assertEqual((len(requests.by_name), requests.answer_bytes), (0, 0))


if __name__ == "__main__":
    unittest.main()
