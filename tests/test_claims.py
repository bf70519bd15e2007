"""Tests of claims: group commit, conflicts, lost replies, sizes and sweep."""

import dataclasses
import unittest

import msgspec

from dandelionpick import claim_buckets
from dandelionpick import claim_state
from dandelionpick import claims
from dandelionpick import dispatch
from dandelionpick import events
from dandelionpick import job_state
from dandelionpick import kinds
from dandelionpick import state as state_lib
from standins import store as store_lib
from tests import builders
from tests import cases
from tests import fabric

DAY_MS = 24 * 3600 * 1000
RESULTS: list[claims.ClaimResult] = []


@dataclasses.dataclass(frozen=True)
class ClaimTestContext:
    """Context of the claims in these tests."""


@claims.handle_result.register
def _(
    context: ClaimTestContext,
    state: state_lib.State,
    step: dispatch.Step,
    result: claims.ClaimResult,
) -> None:
    RESULTS.append(result)


def job_claim_record(state, key, **fields) -> claim_state.ClaimRecord:
    """Builds a claim record with a failure domain, as a job has."""
    return claims.new_record(
        state, "ward", key, "digest", failure_domain="a", **fields
    )


class ClaimTest(unittest.TestCase):
    """A claim is confirmed only if the store holds exactly that record."""

    def setUp(self):
        RESULTS.clear()
        self.built = cases.small_fabric(executors=0)
        self.key = builders.uuid7(1, self.built.moment().unix_ms)

    def state(self, name="entry-1") -> state_lib.State:
        return self.built.instances[name].state

    def claim(self, record, name="entry-1", **fields) -> None:
        state = self.state(name)
        step = dispatch.Step(self.built.moment())
        claims.claim(
            state, step, record, ClaimTestContext(), timeout_s=2.0, **fields
        )
        for effect in step.emitted:
            self.built._call(name, state, effect)

    def read(self, name="entry-1") -> None:
        state = self.state(name)
        step = dispatch.Step(self.built.moment())
        claims.read(
            state, step, ("ward", self.key), ClaimTestContext(), timeout_s=2.0
        )
        for effect in step.emitted:
            self.built._call(name, state, effect)

    def statuses(self) -> list[str]:
        return [result.status.value for result in RESULTS]

    def test_first_of_two_claims_wins_and_second_gets_its_record(self):
        first = job_claim_record(self.state(), self.key)
        second = job_claim_record(self.state("entry-2"), self.key)
        self.claim(first)
        self.claim(second, "entry-2")
        self.built.run_for(1.0)
        self.assertEqual(sorted(self.statuses()), ["confirmed", "exists"])
        self.assertEqual(RESULTS[0].record, RESULTS[1].record)

    def test_a_claim_is_replaced_only_if_it_is_the_expected_one(self):
        first = job_claim_record(self.state(), self.key)
        self.claim(first)
        self.built.run_for(1.0)
        other = job_claim_record(self.state(), self.key)
        self.claim(other, expected=job_claim_record(self.state(), self.key))
        self.built.run_for(1.0)
        self.claim(other, "entry-2", expected=first)
        self.built.run_for(1.0)
        self.assertEqual(self.statuses(), ["confirmed", "exists", "confirmed"])

    def test_a_lost_reply_is_resolved_by_reading(self):
        self.built.store_fault = fabric.StoreFault.LOSES_REPLIES
        self.claim(job_claim_record(self.state(), self.key))
        self.built.run_for(0.5)
        self.built.heal()
        writes = self.built.store.calls["Write"]
        self.built.run_for(1.0)
        self.assertEqual(self.statuses(), ["confirmed"])
        self.assertEqual(self.built.store.calls["Write"], writes)

    def test_a_bucket_is_read_before_a_write_after_a_stall(self):
        """Guards against a write based on records from before the stall."""
        first = job_claim_record(self.state(), self.key)
        self.claim(first)
        self.built.run_for(1.0)
        other = job_claim_record(self.state("entry-2"), self.key)
        self.claim(other, "entry-2", expected=first)
        self.built.run_for(1.0)
        writes = self.built.store.calls["Write"]
        self.built.deliver("entry-1", events.Stalled(self.built.moment(), 1.0))
        self.claim(job_claim_record(self.state(), self.key), expected=first)
        self.built.run_for(1.0)
        self.assertEqual(self.statuses(), ["confirmed", "confirmed", "exists"])
        self.assertEqual(self.built.store.calls["Write"], writes)

    def test_store_timeout_gives_unavailable(self):
        self.built.store_fault = fabric.StoreFault.SILENT
        self.claim(job_claim_record(self.state(), self.key))
        self.built.run_for(3.0)
        self.assertEqual(self.statuses(), ["unavailable"])

    def test_read_of_a_missing_claim_gives_absent(self):
        self.read()
        self.built.run_for(1.0)
        self.assertEqual(self.statuses(), ["absent"])

    def test_claims_that_arrive_during_a_write_share_the_next_one(self):
        records = [job_claim_record(self.state(), self.key)]
        bucket = claim_buckets.bucket_key("ward", self.key)
        number = 1
        while len(records) < 20:
            number += 1
            key = builders.uuid7(number, self.built.moment().unix_ms)
            if claim_buckets.bucket_key("ward", key) == bucket:
                records.append(job_claim_record(self.state(), key))
        for record in records:
            self.claim(record)
        self.built.run_for(1.0)
        self.assertEqual(self.statuses(), ["confirmed"] * 20)
        self.assertEqual(self.built.store.calls["Write"], 2)

    def test_a_full_bucket_keeps_digests_without_responses(self):
        big = job_claim_record(self.state(), self.key, body=b"x" * 900_000)
        self.claim(big)
        self.built.run_for(1.0)
        self.assertEqual(self.statuses(), ["confirmed"])
        self.assertIsNone(RESULTS[0].record.body)


class SweepTest(unittest.TestCase):
    """Old buckets are deleted only when all of their claims are final."""

    def test_only_finished_buckets_are_deleted(self):
        built = cases.small_fabric(executors=0)
        now_ms = built.moment().unix_ms
        final = claim_state.ClaimState.COMPLETED
        table = [
            (2, final, now_ms - 2 * DAY_MS, True),
            (2, final, now_ms - DAY_MS // 2, False),
            (2, claim_state.ClaimState.CLAIMED, 0, False),
            (15, final, now_ms - 15 * DAY_MS, False),
        ]
        expected = {}
        for number, (days, state, final_ms, deleted) in enumerate(table):
            # The sweep of the next minute reads this bucket.
            time_ms = now_ms + 60_000 - days * DAY_MS
            key = builders.uuid7(number, time_ms)
            record = claim_state.ClaimRecord(
                organisation="ward",
                key=key,
                body_digest="",
                claim_id="",
                state=state,
                final_ms=final_ms,
            )
            bucket = claim_buckets.bucket_key("ward", key)
            self.assertNotIn(bucket, expected)
            expected[bucket] = deleted
            text = msgspec.json.encode([record]).decode()
            built.store.entries[bucket] = store_lib.Entry(1, text)
        built.run_for(125.0)
        for bucket, deleted in expected.items():
            self.assertEqual(bucket not in built.store.entries, deleted)


class JobClaimSweepTest(unittest.TestCase):
    """The claims of jobs must not fill the store."""

    def test_only_claims_of_ended_jobs_are_deleted(self):
        """Guards against claims that are never deleted, and a second run.

        A job can run a second time if its claim is deleted before it has
        ended.
        """
        built = cases.small_fabric(executors=0)
        now_ms = built.moment().unix_ms
        table = [
            (kinds.Outcome.COMPLETED, now_ms - 2 * DAY_MS, True),
            (kinds.Outcome.COMPLETED, now_ms - DAY_MS // 2, False),
            (kinds.Outcome.PENDING, 0, False),
        ]
        expected = {}
        for number, (outcome, final_ms, deleted) in enumerate(table):
            key = builders.uuid7(number, now_ms + 60_000 - 2 * DAY_MS)
            claim = job_state.JobClaim(
                digest="",
                failure_domain="a",
                claimed_ms=0,
                outcome=outcome,
                final_ms=final_ms,
            )
            bucket = claim_buckets.bucket_key(
                "ward", key, claim_buckets.JOB_CLAIMS
            )
            self.assertNotIn(bucket, expected)
            expected[bucket] = deleted
            content = {"records": {f"ward/{key}": claim}, "writes": []}
            text = msgspec.json.encode(content).decode()
            built.store.entries[bucket] = store_lib.Entry(1, text)
        built.run_for(185.0)
        for bucket, deleted in expected.items():
            self.assertEqual(bucket not in built.store.entries, deleted)


class TaskFailureTest(unittest.TestCase):
    """The claim stores the failure of a task for later retries."""

    def test_a_retry_returns_the_failure(self):
        built = cases.small_fabric(executors=1)
        built.targets["executor-1"].fault = built.targets[
            "executor-1"
        ].fault.FAILS_TASKS
        message = cases.exclusive_request(built)
        built.ask("entry-1", message)
        built.run_for(1.0)
        built.crash("entry-1")
        built.targets.clear()
        answer = built.ask("entry-2", cases.fetch_message(message.key))
        self.assertIs(answer.outcome, kinds.Outcome.COMPLETED)
        self.assertEqual(answer.problem.kind.value, "task_failed")
