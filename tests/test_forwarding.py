"""Tests of forwarding between failure domains."""

import collections
import unittest

import msgspec

from dandelionpick import executor_messages
from dandelionpick import kinds
from dandelionpick import peer_messages
from dandelionpick import retries
from dandelionpick import state as state_lib
from tests import builders
from tests import fabric
from tests import routing_cases as cases


class ForwardTest(unittest.TestCase):
    def test_goes_to_the_same_region_first(self):
        """Guards against using the billed link between regions needlessly."""
        built = cases.build(
            {"a": (1, 1), "b": (1, 1), "c": (1, 1)},
            regions={"b": "region-2"},
        )
        cases.stop_executors(built, "a")
        seen = cases.watch_forwards(built)
        sent = cases.send(built, "k", 20)
        built.run_for(2.0)
        cases.assert_completed(self, built, sent)
        self.assertEqual({receiver for receiver, _, _ in seen}, {"c-entry-1"})

    def test_carries_the_remaining_time_and_is_not_forwarded_again(self):
        """Guards against forwarding loops and a deadline that restarts."""
        built = cases.build({"a": (1, 1), "b": (1, 1)})
        cases.stop_executors(built, "b")
        cases.stop_executors(built, "a")
        seen = cases.watch_forwards(built)
        exchange_id = built.send(
            "a-entry-1", builders.request("k", deadline_s=4.0)
        )
        built.run_for(1.0)
        _, message, _ = seen[0]
        self.assertEqual(message.hops, 1)
        self.assertLess(message.request.deadline_s, 4.0)
        self.assertGreater(message.request.deadline_s, 3.5)
        built.run_for(6.0)
        self.assertEqual({name for name, _, _ in seen}, {"b-entry-1"})
        answer = built.response(exchange_id)
        self.assertEqual(answer.problem.kind.value, "deadline_passed")

    def test_forwards_while_every_local_executor_is_gone(self):
        """Guards against local retries while the stale list shows executors.

        The list lags and no local executor replies, so requests are forwarded
        until the executors are back.
        """
        built = cases.build({"a": (1, 4), "b": (1, 4)})
        built.list.lag_s = 1000.0
        gone = {n: built.targets.pop(n) for n in list(built.targets)[:4]}
        sent = cases.send(built, "k", 40)
        built.run_for(4.0)
        cases.assert_completed(self, built, sent)
        self.assertGreater(cases.runs_of(built, "b-executor-1"), 0)
        built.targets.update(gone)
        built.run_for(2.5)
        before = cases.runs_of(built, "b-executor-1")
        sent = cases.send(built, "again", 40)
        built.run_for(2.0)
        cases.assert_completed(self, built, sent)
        self.assertEqual(cases.runs_of(built, "b-executor-1"), before)

    def test_refuses_forwarding_loops(self):
        """Guards against loops and instances that wait for each other."""
        built = cases.build({"a": (1, 1), "b": (1, 0)})
        forwards = built.instances["a-entry-1"].state.routing.forwards
        forwards["ward", "known"] = "b-entry-1"
        table = [
            ("a-entry-1", "second hop", 2, False),
            ("a-entry-1", "known", 1, False),
            ("b-entry-1", "no executor", 1, False),
            ("a-entry-1", "fresh", 1, True),
        ]
        for receiver, key, hops, taken in table:
            with self.subTest(key):
                message = peer_messages.ForwardRequest(
                    request=builders.request(key), hops=hops
                )
                reply = built.ask(receiver, message)
                refused = isinstance(reply, peer_messages.Refused)
                self.assertNotEqual(refused, taken)

    def test_long_queue_spills_over_to_an_idle_failure_domain(self):
        """Guards against queueing in one failure domain while another idles."""
        built = cases.build({"a": (1, 1), "b": (1, 1)})
        cases.send(built, "warm", 6, **cases.LONG)
        built.run_for(6.0)
        seen = cases.watch_forwards(built)
        sent = cases.send(built, "k", 30, **cases.LONG)
        built.run_for(10.0)
        cases.assert_completed(self, built, sent)
        self.assertGreater(len(seen), 0)
        # At most as many as the free slots that the peer had reported.
        self.assertLessEqual(len(seen), 8)

    def test_region_budget_bounds_bytes(self):
        """Guards against overloading the slow link between regions."""
        limits = state_lib.Limits(inter_region_bytes_per_s=20_000)
        built = cases.build(
            {"a": (1, 1), "b": (1, 2)}, regions={"b": "region-2"}, limits=limits
        )
        cases.stop_executors(built, "a")
        seen = cases.watch_forwards(built)
        sent = cases.send(built, "k", 60, body=b"x" * 6000, deadline_s=10.0)
        built.run_for(12.0)
        # A request takes 9 KB on the link, and so does its response.
        size = 6000 * 4 / 3 + 1024
        most = (20_000 + 10.2 * 20_000) / (2 * size) + 3
        self.assertLessEqual(len(seen), most)
        count = collections.Counter(cases.outcomes(built, sent))
        self.assertEqual(set(count), {"completed", "deadline_passed"})
        self.assertGreater(count["completed"], 8)
        started = cases.started_keys(built)
        for answer in map(built.response, sent):
            if answer.outcome is kinds.Outcome.NOT_RUN:
                self.assertNotIn(answer.key, started)

    def test_isolated_failure_domain_keeps_serving(self):
        """Guards against depending on other failure domains or the platform."""
        built = cases.build({"a": (2, 2), "b": (2, 2)})
        built.cut("a", "b")
        built.cut("a", "platform")
        sent = []
        for number in range(30):
            name = f"a-entry-{number % 2 + 1}"
            sent += cases.send(built, f"k{number}-", 4, name)
            built.run_for(1.0)
        built.run_for(3.0)
        cases.assert_completed(self, built, sent)


class LostForwardTest(unittest.TestCase):
    """The reply to a forward is lost: the peer may have run the request."""

    def test_only_idempotent_requests_are_retried(self):
        """Guards against a second run of non-idempotent requests."""
        table = [
            ("confirmation", "completed", 2),
            ("reconciliation", "target_lost", 1),
        ]
        for job_class, expected, runs in table:
            with self.subTest(job_class):
                built = cases.build({"a": (1, 1), "b": (1, 1), "c": (1, 1)})
                cases.stop_executors(built, "a")
                for name in ("b-entry-1", "c-entry-1"):
                    self.drop_first_reply(built, name)
                key = builders.uuid7(1, fabric.START_UNIX_MS)
                exchange_id = built.send(
                    "a-entry-1",
                    builders.request(key, job_class, deadline_s=20.0),
                )
                built.run_for(25.0)
                found = cases.outcomes(built, [exchange_id])
                self.assertEqual(found, [expected])
                self.assertEqual(cases.started(built, key), runs)
                answer = built.response(exchange_id)
                if expected == "target_lost":
                    self.assertEqual(answer.outcome, kinds.Outcome.UNKNOWN)

    def drop_first_reply(self, built, receiver):
        """Drops the first reply to a forward to a receiver.

        Only one reply is dropped in the whole fabric.
        """
        original = built._arrive
        built.lost = getattr(built, "lost", False)

        def arrive(call, reply):
            forward = isinstance(call.message, peer_messages.ForwardRequest)
            first = forward and not built.lost
            first = first and call.destination.name == receiver
            built.lost = built.lost or first
            original(call, (lambda message: None) if first else reply)

        built._arrive = arrive

    def test_request_that_crashes_its_executors_is_given_up(self):
        """Guards against a request that crashes executors until its deadline.

        Forwards whose peer is still trying time out, so that several peers
        may work on the request; each knows of the earlier losses.
        """
        for local in (0, 6):
            with self.subTest(local=local):
                built = cases.build(
                    {"a": (1, local), **dict.fromkeys("bcde", (1, 6))}
                )
                crashed = self.crash_executors(built, "k")
                exchange_id = built.send(
                    "a-entry-1", builders.request("k", deadline_s=60.0)
                )
                built.run_for(70.0)
                found = cases.outcomes(built, [exchange_id])
                self.assertEqual(found, ["target_lost"])
                limit = retries.MAX_FAILURES
                self.assertLessEqual(len(crashed), sum(range(limit + 1)))

    def crash_executors(self, built: fabric.Fabric, key: str) -> list[str]:
        """Restarts each executor that is sent a request; returns their ids."""
        original = built._arrive
        crashed = []

        def arrive(call, reply):
            message = call.message
            if (
                isinstance(message, executor_messages.StartTask)
                and message.labels.key == key
            ):
                crashed.append(call.destination.name)
                cases.replace_executor(
                    built, call.destination.name, cases.ClassTimedExecutor
                )
            else:
                original(call, reply)

        built._arrive = arrive
        return crashed

    def test_refused_forward_stays_not_run(self):
        """Guards against `unknown` for requests that a leaving peer refused."""
        built = cases.build({"a": (1, 1), "b": (1, 1)})
        cases.stop_executors(built, "a")
        built.instances["b-entry-1"].state.drain.requested_s = built.now_s
        exchange_id = built.send(
            "a-entry-1",
            builders.request("k", "reconciliation", deadline_s=3.0),
        )
        built.run_for(5.0)
        answer = built.response(exchange_id)
        self.assertEqual(answer.outcome, kinds.Outcome.NOT_RUN)
        self.assertEqual(cases.started(built, "k"), 0)

    def test_damaged_answer_is_treated_as_lost(self):
        """Guards against passing on a corrupted or mismatched response."""
        built = cases.build({"a": (1, 1), "b": (1, 1), "c": (1, 1)})
        cases.stop_executors(built, "a")
        original = built._arrive
        damaged = []

        def arrive(call, reply):
            def damage(message):
                if not damaged and getattr(message, "body", b""):
                    damaged.append(message)
                    message = msgspec.structs.replace(message, body=b"other")
                reply(message)

            forward = isinstance(call.message, peer_messages.ForwardRequest)
            original(call, damage if forward else reply)

        built._arrive = arrive
        answer = built.ask("a-entry-1", builders.request("k"))
        self.assertEqual(answer.body, b"body of k"[::-1])
        self.assertEqual(len(damaged), 1)
