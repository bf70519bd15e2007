"""Tests of record changes by compare-and-swap under store faults."""

import dataclasses
import unittest

import msgspec

from dandelionpick import dispatch
from dandelionpick import document_results
from dandelionpick import effects
from dandelionpick import events
from dandelionpick import ids
from dandelionpick import job_documents
from dandelionpick import job_state
from dandelionpick import kinds
from dandelionpick import reducer
from dandelionpick import state as state_lib
from dandelionpick import store_messages
from standins import store as store_lib
from tests import builders

KEY = "job-claims/0/1"


@dataclasses.dataclass(frozen=True)
class Probe:
    """Context of a change whose result is kept in `RESULTS`."""

    name: str


RESULTS: dict[str, list] = {}


@document_results.handle_result.register
def _(context: Probe, state, step, result):
    RESULTS.setdefault(context.name, []).append(result)


class Writer:
    """An instance whose store calls are executed by the test."""

    def __init__(self, name: str, store: store_lib.Store):
        self.store = store
        self.now_s = 0.0
        self.calls: list[effects.Call] = []
        self.state = state_lib.State(
            builders.identity(name, "a"), ids.Incarnation(name)
        )

    def moment(self) -> events.Moment:
        return events.Moment(self.now_s, 1_000, 0.5)

    def collect(self, emitted):
        self.calls += [
            effect
            for effect in emitted
            if isinstance(effect, effects.Call)
            and effect.destination.service is kinds.Service.STORE
            and effect.message.key == KEY
        ]

    def commit(self, name: str, expected: int = 0, digest: str = ""):
        step = dispatch.Step(self.moment())
        record = job_state.JobClaim(
            digest=digest or name,
            failure_domain=ids.FailureDomain("a"),
            claimed_ms=0,
        )
        document = job_documents.document_of(
            self.state, KEY, job_state.JobClaim
        )
        job_documents.commit(
            self.state, step, document, name, expected, record, Probe(name)
        )
        self.collect(step.emitted)

    def reply(self, message) -> None:
        call = self.calls.pop(0)
        event = events.Returned(self.moment(), call.call_id, message)
        self.collect(reducer.reduce(self.state, event))

    def execute_call(self) -> None:
        """Executes the oldest call."""
        self.reply(self.store.handle(self.calls[0].message))

    def execute_all(self) -> None:
        while self.calls:
            self.execute_call()

    def fail_call(self, failure=kinds.CallFailure.LOST) -> effects.Call:
        """Fails the oldest call and returns it."""
        call = self.calls.pop(0)
        event = events.Failed(self.moment(), call.call_id, failure)
        self.collect(reducer.reduce(self.state, event))
        return call

    def tick(self, seconds: float) -> None:
        self.now_s += seconds
        event = events.Tick(self.moment())
        self.collect(reducer.reduce(self.state, event))


class JobDocumentsTest(unittest.TestCase):
    """A change takes effect once, and its writer learns the result."""

    def setUp(self):
        RESULTS.clear()
        self.store = store_lib.Store()
        self.one = Writer("one", self.store)
        self.other = Writer("other", self.store)

    def result_types(self, name: str) -> list[str]:
        return [type(result).__name__ for result in RESULTS.get(name, [])]

    def test_changes_during_a_write_share_the_next_write(self):
        """Guards against a store write per job in a burst of submissions."""
        self.one.commit("a")
        self.one.execute_call()
        for name in "bcde":
            self.one.commit(name)
        self.one.execute_all()
        self.assertEqual(self.store.calls, {"Read": 1, "Write": 2})
        for name in "abcde":
            self.assertEqual(self.result_types(name), ["Committed"])

    def test_the_second_writer_of_a_record_gets_the_first_record(self):
        """Guards against a key that is claimed twice."""
        self.one.commit("a", digest="first")
        self.other.commit("a", digest="second")
        self.one.execute_call()
        self.other.execute_call()
        self.one.execute_all()
        self.other.execute_all()
        self.assertEqual(self.result_types("a"), ["Committed", "Superseded"])
        self.assertEqual(RESULTS["a"][1].record.digest, "first")

    def test_a_write_with_a_lost_reply_counts_once(self):
        """Guards against a retry superseded by its own first write."""
        self.one.commit("a")
        self.one.execute_call()
        self.store.handle(self.one.calls[0].message)
        self.one.fail_call()
        self.one.tick(1.0)
        self.one.execute_all()
        self.assertEqual(self.result_types("a"), ["Committed"])

    def test_a_late_write_does_not_undo_a_later_one(self):
        """Guards against a delayed write that takes effect after its retry."""
        self.one.commit("a")
        self.one.execute_call()
        late = self.one.fail_call()
        self.one.tick(1.0)
        self.one.execute_all()
        self.other.commit("b")
        self.other.execute_all()
        answer = self.store.handle(late.message)
        self.assertIsInstance(answer, store_messages.Conflict)
        self.assertEqual(self.result_types("a"), ["Committed"])
        self.assertIn('"b"', self.store.entries[KEY].value)

    def test_a_late_write_that_precedes_its_retry_is_recognised(self):
        """Guards against a refusal although the delayed write took effect."""
        self.one.commit("a")
        self.one.execute_call()
        late = self.one.fail_call()
        self.one.tick(1.0)
        self.one.execute_call()
        self.store.handle(late.message)
        self.one.execute_all()
        self.assertEqual(self.result_types("a"), ["Committed"])

    def test_a_refusing_store_gives_a_definite_failure(self):
        """Guards against `unknown` for a change that was never sent."""
        self.one.commit("a")
        self.one.fail_call(kinds.CallFailure.NOT_SENT)
        self.assertEqual(RESULTS["a"], [document_results.Unavailable(True)])

    def test_a_silent_store_gives_an_indefinite_failure(self):
        """Guards against `not_run` while the write may still take effect."""
        self.one.commit("a")
        self.one.execute_call()
        self.one.fail_call()
        for _ in range(20):
            self.one.tick(1.0)
            while self.one.calls:
                self.one.fail_call()
        self.assertEqual(RESULTS["a"], [document_results.Unavailable(False)])

    def test_refuses_new_records_only_when_the_document_is_full(self):
        """Guards against new jobs that block the results of running ones."""
        size = job_documents.MAX_DOCUMENT_BYTES
        self.one.commit("a")
        self.one.execute_all()
        self.one.commit("b", digest="x" * size)
        self.one.commit("a", expected=1)
        self.one.execute_all()
        self.assertEqual(self.result_types("b"), ["TooLarge"])
        self.assertEqual(self.result_types("a"), ["Committed", "Committed"])

    def test_a_document_over_half_full_drops_finished_jobs_sooner(self):
        """Guards against refused submissions because of finished jobs."""
        record = job_state.JobRecord(
            job=builders.job("k"),
            digest="",
            accepted_ms=0,
            idempotent=True,
            checkpointable=False,
            claim_final=True,
        )
        early_ms = job_state.HALF_FULL_RETENTION_MS + 1
        late_ms = job_state.FINISHED_RETENTION_MS + 1
        self.assertFalse(record.is_expired(early_ms, over_half_full=False))
        self.assertTrue(record.is_expired(early_ms, over_half_full=True))
        self.assertTrue(record.is_expired(late_ms, over_half_full=False))
        still_open = msgspec.structs.replace(record, claim_final=False)
        self.assertFalse(still_open.is_expired(late_ms, over_half_full=True))


if __name__ == "__main__":
    unittest.main()
