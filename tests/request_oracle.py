"""What callers may be told about requests, judged by what executors ran.

The oracle knows submissions, the executors' runs and the answers; it knows
nothing about instances, claims or messages between them.
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
class Asked:
    """A caller's message; attempt is 0 for a fetch or cancel."""

    submitted: Submitted
    attempt: int


@dataclasses.dataclass(frozen=True)
class Ran:
    """A start that an executor performed."""

    key: ids.RequestKey
    attempt: int
    times: int


class Oracle:
    """Judges answers.

    Attributes:
        executors: every executor of every incarnation.
        submitted: by key.
        asked: by exchange.
        judged: exchanges whose answers were judged.
        never: keys and attempts that were told not to run.
        never_keys: keys that were told never to run.
    """

    def __init__(self):
        self.executors: list[executor.Executor] = []
        self.submitted: dict[str, Submitted] = {}
        self.asked: dict[str, Asked] = {}
        self.judged: set[str] = set()
        self.never: set[tuple[str, int]] = set()
        self.never_keys: set[str] = set()

    def runs(self) -> Iterator[Ran]:
        """Yields every start on every executor."""
        for model in self.executors:
            for task_id, task in model.tasks.items():
                if not task.tombstone:
                    labels = task.labels
                    times = model.runs[task_id]
                    yield Ran(labels.key, labels.attempt, times)

    def check(self, responses: dict[str, list]) -> None:
        """Judges all new answers, and all runs against all answers.

        Raises:
            AssertionError: a promise was broken.
        """
        for exchange_id, asked in self.asked.items():
            answers = responses.get(exchange_id, [])
            assert len(answers) <= 1, f"{exchange_id} answered twice"
            if answers and exchange_id not in self.judged:
                self.judged.add(exchange_id)
                self._judge(asked, answers[0])
        self._check_runs()

    def _judge(self, asked: Asked, answer: caller_messages.Answer) -> None:
        assert answer.key == asked.submitted.key, "answer for another key"
        if answer.outcome is kinds.Outcome.COMPLETED:
            self._judge_completed(asked, answer)
        elif answer.outcome is kinds.Outcome.NOT_RUN:
            self._judge_not_run(asked, answer)

    def _judge_completed(
        self, asked: Asked, answer: caller_messages.Answer
    ) -> None:
        failed = answer.problem is not None
        output = asked.submitted.body[::-1]
        expected = executor.FAILURE_OUTPUT if failed else output
        assert answer.body == expected, "not the whole output of its body"
        assert answer.length == len(expected)
        assert answer.digest == executor_messages.digest_of(expected)
        key = answer.key
        assert any(ran.key == key for ran in self.runs()), "completed unrun"

    def _judge_not_run(
        self, asked: Asked, answer: caller_messages.Answer
    ) -> None:
        key = answer.key
        cancelled = answer.problem.kind is errors.ProblemKind.CANCELLED
        if cancelled and not asked.submitted.idempotent:
            self.never_keys.add(key)
            return
        assert asked.attempt <= 1, "not_run told to a retry"
        self.never.add((key, 1))

    def _check_runs(self) -> None:
        starts: dict[str, int] = {}
        for ran in self.runs():
            key = ran.key
            assert key not in self.never_keys, f"{key} ran after not_run"
            told = (key, ran.attempt) in self.never
            assert not told, f"{key} ran for an attempt told not_run"
            starts[key] = starts.get(key, 0) + ran.times
        for key, times in starts.items():
            submitted = self.submitted[key]
            assert submitted.idempotent or times == 1, f"{key} ran {times}x"
