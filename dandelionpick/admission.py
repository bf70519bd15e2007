"""Decides whether a request is queued, and what is refused at the peak.

Refusals here precede any message to a target, so that they are true.
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

# Shorter waits are not worth a forward: what is known of a peer's load comes
# from a heartbeat that may be two periods old.
FORWARD_WAIT_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request is queued.

    Attributes:
        problem: why it is refused, or None.
        displaced: a queued request that is refused in its favour, or None.
        offered: it waits long enough here to be offered to a peer.
    """

    problem: errors.Problem | None = None
    displaced: request_state.RequestName | None = None
    offered: bool = False


def decide(
    state: state_lib.State,
    name: request_state.RequestName,
    request: request_state.Request,
    now_s: float,
) -> Decision:
    """Decides about a new request.

    Args:
        state: the reducer's state.
        name: the request's organisation and key.
        request: the request, not yet queued.
        now_s: monotonic seconds.
    """
    left_s = request.deadline_s - now_s
    key = routing.class_key(request)
    known = state.routing.run_times.known(key, now_s)
    fastest_s = known.fastest() if known else 0.0
    if left_s <= 0 or left_s < fastest_s:
        return Decision(too_short(left_s, fastest_s))
    item = lanes.item_of(state, name, request)
    ahead_s = expected_wait_s(state, item, now_s)
    offered = ahead_s >= FORWARD_WAIT_S
    usual_s = known.quantile(0.5) if known else 0.0
    late = ahead_s > 0 and ahead_s + usual_s > left_s
    if late and not forward_choice.has_room(state, request, now_s):
        return Decision(too_busy(ahead_s, left_s))
    if len(state.routing.queue) < state.limits.max_queued_requests:
        return Decision(offered=offered)
    victim = state.routing.queue.least_valuable()
    if victim is not None and queueing.is_worth_more(item, victim):
        return Decision(displaced=victim.name, offered=offered)
    return Decision(queue_full(ahead_s))


def expected_wait_s(
    state: state_lib.State, item: queueing.Item, now_s: float
) -> float:
    """Returns how long a request would wait, by observed run times.

    The instance counts on its part of the slots, or on the slots that it uses
    now if these are more. Tasks in progress in the lane are ahead too if they
    fill them. Without an executor the wait can't be estimated and is 0.
    """
    slots = state.routing.slots
    if not slots:
        return 0.0
    instances = 1 + sum(1 for _ in membership.live_peers(state, now_s))
    long_running = state.routing.long_running
    if item.lane is queueing.Lane.SHORT:
        running = len(state.routing.running) - long_running
        usable = max(slots / instances - long_running, running, 1.0)
    else:
        running = long_running
        usable = max(state.routing.open_slots / instances, running)
    ahead_s = state.routing.queue.work_ahead(item)
    if running >= usable:
        ahead_s += state.routing.left_s[item.lane]
    wait_s = ahead_s / usable
    if item.lane is queueing.Lane.NORMAL:
        wait_s += short_ahead_s(state) * instances / slots
    return wait_s


def short_ahead_s(state: state_lib.State) -> float:
    """Returns the run time of short work that starts before long work.

    Between two starts of long work there are at most MAX_SHORT_STREAK of short
    work.
    """
    short = state.routing.queue.lanes[queueing.Lane.SHORT]
    normal = state.routing.queue.lanes[queueing.Lane.NORMAL]
    if not short.size:
        return 0.0
    most = lanes.MAX_SHORT_STREAK * (normal.size + 1)
    return short.work_s * min(1.0, most / short.size)


def too_short(left_s: float, fastest_s: float) -> errors.Problem:
    """Builds the problem of a deadline that can't be met."""
    return errors.Problem(
        errors.ProblemKind.DEADLINE_TOO_SHORT,
        f"The deadline is in {left_s:.3f} s; the fastest recent task of this"
        f" class took {fastest_s:.3f} s.",
        "Submit the request with a longer deadline.",
    )


def too_busy(ahead_s: float, left_s: float) -> errors.Problem:
    """Builds the problem of a queue that takes longer than the deadline."""
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        f"The queue ahead takes about {ahead_s:.1f} s and the deadline is in"
        f" {left_s:.1f} s.",
        f"Send the request again after about {max(1.0, ahead_s):.0f} s, or"
        " with a longer deadline.",
    )


def queue_full(ahead_s: float) -> errors.Problem:
    """Builds the problem of a queue at its limit."""
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        "The queue is full, and no queued request is worth less.",
        f"Send the request again after about {max(1.0, ahead_s):.0f} s.",
    )


def overtaken(wait_s: float, left_s: float) -> errors.Problem:
    """Builds the problem of a request that more valuable ones overtook."""
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        f"Requests of more worth or urgency came in; the wait is now about"
        f" {wait_s:.1f} s and the deadline in {left_s:.1f} s.",
        f"Send the request again after about {max(1.0, wait_s):.0f} s.",
    )


def displaced() -> errors.Problem:
    """Builds the problem of a queued request that made room."""
    return errors.Problem(
        errors.ProblemKind.OVERLOADED,
        "The queue is full, and a request of more worth or urgency came in.",
        "Send the request again after a few seconds.",
    )
