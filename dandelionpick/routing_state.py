"""State of queueing, routing and forwarding on one instance."""

import collections
import dataclasses

from dandelionpick import estimates
from dandelionpick import ids
from dandelionpick import queueing

# Task outcomes kept for each executor.
MAX_OUTCOMES = 32


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A token bucket that is refilled over time or explicitly.

    Attributes:
        tokens: tokens available; may become negative, see `spend`.
        refilled_s: monotonic seconds of the last refill; None before the first.
    """

    tokens: float
    capacity: float
    rate_per_s: float
    refilled_s: float | None = None

    def refill(self, now_s: float) -> None:
        """Adds the tokens accrued since the last refill."""
        if self.refilled_s is not None:
            self.add(self.rate_per_s * max(0.0, now_s - self.refilled_s))
        self.refilled_s = now_s

    def add(self, amount: float) -> None:
        """Adds tokens up to the capacity."""
        self.tokens = min(self.capacity, self.tokens + amount)

    def spend(self, amount: float, now_s: float, debt: bool = False) -> bool:
        """Spends tokens if there are enough.

        Args:
            amount: tokens to spend.
            now_s: monotonic seconds.
            debt: spend them if any token is left, so that an amount above the
                capacity is possible; the debt delays the next spending.
        """
        self.refill(now_s)
        if self.tokens <= 0 or (not debt and self.tokens < amount):
            return False
        self.tokens -= amount
        return True


@dataclasses.dataclass(slots=True)
class RunningTask:
    """A task of this instance that runs on an executor.

    Attributes:
        expected_s: run time that was expected at the start.
        lane: becomes NORMAL when the task exceeds the limit for short work.
        provisional_s: run time that was recorded before the task's end.
        stalled: whether this instance's event loop stalled in the meantime, so
            that the elapsed time and a timeout say nothing about the executor.
            It is also set when the task is recorded as overtaken by a hedge.
    """

    name: queueing.RequestName
    class_key: estimates.ClassKey
    target: ids.InstanceId
    started_s: float
    expected_s: float
    lane: queueing.Lane
    provisional_s: float | None = None
    stalled: bool = False
    hedged: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TaskOutcome:
    """How a task ended on an executor.

    Attributes:
        elapsed_s: seconds from the start message to the reply.
    """

    ended_s: float
    name: queueing.RequestName
    class_key: estimates.ClassKey
    succeeded: bool
    elapsed_s: float = 0.0


@dataclasses.dataclass(slots=True)
class ExecutorHealth:
    """Recorded health of an executor, and its quarantine.

    Attributes:
        quarantined_until_s: no work before this time; None if in use.
        quarantines: consecutive quarantines without a recovery.
        probes_passed: idempotent requests that succeeded since the quarantine.
        busy_streak: consecutive refused starts, usually for lack of a slot.
        incarnation: incarnation of the last reply.
        leaving: incarnation that reported that it is leaving, or "".
        failed_s: when a task last failed.
        unanswered: consecutive starts without a reply.
        queried_s: when an executor that gets no work was last queried.
        replied_s: when the executor last replied to any message.
    """

    outcomes: collections.deque[TaskOutcome] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_OUTCOMES)
    )
    quarantined_until_s: float | None = None
    quarantines: int = 0
    probes_passed: int = 0
    busy_streak: int = 0
    incarnation: str = ""
    leaving: str = ""
    failed_s: float = float("-inf")
    unanswered: int = 0
    queried_s: float = float("-inf")
    replied_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Routing:
    """State of request scheduling, executor routing and forwarding.

    Attributes:
        remaining_s: expected remaining run time of the running tasks by lane,
            at the last tick, plus that of the tasks started since.
        saturated: no executor could take a task, and nothing has changed since.
        slots: slots of the executors in use.
        open_slots: slots among them that are open to long work.
        long_running: this instance's running tasks that count as long.
        long_limit: limit of long_running until the next heartbeat.
        limit_computed_s: when long_limit was computed.
        short_streak: consecutive starts of short work since the last long one.
        forward_candidates: queued requests that a peer may serve sooner.
        delayed: heap of the requests that wait for a retry, by time, with the
            tokens that the retry costs.
        quarantined: executors that are quarantined.
        evaluated_s: when the executors' health was last evaluated.
        forwards: requests that a peer serves for this instance.
        forward_counts: number of forwards in progress to each peer.
        retry_budget: token bucket for retries and hedges.
        inter_region_budget: token bucket for bytes sent to other regions.
        free_slots: free slots that this instance reports to its peers.
        starts_paused: nothing starts until the next read of the instance list
            has succeeded or failed.
    """

    queue: queueing.Queue = dataclasses.field(default_factory=queueing.Queue)
    run_times: estimates.Estimates = dataclasses.field(
        default_factory=estimates.Estimates
    )
    running: dict[ids.TaskId, RunningTask] = dataclasses.field(
        default_factory=dict
    )
    remaining_s: dict[queueing.Lane, float] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(queueing.Lane, 0.0)
    )
    saturated: bool = False
    slots: int = 0
    open_slots: int = 0
    long_running: int = 0
    long_limit: int = 0
    limit_computed_s: float = float("-inf")
    short_streak: int = 0
    forward_candidates: list[queueing.RequestName] = dataclasses.field(
        default_factory=list
    )
    delayed: list[tuple[float, int, queueing.RequestName, float]] = (
        dataclasses.field(default_factory=list)
    )
    health: dict[ids.InstanceId, ExecutorHealth] = dataclasses.field(
        default_factory=dict
    )
    quarantined: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    evaluated_s: float = float("-inf")
    forwards: dict[queueing.RequestName, ids.InstanceId] = dataclasses.field(
        default_factory=dict
    )
    forward_counts: dict[ids.InstanceId, int] = dataclasses.field(
        default_factory=dict
    )
    retry_budget: TokenBucket = dataclasses.field(
        default_factory=lambda: TokenBucket(10.0, 50.0, 1.0)
    )
    inter_region_budget: TokenBucket | None = None
    free_slots: int = 0
    starts_paused: bool = False
