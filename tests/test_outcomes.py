"""Tests of the outcomes of requests after each kind of fault."""

import dataclasses
import unittest
from typing import Any

from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import request_state
from dandelionpick import runs
from standins import executor as executor_lib
from tests import builders
from tests import cases
from tests import fabric

COMPLETED = kinds.Outcome.COMPLETED
NOT_RUN = kinds.Outcome.NOT_RUN
UNKNOWN = kinds.Outcome.UNKNOWN
PENDING = kinds.Outcome.PENDING
Fault = executor_lib.ExecutorFault


class DelayedStartExecutor(executor_lib.Executor):
    """An executor that receives its first start late.

    Attributes:
        held: the first start, for the test to deliver later.
        refusal: why the first delivery is refused; None loses it instead.
    """

    def __init__(self, refusal: kinds.TaskRefusal | None = None):
        super().__init__(8, "held")
        self.held: executor_messages.StartTask | None = None
        self.refusal = refusal

    def handle(self, message: Any, now_s: float, unix_ms: int) -> Any:
        start = isinstance(message, executor_messages.StartTask)
        if not start or self.held is not None:
            return super().handle(message, now_s, unix_ms)
        self.held = message
        return self.reply(
            executor_messages.TaskRefused,
            now_s,
            task_id=message.task_id,
            reason=self.refusal or kinds.TaskRefusal.BUSY,
        )

    def loses_reply(self, message: Any) -> bool:
        return self.refusal is None and message is self.held

    def deliver(self, built: fabric.Fabric) -> Any:
        """Delivers the held start now."""
        unix_ms = built.moment().unix_ms
        return super().handle(self.held, built.now_s, unix_ms)


class BusyExecutor(executor_lib.Executor):
    """An executor that refuses every start and keeps a copy of it."""

    def __init__(self, incarnation: str):
        super().__init__(8, incarnation)
        self.held: list[executor_messages.StartTask] = []

    def handle(self, message: Any, now_s: float, unix_ms: int) -> Any:
        if not isinstance(message, executor_messages.StartTask):
            return super().handle(message, now_s, unix_ms)
        self.held.append(message)
        return self.reply(
            executor_messages.TaskRefused,
            now_s,
            task_id=message.task_id,
            reason=kinds.TaskRefusal.BUSY,
        )

    def deliver(self, built: fabric.Fabric, late_ms: int) -> None:
        """Delivers second copies of all starts, with a clock late_ms behind."""
        unix_ms = built.moment().unix_ms - late_ms
        for start in self.held:
            super().handle(start, built.now_s, unix_ms)


class RestartingExecutor(executor_lib.Executor):
    """An executor that restarts after the first query."""

    def handle(self, message: Any, now_s: float, unix_ms: int) -> Any:
        reply = super().handle(message, now_s, unix_ms)
        if isinstance(message, executor_messages.QueryTask):
            self.incarnation = ids.Incarnation("restarted")
        return reply


class ReplyClassificationTest(unittest.TestCase):
    """Only a reply that covers every copy proves that a start did not run."""

    def test_classification_of_each_reply(self):
        deadline_ms, margin_ms = 10_000, runs.CLOCK_MARGIN_MS
        run = request_state.Run(
            ids.InstanceId("x"),
            ids.TaskId("t"),
            ids.Incarnation("i"),
            deadline_ms,
        )
        messages = executor_messages
        reasons = kinds.TaskRefusal
        table = [
            (messages.TaskRunning("t", "i"), 0, runs.OPEN),
            (messages.TaskRunning("other", "i"), 0, None),
            (
                messages.TaskUnknown("t", "i"),
                deadline_ms + margin_ms,
                runs.OPEN,
            ),
            (
                messages.TaskUnknown("t", "i"),
                deadline_ms + margin_ms + 1,
                runs.NOT_RUN,
            ),
            (messages.TaskUnknown("t", "j"), 10**9, runs.LOST),
            (messages.TaskTombstoned("t", "i"), 0, runs.NOT_RUN),
            (messages.TaskTombstoned("t", "j"), 0, runs.LOST),
            (messages.TaskRefused("t", "i", reasons.BUSY), 0, runs.REFUSED),
            (messages.TaskRefused("t", "i", reasons.LEAVING), 0, runs.REFUSED),
            (
                messages.TaskRefused("t", "i", reasons.TOMBSTONED),
                0,
                runs.NOT_RUN,
            ),
            (
                messages.TaskRefused("t", "i", reasons.DEADLINE_PASSED),
                0,
                runs.NOT_RUN,
            ),
            (
                messages.TaskRefused("t", "j", reasons.WRONG_INCARNATION),
                0,
                runs.LOST,
            ),
            (
                messages.TaskResult(
                    "t", "i", True, b"ab", 2, messages.digest_of(b"ab")
                ),
                0,
                runs.RAN,
            ),
            (
                messages.TaskResult(
                    "t", "i", True, b"a", 2, messages.digest_of(b"ab")
                ),
                0,
                None,
            ),
            (
                messages.TaskResult(
                    "t", "i", True, b"ax", 2, messages.digest_of(b"ab")
                ),
                0,
                None,
            ),
        ]
        for reply, unix_ms, expected in table:
            with self.subTest(reply=reply, unix_ms=unix_ms):
                self.assertIs(
                    runs.classify_reply(run, reply, unix_ms), expected
                )


@dataclasses.dataclass(frozen=True)
class FaultCase:
    """Expected outcomes after a fault of the only executor."""

    fault: executor_lib.ExecutorFault
    idempotent: kinds.Outcome
    exclusive: kinds.Outcome
    problem: str = ""


FAULT_CASES = (
    FaultCase(Fault.NONE, COMPLETED, COMPLETED),
    FaultCase(Fault.SLOW, COMPLETED, COMPLETED),
    FaultCase(Fault.FAILS_TASKS, COMPLETED, COMPLETED, "task_failed"),
    FaultCase(Fault.LOSES_REPLIES, COMPLETED, COMPLETED),
    FaultCase(Fault.TRUNCATES, UNKNOWN, UNKNOWN, "deadline_passed"),
    FaultCase(Fault.CROSSES, UNKNOWN, UNKNOWN, "deadline_passed"),
)


class ExecutorFaultTest(unittest.TestCase):
    """A fault never causes a wrong answer or a second run of a key."""

    def test_each_fault_of_the_only_executor(self):
        for case in FAULT_CASES:
            with self.subTest(case=case):
                built = cases.small_fabric(executors=1)
                built.targets["executor-1"].fault = case.fault
                message = cases.exclusive_request(built)
                answer = built.ask("entry-1", message)
                self.assertIs(answer.outcome, case.exclusive)
                self.assertEqual(cases.total_task_starts(built), 1)
                if case.problem:
                    self.assertEqual(answer.problem.kind.value, case.problem)
                answer = built.ask("entry-1", builders.request("k"))
                self.assertIs(answer.outcome, case.idempotent)

    def test_a_damaged_reply_is_resolved_after_the_answer(self):
        built = cases.small_fabric(executors=1)
        built.targets["executor-1"].fault = Fault.TRUNCATES
        message = cases.exclusive_request(built)
        self.assertIs(built.ask("entry-1", message).outcome, UNKNOWN)
        built.targets["executor-1"].fault = Fault.NONE
        built.run_for(2.0)
        answer = built.ask("entry-1", cases.fetch_message(message.key))
        self.assertEqual(answer.body, message.body[::-1])


class RefusedStartTest(unittest.TestCase):
    """Refusals prove nothing about other copies of the refused starts."""

    def test_refused_starts_get_tombstones_before_not_run_is_answered(self):
        """Guards against a late copy that runs after the answer `not_run`.

        The executor's clock is behind, so the start's deadline does not stop
        the copy.
        """
        outcomes = []
        for deadline_s in (0.5, 0.8, 1.1):
            built = cases.small_fabric(executors=1)
            # The reply tells the instance the executor's incarnation.
            built.ask("entry-1", builders.request("first"))
            model = BusyExecutor(built.targets["executor-1"].incarnation)
            built.targets["executor-1"] = model
            message = builders.request("k", deadline_s=deadline_s)
            outcomes.append(built.ask("entry-1", message).outcome)
            if outcomes[-1] is NOT_RUN:
                model.deliver(built, late_ms=900)
                self.assertEqual(sum(model.runs.values()), 0)
        self.assertIn(NOT_RUN, outcomes)


class NonIdempotentTest(unittest.TestCase):
    """Non-idempotent work runs at most once despite lost or late messages."""

    def test_a_second_copy_of_a_refused_start_is_stopped_by_a_tombstone(self):
        built = cases.small_fabric(executors=1)
        model = DelayedStartExecutor(kinds.TaskRefusal.BUSY)
        built.targets["executor-1"] = model
        message = cases.exclusive_request(built)
        self.assertIs(built.ask("entry-1", message).outcome, COMPLETED)
        reply = model.deliver(built)
        self.assertIs(reply.reason, kinds.TaskRefusal.TOMBSTONED)
        self.assertEqual(cases.total_task_starts(built), 1)

    def test_a_delayed_start_before_its_deadline_runs_only_once(self):
        built = cases.small_fabric()
        models = [DelayedStartExecutor(), DelayedStartExecutor()]
        built.targets["executor-1"], built.targets["executor-2"] = models
        message = cases.exclusive_request(built, deadline_s=20.0, wait=False)
        built.ask("entry-1", message)
        built.run_for(0.1)
        built.crash("entry-1")
        retry = cases.exclusive_request(built, attempt=2, deadline_s=20.0)
        retry = cases.resubmission_of(retry, message)
        exchange_id = built.send("entry-2", retry)
        built.run_for(2.0)
        for model in models:
            if model.held is not None:
                model.deliver(built)
        built.run_for(20.0)
        self.assertIs(built.response(exchange_id).outcome, COMPLETED)
        self.assertEqual(cases.total_task_starts(built), 1)

    def test_a_start_after_its_deadline_is_refused(self):
        built = cases.small_fabric(executors=1)
        model = DelayedStartExecutor()
        built.targets["executor-1"] = model
        message = cases.exclusive_request(built, deadline_s=3.0, wait=False)
        built.ask("entry-1", message)
        built.run_for(0.1)
        built.crash("entry-1")
        built.run_for(5.0)
        reply = model.deliver(built)
        self.assertIs(reply.reason, kinds.TaskRefusal.DEADLINE_PASSED)

    def test_a_retry_replaces_a_claim_proved_not_run(self):
        built = cases.small_fabric()
        models = [DelayedStartExecutor(), DelayedStartExecutor()]
        built.targets["executor-1"], built.targets["executor-2"] = models
        message = cases.exclusive_request(built, deadline_s=20.0, wait=False)
        built.ask("entry-1", message)
        built.run_for(0.1)
        built.crash("entry-1")
        retry = cases.resubmission_of(
            cases.exclusive_request(built, attempt=2, deadline_s=20.0), message
        )
        self.assertIs(built.ask("entry-2", retry).outcome, COMPLETED)
        self.assertEqual(cases.total_task_starts(built), 1)

    def test_a_start_for_an_earlier_incarnation_has_unknown_outcome(self):
        built = cases.small_fabric(executors=1)
        model = RestartingExecutor(8, "first")
        built.targets["executor-1"] = model
        answer = built.ask("entry-1", cases.exclusive_request(built))
        self.assertIs(answer.outcome, UNKNOWN)
        self.assertEqual(answer.problem.kind.value, "target_lost")
        self.assertEqual(cases.total_task_starts(built), 0)

    def test_a_pause_past_the_start_deadline_sends_no_stale_start(self):
        built = cases.small_fabric()
        message = cases.exclusive_request(built, deadline_s=30.0)
        built.network.min_delay_s = built.network.max_delay_s = 0.05
        exchange_id = built.send("entry-1", message)
        built.run_for(0.17)  # The claim has been written, not confirmed.
        built.pause("entry-1")
        retry = cases.resubmission_of(
            cases.exclusive_request(built, attempt=2, deadline_s=30.0), message
        )
        self.assertIs(built.ask("entry-2", retry).outcome, COMPLETED)
        built.resume("entry-1")
        built.run_for(5.0)
        self.assertIs(built.response(exchange_id).outcome, COMPLETED)
        self.assertEqual(cases.total_task_starts(built), 1)

    def test_the_claim_outlives_instance_and_executor(self):
        built = cases.small_fabric()
        message = cases.exclusive_request(built)
        built.ask("entry-1", message)
        built.run_for(1.0)
        built.crash("entry-1")
        built.targets.clear()
        answer = built.ask("entry-2", cases.fetch_message(message.key))
        self.assertEqual(answer.body, message.body[::-1])


class StoreOutageTest(unittest.TestCase):
    """A store outage causes a correct refusal, and nothing runs later."""

    def test_each_store_fault(self):
        for fault in (
            fabric.StoreFault.REFUSES,
            fabric.StoreFault.SILENT,
            fabric.StoreFault.LOSES_REPLIES,
        ):
            with self.subTest(fault=fault):
                built = cases.small_fabric()
                built.store_fault = fault
                message = cases.exclusive_request(built)
                answer = built.ask("entry-1", message)
                self.assertIs(answer.outcome, NOT_RUN)
                self.assertEqual(answer.problem.kind.value, "store_unavailable")
                retry = cases.resubmission_of(
                    cases.exclusive_request(built, attempt=2), message
                )
                self.assertIs(built.ask("entry-2", retry).outcome, UNKNOWN)
                built.heal()
                built.run_for(30.0)
                self.assertEqual(cases.total_task_starts(built), 0)


if __name__ == "__main__":
    unittest.main()
