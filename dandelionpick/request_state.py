"""State of requests on the instance that accepted them."""

import collections
import dataclasses
import enum

from dandelionpick import caller_messages
from dandelionpick import claim_state
from dandelionpick import ids
from dandelionpick import tree_state

RequestName = tuple[ids.OrganisationId, ids.RequestKey]


class Phase(enum.Enum):
    """What a request waits for."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"


class RunState(enum.Enum):
    """What is known about a start that was sent.

    REFUSED applies to one copy of the start only; NOT_RUN is final for all
    copies. LOST can never be resolved, because the executor has restarted.
    """

    OPEN = "open"
    REFUSED = "refused"
    NOT_RUN = "not_run"
    RAN = "ran"
    LOST = "lost"


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A start that was sent to an executor, by this instance or another.

    Attributes:
        incarnation: the only incarnation that may start the task; "" for any.
        deadline_ms: Unix milliseconds after which it may not start.
        sent_here: whether this instance sent the start.
        resent: whether the start was sent more than once.
        reserved: whether it counts in the load of its executor.
        tombstone: whether to place a tombstone instead of only querying.
        query_in_flight: whether a query about the task is in flight.
        next_query_s: monotonic seconds of the next query.
    """

    target: ids.InstanceId
    task_id: ids.TaskId
    incarnation: ids.Incarnation
    deadline_ms: int
    sent_here: bool = True
    resent: bool = False
    reserved: bool = False
    state: RunState = RunState.OPEN
    tombstone: bool = False
    query_in_flight: bool = False
    next_query_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request that this instance accepted.

    Attributes:
        deadline_s: monotonic seconds after which the answer is useless.
        deadline_ms: the same in Unix milliseconds.
        waiting: exchanges to answer when the request is done.
        target: the executor or peer that the request was last sent to.
        attempts: attempt of each exchange in waiting that is a submission.
        runs_created: number of task ids generated so far.
        runs: runs whose starts were sent for the key, except those proved
            NOT_RUN.
        current_run: the run that the request waits for in phase RUNNING.
        tried: executors and peers that refused, failed or lost this request.
        failures: runs that ended with a failed task.
        lost_calls: runs and forwards whose reply was lost.
        hops: instances that forwarded the request to this one.
        may_have_run_elsewhere: whether another submission or instance may have
            run it.
        claim: the key's claim as last seen; None for idempotent requests.
        replaceable_claim: the claim that may be replaced, since it did not run.
        key_not_run: whether NOT_RUN holds for every submission of the key.
        cancelled: whether a caller cancelled the request.
        resolve_until_s: monotonic seconds until which an unknown outcome is
            still polled.
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
    attempts: dict[ids.ExchangeId, int] = dataclasses.field(
        default_factory=dict
    )
    runs_created: int = 0
    runs: list[Run] = dataclasses.field(default_factory=list)
    current_run: Run | None = None
    tried: list[ids.InstanceId] = dataclasses.field(default_factory=list)
    failures: int = 0
    lost_calls: int = 0
    hops: int = 0
    may_have_run_elsewhere: bool = False
    claim: claim_state.ClaimRecord | None = None
    replaceable_claim: claim_state.ClaimRecord | None = None
    key_not_run: bool = False
    cancelled: bool = False
    resolve_until_s: float = float("-inf")
    done_s: float = 0.0
    answer: caller_messages.Answer | None = None

    def name(self) -> RequestName:
        """Returns organisation and key."""
        return (self.submission.organisation, self.submission.key)

    def may_have_run(self) -> bool:
        """Returns whether a start may have been sent for the request."""
        return bool(self.runs) or self.may_have_run_elsewhere


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Load of an executor as this instance knows it.

    Attributes:
        running: tasks that this instance has there.
        free_slots: free slots as last reported, or its slots in the list.
        backoff_until_s: monotonic seconds before which no start is sent.
        incarnation: as last reported.
        reported_s: monotonic seconds of the last report.
    """

    running: int = 0
    free_slots: int = 0
    backoff_until_s: float = float("-inf")
    incarnation: ids.Incarnation = ids.Incarnation("")
    reported_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Requests:
    """All requests of this instance.

    Attributes:
        unanswered: requests without an answer, by name.
        polled: runs to query, with a request that waits for each.
        done: answered requests, oldest first.
        answer_bytes: bytes of all retained answers.
    """

    by_name: dict[RequestName, Request] = dataclasses.field(
        default_factory=dict
    )
    load: dict[ids.InstanceId, TargetLoad] = dataclasses.field(
        default_factory=dict
    )
    unanswered: dict[RequestName, Request] = dataclasses.field(
        default_factory=dict
    )
    polled: dict[Run, Request] = dataclasses.field(default_factory=dict)
    done: collections.deque[Request] = dataclasses.field(
        default_factory=collections.deque
    )
    answer_bytes: int = 0
