"""Tests of cancels, fetches, input checks and retained answers."""

import unittest

from dandelionpick import kinds
from tests import builders
from tests import cases

COMPLETED = kinds.Outcome.COMPLETED
NOT_RUN = kinds.Outcome.NOT_RUN
UNKNOWN = kinds.Outcome.UNKNOWN
PENDING = kinds.Outcome.PENDING


class CancelTest(unittest.TestCase):
    """A cancel tells whether the request ran, and is final."""

    def test_a_cancelled_key_never_runs(self):
        built = cases.small_fabric()
        message = cases.exclusive(built)
        told = built.ask("entry-2", cases.cancel(message.key, "reconciliation"))
        self.assertIs(told.outcome, NOT_RUN)
        told = built.ask("entry-1", message)
        self.assertIs(told.outcome, NOT_RUN)
        self.assertEqual(told.problem.kind.value, "cancelled")
        self.assertEqual(cases.total_runs(built), 0)

    def test_a_cancel_without_class_proves_nothing(self):
        # A claim does not stop an idempotent request with the same key.
        built = cases.small_fabric()
        key = cases.exclusive(built).key
        told = built.ask("entry-2", cases.cancel(key))
        self.assertIs(told.outcome, UNKNOWN)
        told = built.ask("entry-1", cases.fetch(key))
        self.assertIs(told.outcome, UNKNOWN)

    def test_a_cancel_of_a_key_that_ran_gives_its_output(self):
        built = cases.small_fabric()
        message = cases.exclusive(built)
        built.ask("entry-1", message)
        built.run_for(1.0)
        told = built.ask("entry-2", cases.cancel(message.key))
        self.assertEqual(told.body, message.body[::-1])

    def test_a_cancel_of_a_running_key_does_not_deny_it(self):
        built = cases.small_fabric()
        for model in built.targets.values():
            model.run_s = 2.0
        message = cases.exclusive(built, wait=False)
        built.ask("entry-1", message)
        built.run_for(0.5)
        told = built.ask("entry-2", cases.cancel(message.key))
        self.assertIs(told.outcome, PENDING)
        told = built.ask("entry-2", cases.fetch(message.key, wait_s=5.0))
        self.assertIs(told.outcome, COMPLETED)

    def test_a_queued_idempotent_request_is_cancelled_for_its_caller(self):
        built = cases.small_fabric(executors=0)
        exchange_id = built.send("entry-1", builders.request("k"))
        told = built.ask("entry-1", cases.cancel("k"))
        self.assertIs(told.outcome, NOT_RUN)
        self.assertIs(built.response(exchange_id).outcome, NOT_RUN)


class LookupTest(unittest.TestCase):
    """An answer is found on any instance, and an absence only if certain."""

    def test_fetch_from_a_peer_and_after_its_death_from_the_executor(self):
        built = cases.small_fabric()
        built.ask("entry-1", builders.request("k"))
        for crashed in (False, True):
            with self.subTest(crashed=crashed):
                if crashed:
                    built.crash("entry-1")
                told = built.ask("entry-2", cases.fetch("k"))
                self.assertEqual(told.body, b"body of k"[::-1])

    def test_an_unknown_key_is_told_only_if_every_place_was_asked(self):
        built = cases.small_fabric()
        told = built.ask("entry-1", cases.fetch("nobody's"))
        self.assertEqual(told.problem.kind.value, "unknown_key")
        del built.targets["executor-2"]
        told = built.ask("entry-1", cases.fetch("nobody's"))
        self.assertIs(told.outcome, UNKNOWN)
        self.assertEqual(told.problem.kind.value, "peer_unavailable")

    def test_a_fetch_waits_for_a_running_request(self):
        built = cases.small_fabric()
        for model in built.targets.values():
            model.run_s = 2.0
        built.ask("entry-1", builders.request("k", wait=False))
        told = built.ask("entry-2", cases.fetch("k"))
        self.assertIs(told.outcome, PENDING)
        told = built.ask("entry-2", cases.fetch("k", wait_s=5.0))
        self.assertIs(told.outcome, COMPLETED)

    def test_an_expired_key(self):
        built = cases.small_fabric()
        day_ms = 25 * 3600 * 1000
        key = builders.uuid7(1, built.moment().unix_ms - day_ms)
        told = built.ask("entry-1", builders.request(key, "reconciliation"))
        self.assertIs(told.outcome, UNKNOWN)
        self.assertEqual(told.problem.kind.value, "key_expired")


class InputTest(unittest.TestCase):
    """Bad input is refused with a kind that names what is wrong."""

    def test_table(self):
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
                told = built.ask("entry-1", message)
                self.assertEqual(told.problem.kind.value, kind)
                self.assertIsNot(told.outcome, COMPLETED)


class RetentionTest(unittest.TestCase):
    """Retained answers stay within the limits of bytes and time."""

    def test_the_oldest_answers_are_dropped_over_the_byte_limit(self):
        built = cases.small_fabric(max_answer_bytes=50_000)
        for number in range(40):
            message = builders.request(f"k{number}", body=b"x" * 4_000)
            built.ask("entry-1", message)
        requests = built.instances["entry-1"].state.requests
        self.assertLessEqual(requests.answer_bytes, 50_000)
        self.assertLess(len(requests.by_name), 11)
        self.assertEqual(len(requests.by_name), len(requests.done))

    def test_answers_are_dropped_after_their_time(self):
        built = cases.small_fabric(answer_retention_s=2.0)
        built.ask("entry-1", builders.request("k"))
        built.run_for(3.0)
        requests = built.instances["entry-1"].state.requests
        self.assertEqual((len(requests.by_name), requests.answer_bytes), (0, 0))


if __name__ == "__main__":
    unittest.main()
