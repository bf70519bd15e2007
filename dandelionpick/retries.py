"""Retries: jittered bounded backoff, charged to a budget."""

import heapq

import xxhash

from dandelionpick import request_state
from dandelionpick import state as state_lib

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
NO_TOKEN_WAIT_S = 0.4
# A first start earns a tenth of a retry, so that retries and hedges add at
# most about 10 % to the load of the executors.
TOKENS_PER_START = 0.1
# A request that was lost this often may itself be what ends its executors.
MAX_FAILURES = 4
# A message that was not delivered has cost the executor nothing.
NOT_SENT_PRICE = 0.1
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
    price: float = 1.0,
) -> bool:
    """Lets a failed request wait before it is tried again.

    Args:
        state: the reducer's state.
        name: the request's organisation and key.
        request: the request.
        now_s: monotonic seconds.
        draw: the draw of the event's moment.
        price: tokens that the next try costs.

    Returns:
        False if the request was lost too often to be tried again.
    """
    if request.failures + request.losses >= MAX_FAILURES:
        return False
    wait_s = backoff_s(max(1, len(request.tried)), derive(draw, *name))
    _delay(state, name, now_s + wait_s, price)
    return True


def _delay(
    state: state_lib.State,
    name: request_state.RequestName,
    until_s: float,
    price: float,
) -> None:
    state.calls_made += 1
    item = (until_s, state.calls_made, name, price)
    heapq.heappush(state.routing.delayed, item)


def due(
    state: state_lib.State, now_s: float, draw: float
) -> list[request_state.RequestName]:
    """Removes and returns the requests that may be tried again now.

    Each costs its price. While the budget can't pay it the request waits on,
    so that a burst of failures does not become a burst of retries.
    """
    delayed = state.routing.delayed
    ready = []
    while delayed and delayed[0][0] <= now_s:
        _, _, name, price = heapq.heappop(delayed)
        request = state.requests.by_name.get(name)
        if request is None or request.answer is not None:
            continue
        if request.phase is not request_state.Phase.QUEUED:
            continue
        if state.routing.retry_budget.spend(price, now_s):
            ready.append(name)
        else:
            wait_s = NO_TOKEN_WAIT_S * (0.5 + derive(draw, *name))
            _delay(state, name, now_s + wait_s, price)
    return ready
