"""Checks the answers to callers against what the executors ran.

The oracle knows the submissions, the executors' runs and the answers, but
nothing about instances, claims or the messages between them.
"""

import dataclasses
from collections.abc import Iterator

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from standins import executor


@dataclasses.dataclass
class Submitted:
    """A key and everything that was submitted under it."""

    key: ids.RequestKey
    job_class: str
    idempotent: bool
    body: bytes
    attempts: int = 0


@dataclasses.dataclass
class SentMessage:
    """A caller's message; attempt is 0 for a fetch or cancel."""

    submitted: Submitted
    attempt: int


@dataclasses.dataclass(frozen=True)
class TaskRun:
    """A task that an executor started, and how many times."""

    key: ids.RequestKey
    attempt: int
    times: int


class Oracle:
    """Checks answers.

    Attributes:
        executors: every executor of every incarnation.
        submitted: by key.
        sent: by exchange.
        checked: exchanges whose answers were checked.
        not_run_attempts: keys and attempts that were answered `not_run`.
        not_run_keys: keys answered `not_run` for every attempt.
    """

    def __init__(self):
        self.executors: list[executor.Executor] = []
        self.submitted: dict[str, Submitted] = {}
        self.sent: dict[str, SentMessage] = {}
        self.checked: set[str] = set()
        self.not_run_attempts: set[tuple[str, int]] = set()
        self.not_run_keys: set[str] = set()

    def runs(self) -> Iterator[TaskRun]:
        """Yields every task that was started on any executor."""
        for model in self.executors:
            for task_id, task in model.tasks.items():
                if not task.tombstone:
                    labels = task.labels
                    times = model.runs[task_id]
                    yield TaskRun(labels.key, labels.attempt, times)

    def check(self, responses: dict[str, list]) -> None:
        """Checks all new answers, and all runs against all answers.

        Raises:
            AssertionError: an answer is wrong or contradicts a run.
        """
        for exchange_id, sent in self.sent.items():
            answers = responses.get(exchange_id, [])
            assert len(answers) <= 1, f"{exchange_id} answered twice"
            if answers and exchange_id not in self.checked:
                self.checked.add(exchange_id)
                self._check_answer(sent, answers[0])
        self._check_runs()

    def _check_answer(
        self, sent: SentMessage, answer: caller_messages.Answer
    ) -> None:
        assert answer.key == sent.submitted.key, "answer for another key"
        if answer.outcome is kinds.Outcome.COMPLETED:
            self._check_completed(sent, answer)
        elif answer.outcome is kinds.Outcome.NOT_RUN:
            self._check_not_run(sent, answer)

    def _check_completed(
        self, sent: SentMessage, answer: caller_messages.Answer
    ) -> None:
        failed = answer.problem is not None
        output = sent.submitted.body[::-1]
        expected = executor.FAILURE_OUTPUT if failed else output
        assert answer.body == expected, "not the complete output for its body"
        assert answer.length == len(expected)
        assert answer.digest == executor_messages.digest_of(expected)
        key = answer.key
        assert any(task_run.key == key for task_run in self.runs()), (
            "completed although nothing ran"
        )

    def _check_not_run(
        self, sent: SentMessage, answer: caller_messages.Answer
    ) -> None:
        key = answer.key
        cancelled = answer.problem.kind is errors.ProblemKind.CANCELLED
        if cancelled and not sent.submitted.idempotent:
            self.not_run_keys.add(key)
            return
        assert sent.attempt <= 1, "a retry was answered not_run"
        self.not_run_attempts.add((key, 1))

    def _check_runs(self) -> None:
        starts: dict[str, int] = {}
        for task_run in self.runs():
            key = task_run.key
            assert key not in self.not_run_keys, f"{key} ran after not_run"
            answered_not_run = (key, task_run.attempt) in self.not_run_attempts
            assert not answered_not_run, (
                f"{key} ran for an attempt answered not_run"
            )
            starts[key] = starts.get(key, 0) + task_run.times
        for key, times in starts.items():
            submitted = self.submitted[key]
            assert submitted.idempotent or times == 1, (
                f"{key} ran {times} times"
            )
