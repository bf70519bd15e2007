"""A stand-in for an executor that runs small requests in slots.

`Executor` is the model. Each call passes in the time, so that tests can run it
in virtual time; `standins.serve` serves it over HTTP.
"""

import dataclasses
import enum
import functools
from typing import Any

import msgspec

from dandelionpick import executor_messages as messages
from dandelionpick import ids
from dandelionpick import kinds

FAILURE_OUTPUT = b"the task failed"
SLOW_FACTOR = 20.0


class ExecutorFault(enum.Enum):
    """How an executor misbehaves.

    SLOW and FAILS_TASKS apply to tasks that start while the fault is set.
    LOSES_REPLIES runs tasks but never replies to their starts. TRUNCATES and
    CROSSES corrupt results in transit: TRUNCATES drops the last byte, and
    CROSSES delivers the result of another task.
    """

    NONE = "none"
    SLOW = "slow"
    FAILS_TASKS = "fails_tasks"
    LOSES_REPLIES = "loses_replies"
    TRUNCATES = "truncates"
    CROSSES = "crosses"


@dataclasses.dataclass
class Task:
    """A task that was started or tombstoned.

    Attributes:
        end_s: when the task ends, on the model's clock.
        failed: whether the task ends with a failure.
    """

    labels: messages.TaskLabels | None
    body: bytes
    end_s: float
    tombstone: bool = False
    failed: bool = False


class Executor:
    """Runs tasks in slots; a task's output is its input reversed.

    Attributes:
        runs: number of starts by task id, for the test oracle.
        leaving: whether new tasks are refused.
        fault: how the executor misbehaves.
    """

    def __init__(self, slots: int, incarnation: str, run_s: float = 0.02):
        self.slots = slots
        self.incarnation = ids.Incarnation(incarnation)
        self.run_s = run_s
        self.leaving = False
        self.fault = ExecutorFault.NONE
        self.tasks: dict[ids.TaskId, Task] = {}
        self.runs: dict[ids.TaskId, int] = {}

    def running(self, now_s: float) -> int:
        """Returns the number of tasks that occupy a slot."""
        return sum(
            1
            for task in self.tasks.values()
            if not task.tombstone and task.end_s > now_s
        )

    def free_slots(self, now_s: float) -> int:
        """Returns the number of free slots."""
        return self.slots - self.running(now_s)

    def handle(self, message: Any, now_s: float, unix_ms: int) -> Any:
        """Answers a message.

        A start or query of a running task is answered with TaskRunning; the
        caller of the model asks again when the task ends.
        """
        return _handle(message, self, now_s, unix_ms)

    def loses_reply(self, message: Any) -> bool:
        """Returns whether the reply to a message is lost in transit."""
        lossy = self.fault is ExecutorFault.LOSES_REPLIES
        return lossy and isinstance(message, messages.StartTask)

    def start(self, message: messages.StartTask, now_s: float) -> None:
        """Starts a task."""
        slow = self.fault is ExecutorFault.SLOW
        run_s = self.run_s * SLOW_FACTOR if slow else self.run_s
        self.tasks[message.task_id] = Task(
            message.labels,
            message.body,
            now_s + run_s,
            failed=self.fault is ExecutorFault.FAILS_TASKS,
        )
        runs = self.runs.get(message.task_id, 0)
        self.runs[message.task_id] = runs + 1

    def reply(self, reply_type: type, now_s: float, **fields: Any) -> Any:
        """Builds a reply and fills in the fields common to all replies."""
        return reply_type(
            incarnation=self.incarnation,
            free_slots=self.free_slots(now_s),
            leaving=self.leaving,
            **fields,
        )

    def describe(self, task_id: ids.TaskId, now_s: float) -> Any:
        """Returns the reply that describes a task's state."""
        task = self.tasks.get(task_id)
        if task is None:
            return self.reply(messages.TaskUnknown, now_s, task_id=task_id)
        if task.tombstone:
            return self.reply(messages.TaskTombstoned, now_s, task_id=task_id)
        if task.end_s > now_s:
            return self.reply(messages.TaskRunning, now_s, task_id=task_id)
        return self.corrupt(self.result(task_id, task, now_s), now_s)

    def result(
        self, task_id: ids.TaskId, task: Task, now_s: float
    ) -> messages.TaskResult:
        """Builds the intact result of a task that has ended."""
        output = FAILURE_OUTPUT if task.failed else task.body[::-1]
        return self.reply(
            messages.TaskResult,
            now_s,
            task_id=task_id,
            succeeded=not task.failed,
            body=output,
            length=len(output),
            digest=messages.digest_of(output),
        )

    def corrupt(
        self, result: messages.TaskResult, now_s: float
    ) -> messages.TaskResult:
        """Applies the current fault to a result in transit."""
        if self.fault is ExecutorFault.TRUNCATES:
            return msgspec.structs.replace(result, body=result.body[:-1])
        if self.fault is ExecutorFault.CROSSES:
            other = ids.TaskId("another-task")
            for task_id, task in self.tasks.items():
                ended = not task.tombstone and task.end_s <= now_s
                if ended and task_id != result.task_id:
                    return self.result(task_id, task, now_s)
            return msgspec.structs.replace(result, task_id=other)
        return result


@functools.singledispatch
def _handle(message: Any, executor: Executor, now_s: float, unix_ms: int):
    raise TypeError(f"no handler for {type(message).__name__}")


@_handle.register
def _(
    message: messages.StartTask,
    executor: Executor,
    now_s: float,
    unix_ms: int,
) -> Any:
    reason = _refusal(message, executor, now_s, unix_ms)
    if reason is not None:
        return executor.reply(
            messages.TaskRefused, now_s, task_id=message.task_id, reason=reason
        )
    if message.task_id not in executor.tasks:
        executor.start(message, now_s)
    return executor.describe(message.task_id, now_s)


def _refusal(
    message: messages.StartTask,
    executor: Executor,
    now_s: float,
    unix_ms: int,
) -> kinds.TaskRefusal | None:
    if message.incarnation not in ("", executor.incarnation):
        return kinds.TaskRefusal.WRONG_INCARNATION
    task = executor.tasks.get(message.task_id)
    if task is not None:
        return kinds.TaskRefusal.TOMBSTONED if task.tombstone else None
    if executor.leaving:
        return kinds.TaskRefusal.LEAVING
    if unix_ms > message.start_deadline_ms:
        return kinds.TaskRefusal.DEADLINE_PASSED
    if executor.free_slots(now_s) <= 0:
        return kinds.TaskRefusal.BUSY
    return None


@_handle.register
def _(
    message: messages.QueryTask,
    executor: Executor,
    now_s: float,
    unix_ms: int,
) -> Any:
    return executor.describe(message.task_id, now_s)


@_handle.register
def _(
    message: messages.CancelTask,
    executor: Executor,
    now_s: float,
    unix_ms: int,
) -> Any:
    if message.task_id not in executor.tasks:
        executor.tasks[message.task_id] = Task(None, b"", now_s, tombstone=True)
    return executor.describe(message.task_id, now_s)


@_handle.register
def _(
    message: messages.ListTasks,
    executor: Executor,
    now_s: float,
    unix_ms: int,
) -> messages.TaskList:
    task_ids = [
        task_id
        for task_id, task in executor.tasks.items()
        if task.labels is not None
        and task.labels.organisation == message.organisation
        and task.labels.key == message.key
    ]
    return messages.TaskList(task_ids, executor.incarnation)
