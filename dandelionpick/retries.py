"""Retries: jittered bounded backoff, charged to a budget."""

import heapq

import xxhash

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import kinds
from dandelionpick import request_state
from dandelionpick import state as state_lib

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
# A first start earns a tenth of a retry, so that retries and hedges add at
# most about 10 % to the load of the executors.
TOKENS_PER_START = 0.1
# A request that was lost this often may itself be what ends its executors.
MAX_FAILURES = 4
# Slightly above the largest hash, so that the quotient stays below 1.
HASH_RANGE = float(1 << 64) * (1 + 1e-12)


def derive(draw: float, *parts: object) -> float:
    """Derives another draw in [0, 1) from an event's draw.

    Args:
        draw: the draw of the event's moment.
        parts: what tells this draw from the others of the same event.
    """
    text = "/".join(str(part) for part in (draw, *parts)).encode()
    return xxhash.xxh64_intdigest(text) / HASH_RANGE


def backoff_s(
    streak: int,
    draw: float,
    first_s: float = FIRST_BACKOFF_S,
    longest_s: float = MAX_BACKOFF_S,
) -> float:
    """Returns seconds to wait after `streak` failures in a row, from 1.

    The wait lies between half of the bound and the bound, which doubles with
    each failure.
    """
    bound_s = min(longest_s, first_s * 2.0 ** min(streak - 1, 16))
    return bound_s * (0.5 + 0.5 * draw)


def earn(state: state_lib.State) -> None:
    """Credits the budget for the first start of a request."""
    state.routing.retry_budget.add(TOKENS_PER_START)


def pay(state: state_lib.State, now_s: float) -> bool:
    """Takes one retry or hedge from the budget."""
    return state.routing.retry_budget.spend(1.0, now_s)


def schedule(
    state: state_lib.State,
    name: request_state.RequestName,
    request: request_state.Request,
    now_s: float,
    draw: float,
) -> bool:
    """Queues a failed request again after a wait.

    If the budget is empty, the request waits until a token has accrued.

    Returns:
        False if the request failed too often to be tried again.
    """
    if request.failures >= MAX_FAILURES:
        return False
    wait_s = backoff_s(max(1, request.failures), derive(draw, *name))
    budget = state.routing.retry_budget
    budget.refill(now_s)
    # The token is taken now even if it accrues later, so that a burst of
    # failures is spread over time.
    budget.tokens -= 1.0
    if budget.tokens < 0:
        wait_s += -budget.tokens / budget.rate_per_s
    state.calls_made += 1
    item = (now_s + wait_s, state.calls_made, name)
    heapq.heappush(state.routing.delayed, item)
    return True


def due(
    state: state_lib.State, now_s: float
) -> list[request_state.RequestName]:
    """Removes and returns the requests whose wait is over."""
    delayed = state.routing.delayed
    names = []
    while delayed and delayed[0][0] <= now_s:
        names.append(heapq.heappop(delayed)[2])
    return names


def lost(request: request_state.Request) -> caller_messages.Answer:
    """Builds the answer to a request that may have run and has no result."""
    return caller_messages.Answer(
        organisation=request.submission.organisation,
        key=request.submission.key,
        outcome=kinds.Outcome.UNKNOWN,
        problem=errors.Problem(
            errors.ProblemKind.TARGET_LOST,
            "The request was sent and no reply came back.",
            "Fetch the answer later, or submit the key again with a higher"
            " attempt.",
        ),
    )
