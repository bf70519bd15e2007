"""State of requests on the instance that took them."""

import dataclasses
import enum

from dandelionpick import caller_messages
from dandelionpick import ids
from dandelionpick import tree_state

RequestName = tuple[ids.OrganisationId, ids.RequestKey]


class Phase(enum.Enum):
    """What a request waits for."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Request:
    """A request that this instance took.

    Attributes:
        deadline_s: monotonic seconds after which the answer is worthless.
        deadline_ms: the same in Unix milliseconds.
        waiting: exchanges to answer when the request is done.
        target: the executor that runs the current task.
        runs: tasks started so far.
        tried: executors that refused or lost a task of this request.
        sent: whether a start was ever sent that may have taken effect.
        failures: tasks and forwards of this request that were lost or failed.
        hops: instances that forwarded the request to this one.
    """

    submission: caller_messages.SubmitRequest
    job_class: tree_state.JobClass
    digest: str
    received_s: float
    deadline_s: float
    deadline_ms: int
    trace: str
    phase: Phase = Phase.QUEUED
    waiting: list[ids.ExchangeId] = dataclasses.field(default_factory=list)
    target: ids.InstanceId = ids.InstanceId("")
    runs: int = 0
    tried: list[ids.InstanceId] = dataclasses.field(default_factory=list)
    sent: bool = False
    failures: int = 0
    hops: int = 0
    done_s: float = 0.0
    answer: caller_messages.Answer | None = None


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """What this instance knows of an executor's slots.

    Attributes:
        running: tasks that this instance has there.
        free_slots: free slots as last reported, or its slots in the list.
        busy_until_s: do not try before this monotonic time.
        leaving: the executor said that it leaves.
    """

    running: int = 0
    free_slots: int = 0
    busy_until_s: float = float("-inf")
    leaving: bool = False


@dataclasses.dataclass(slots=True)
class Requests:
    """All requests of this instance."""

    by_name: dict[RequestName, Request] = dataclasses.field(
        default_factory=dict
    )
    load: dict[ids.InstanceId, TargetLoad] = dataclasses.field(
        default_factory=dict
    )
