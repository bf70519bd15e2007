"""Admission control: accepts a new request into the queue or refuses it.

Requests are refused here before any message is sent to a target, so a refusal
proves that the request did not run.
"""

import dataclasses

from dandelionpick import errors
from dandelionpick import forward_choice
from dandelionpick import lanes
from dandelionpick import membership
from dandelionpick import queueing
from dandelionpick import request_state
from dandelionpick import routing
from dandelionpick import state as state_lib

# Requests with a shorter expected wait are not forwarded, because a peer's load
# is known only from a heartbeat that may be two periods old.
FORWARD_WAIT_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The result of admission control for a new request.

    Attributes:
        problem: why the request is refused; None if it is queued.
        displaced: a queued request to refuse in its place, or None.
        forward_candidate: whether it waits long enough to be forwarded.
    """

    problem: errors.Problem | None = None
    displaced: request_state.RequestName | None = None
    forward_candidate: bool = False


def decide(
    state: state_lib.State,
    name: request_state.RequestName,
    request: request_state.Request,
    now_s: float,
) -> Decision:
    """Decides whether to queue a new request.

    Args:
        state: the reducer's state.
        name: the request's organisation and key.
        request: the request, not yet queued.
        now_s: monotonic seconds.
    """
    remaining_s = request.deadline_s - now_s
    key = routing.class_key(request)
    histogram = state.routing.run_times.recent_histogram(key, now_s)
    fastest_s = histogram.fastest() if histogram else 0.0
    if remaining_s <= 0 or remaining_s < fastest_s:
        return Decision(deadline_too_short(remaining_s, fastest_s))
    item = lanes.queue_item(state, name, request)
    ahead_s = expected_wait_s(state, item, now_s)
    forward_candidate = ahead_s >= FORWARD_WAIT_S
    median_s = histogram.quantile(0.5) if histogram else 0.0
    misses_deadline = ahead_s > 0 and ahead_s + median_s > remaining_s
    if misses_deadline and not forward_choice.has_free_peer(
        state, request, now_s
    ):
        return Decision(wait_exceeds_deadline(ahead_s, remaining_s))
    if len(state.routing.queue) < state.limits.max_queued_requests:
        return Decision(forward_candidate=forward_candidate)
    victim = state.routing.queue.least_valuable()
    if victim is not None and queueing.is_worth_more(item, victim):
        return Decision(
            displaced=victim.name, forward_candidate=forward_candidate
        )
    return Decision(queue_full(ahead_s))


def expected_wait_s(
    state: state_lib.State, item: queueing.Item, now_s: float
) -> float:
    """Estimates a request's queueing time from observed run times.

    The estimate assumes that this instance has an equal share of the slots, or
    the slots that it uses now if those are more. The remaining run time of the
    lane's running tasks is added if they occupy all of these slots. Without an
    executor the wait can't be estimated and is 0.
    """
    slots = state.routing.slots
    if not slots:
        return 0.0
    instances = 1 + sum(1 for _ in membership.live_peers(state, now_s))
    long_running = state.routing.long_running
    if item.lane is queueing.Lane.SHORT:
        running = len(state.routing.running) - long_running
        usable_slots = max(slots / instances - long_running, running, 1.0)
    else:
        running = long_running
        usable_slots = max(state.routing.open_slots / instances, running)
    ahead_s = state.routing.queue.work_ahead(item)
    if running >= usable_slots:
        ahead_s += state.routing.remaining_s[item.lane]
    wait_s = ahead_s / usable_slots
    if item.lane is queueing.Lane.NORMAL:
        wait_s += short_ahead_s(state) * instances / slots
    return wait_s


def short_ahead_s(state: state_lib.State) -> float:
    """Returns the run time of short requests that start before a long one.

    At most MAX_SHORT_STREAK short requests start between two long ones.
    """
    short = state.routing.queue.lanes[queueing.Lane.SHORT]
    normal = state.routing.queue.lanes[queueing.Lane.NORMAL]
    if not short.size:
        return 0.0
    max_short_starts = lanes.MAX_SHORT_STREAK * (normal.size + 1)
    return short.work_s * min(1.0, max_short_starts / short.size)


def deadline_too_short(remaining_s: float, fastest_s: float) -> errors.Problem:
    """Builds the problem for a deadline shorter than any recent run time."""
    return errors.Problem(
        errors.ProblemKind.DEADLINE_TOO_SHORT,
        f"The deadline is in {remaining_s:.3f} s; the fastest recent task of"
        f" this class took {fastest_s:.3f} s.",
        "Submit the request with a longer deadline.",
    )


def wait_exceeds_deadline(ahead_s: float, remaining_s: float) -> errors.Problem:
    """Builds the problem for a queue wait that exceeds the deadline."""
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        f"The queue ahead takes about {ahead_s:.1f} s and the deadline is in"
        f" {remaining_s:.1f} s.",
        f"Send the request again after about {max(1.0, ahead_s):.0f} s, or"
        " with a longer deadline.",
    )


def queue_full(ahead_s: float) -> errors.Problem:
    """Builds the problem for a request that does not fit in a full queue."""
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        "The queue is full, and no queued request has less worth or urgency.",
        f"Send the request again after about {max(1.0, ahead_s):.0f} s.",
    )


def overtaken(wait_s: float, remaining_s: float) -> errors.Problem:
    """Builds the problem for a queued request that can no longer start in time.

    Requests that were submitted later are served before it.
    """
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        f"Requests of higher worth or urgency arrived; the wait is now about"
        f" {wait_s:.1f} s, and the deadline is in {remaining_s:.1f} s.",
        f"Send the request again after about {max(1.0, wait_s):.0f} s.",
    )


def displaced() -> errors.Problem:
    """Builds the problem for a queued request that was displaced."""
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        "The queue is full, and a request of higher worth or urgency arrived.",
        "Send the request again after a few seconds.",
    )
