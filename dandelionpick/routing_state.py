"""State of queueing, routing and forwarding on one instance."""

import collections
import dataclasses

from dandelionpick import estimates
from dandelionpick import ids
from dandelionpick import queueing

# Outcomes remembered for each executor.
OUTCOMES_KEPT = 32


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A budget that refills with time or use.

    Attributes:
        tokens: what can be spent; may become negative, see `spend`.
        filled_s: monotonic seconds of the last refill; None before the first.
    """

    tokens: float
    capacity: float
    rate_per_s: float
    filled_s: float | None = None

    def refill(self, now_s: float) -> None:
        """Adds what has accrued since the last refill."""
        if self.filled_s is not None:
            self.add(self.rate_per_s * max(0.0, now_s - self.filled_s))
        self.filled_s = now_s

    def add(self, amount: float) -> None:
        """Adds tokens up to the capacity."""
        self.tokens = min(self.capacity, self.tokens + amount)

    def spend(self, amount: float, now_s: float, debt: bool = False) -> bool:
        """Takes tokens if there are enough.

        Args:
            amount: tokens to take.
            now_s: monotonic seconds.
            debt: take them if any token is left, so that an amount above the
                capacity is possible; the debt delays the next one.
        """
        self.refill(now_s)
        if self.tokens <= 0 or (not debt and self.tokens < amount):
            return False
        self.tokens -= amount
        return True


@dataclasses.dataclass(slots=True)
class Running:
    """A task that this instance has on an executor.

    Attributes:
        expected_s: run time that was expected at the start.
        lane: NORMAL also once the task has run longer than short work may.
        provisional_s: run time that was recorded before the task's end.
        stalled: this instance did not run for a while meanwhile, so that the
            elapsed time and a timeout say nothing about the executor.
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

    at_s: float
    name: queueing.RequestName
    class_key: estimates.ClassKey
    succeeded: bool
    elapsed_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Health:
    """Evidence about an executor and what follows from it.

    Attributes:
        quarantined_until_s: no work before this time; None if in use.
        quarantines: quarantines without a recovery in between.
        probes_passed: idempotent requests that succeeded since the quarantine.
        busy_streak: refusals for want of a slot without a start in between.
        incarnation: incarnation of the last reply.
        leaving: incarnation that said that it leaves, or "".
        failed_s: when a task last failed.
        unanswered: starts in a row that got no reply.
        asked_s: when an executor out of use was last asked for its state.
        replied_s: when the executor last replied to anything.
    """

    outcomes: collections.deque[TaskOutcome] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=OUTCOMES_KEPT)
    )
    quarantined_until_s: float | None = None
    quarantines: int = 0
    probes_passed: int = 0
    busy_streak: int = 0
    incarnation: str = ""
    leaving: str = ""
    failed_s: float = float("-inf")
    unanswered: int = 0
    asked_s: float = float("-inf")
    replied_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Routing:
    """Everything about where requests go and in which order.

    Attributes:
        left_s: expected remaining run time of the running tasks by lane, at
            the last tick, plus that of the tasks started since.
        full: no executor could take a task, and nothing has changed since.
        slots: slots of the executors in use.
        open_slots: those of them that are open to long work.
        long_running: own tasks that count as long.
        long_limit: how many of them there may be until the next heartbeat.
        limit_set_s: when long_limit was computed.
        short_streak: short starts in a row while long work could start.
        offers: queued requests that a peer may serve sooner.
        delayed: requests that wait before their next try, by time, with the
            tokens that it costs.
        quarantined: executors that are out of use for their health.
        judged_s: when the executors were last judged.
        forwards: requests that a peer serves for this instance.
        forwards_to: how many of them each peer serves.
        retry_budget: pays for retries and hedges.
        region_bytes: bytes that may be sent to other regions.
        free_slots: free slots that this instance can offer to peers.
        hold: nothing starts until the instance list was asked again.
    """

    queue: queueing.Queue = dataclasses.field(default_factory=queueing.Queue)
    run_times: estimates.Estimates = dataclasses.field(
        default_factory=estimates.Estimates
    )
    running: dict[ids.TaskId, Running] = dataclasses.field(default_factory=dict)
    left_s: dict[queueing.Lane, float] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(queueing.Lane, 0.0)
    )
    full: bool = False
    slots: int = 0
    open_slots: int = 0
    long_running: int = 0
    long_limit: int = 0
    limit_set_s: float = float("-inf")
    short_streak: int = 0
    offers: list[queueing.RequestName] = dataclasses.field(default_factory=list)
    delayed: list[tuple[float, int, queueing.RequestName, float]] = (
        dataclasses.field(default_factory=list)
    )
    health: dict[ids.InstanceId, Health] = dataclasses.field(
        default_factory=dict
    )
    quarantined: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    judged_s: float = float("-inf")
    forwards: dict[queueing.RequestName, ids.InstanceId] = dataclasses.field(
        default_factory=dict
    )
    forwards_to: dict[ids.InstanceId, int] = dataclasses.field(
        default_factory=dict
    )
    retry_budget: TokenBucket = dataclasses.field(
        default_factory=lambda: TokenBucket(10.0, 50.0, 1.0)
    )
    region_bytes: TokenBucket | None = None
    free_slots: int = 0
    hold: bool = False
