"""Messages to and from an executor, which runs small requests in slots."""

import hashlib

import msgspec

from dandelionpick import ids
from dandelionpick import kinds


class TaskLabels(msgspec.Struct, frozen=True):
    """Identifies the submission for which a task was started."""

    organisation: ids.OrganisationId
    job_class: ids.ClassName
    key: ids.RequestKey
    attempt: int


class StartTask(msgspec.Struct, frozen=True):
    """Runs a task unless its id exists, and replies when it has ended.

    A start with an existing task id joins that task. A tombstoned id is
    refused.

    Attributes:
        body: input of the task.
        start_deadline_ms: Unix milliseconds after which the executor must not
            start the task.
        incarnation: refuse if the executor's incarnation differs; "" accepts
            any.
    """

    task_id: ids.TaskId
    labels: TaskLabels
    body: bytes
    start_deadline_ms: int
    incarnation: ids.Incarnation = ids.Incarnation("")


class QueryTask(msgspec.Struct, frozen=True):
    """Queries a task, waiting up to wait_s seconds for its end."""

    task_id: ids.TaskId
    wait_s: float = 0.0


class CancelTask(msgspec.Struct, frozen=True):
    """Places a tombstone for a task id that was never started.

    A running task continues; the reply reports which case it was.
    """

    task_id: ids.TaskId


class ListTasks(msgspec.Struct, frozen=True):
    """Lists the tasks of one request key."""

    organisation: ids.OrganisationId
    key: ids.RequestKey


class TaskResult(msgspec.Struct, frozen=True, tag=True):
    """A task has ended.

    Attributes:
        succeeded: False if the task itself failed.
        body: output of the task.
        length: bytes in body, as the executor counted them.
        digest: SHA-256 of body in hexadecimal, as the executor computed it.
        free_slots: slots without a task.
    """

    task_id: ids.TaskId
    incarnation: ids.Incarnation
    succeeded: bool
    body: bytes
    length: int
    digest: str
    free_slots: int = 0
    leaving: bool = False


class TaskRefused(msgspec.Struct, frozen=True, tag=True):
    """The executor did not start the task."""

    task_id: ids.TaskId
    incarnation: ids.Incarnation
    reason: kinds.TaskRefusal
    free_slots: int = 0
    leaving: bool = False


class TaskRunning(msgspec.Struct, frozen=True, tag=True):
    """The task has started and has not ended."""

    task_id: ids.TaskId
    incarnation: ids.Incarnation
    free_slots: int = 0
    leaving: bool = False


class TaskUnknown(msgspec.Struct, frozen=True, tag=True):
    """This incarnation of the executor has never seen the task."""

    task_id: ids.TaskId
    incarnation: ids.Incarnation
    free_slots: int = 0
    leaving: bool = False


class TaskTombstoned(msgspec.Struct, frozen=True, tag=True):
    """The executor will never start the task."""

    task_id: ids.TaskId
    incarnation: ids.Incarnation
    free_slots: int = 0
    leaving: bool = False


class TaskList(msgspec.Struct, frozen=True, tag=True):
    """Ids of the tasks that match ListTasks, oldest first."""

    task_ids: list[ids.TaskId]
    incarnation: ids.Incarnation


TaskReply = (
    TaskResult | TaskRefused | TaskRunning | TaskUnknown | TaskTombstoned
)


def digest_of(body: bytes) -> str:
    """Returns the SHA-256 of body in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def is_intact(result: TaskResult, task_id: ids.TaskId) -> bool:
    """Returns whether a result is complete and belongs to task_id."""
    return (
        result.task_id == task_id
        and result.length == len(result.body)
        and result.digest == digest_of(result.body)
    )
