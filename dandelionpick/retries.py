"""Retries with bounded exponential backoff, jitter and a token budget."""

import heapq

import xxhash

from dandelionpick import request_state
from dandelionpick import state as state_lib

FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
NO_TOKEN_WAIT_S = 0.4
# Each first start adds a tenth of a token to the budget, so that retries and
# hedges add at most about 10 % to the load of the executors.
TOKENS_PER_START = 0.1
# A request that failed or was lost this often may be crashing its executors.
MAX_FAILURES = 4
# A message that was not delivered caused no load on the executor.
NOT_SENT_COST = 0.1
# Slightly above the largest hash, so that the quotient stays below 1.
HASH_RANGE = float(1 << 64) * (1 + 1e-12)


def derive_draw(draw: float, *parts: object) -> float:
    """Derives another random number in [0, 1) from an event's random number.

    Args:
        draw: the random number of the event's moment.
        parts: distinguish this number from others of the same event.
    """
    text = "/".join(str(part) for part in (draw, *parts)).encode()
    return xxhash.xxh64_intdigest(text) / HASH_RANGE


def backoff_s(
    failures: int,
    draw: float,
    first_s: float = FIRST_BACKOFF_S,
    max_s: float = MAX_BACKOFF_S,
) -> float:
    """Returns the seconds to wait after consecutive failures.

    The wait lies between half of the bound and the bound, which doubles with
    each failure.

    Args:
        failures: consecutive failures, at least 1.
        draw: a random number in [0, 1).
        first_s: the bound after the first failure.
        max_s: the largest bound.
    """
    bound_s = min(max_s, first_s * 2.0 ** min(failures - 1, 16))
    return bound_s * (0.5 + 0.5 * draw)


def credit_start(state: state_lib.State) -> None:
    """Credits the budget for the first start of a request."""
    state.routing.retry_budget.add(TOKENS_PER_START)


def spend_token(state: state_lib.State, now_s: float) -> bool:
    """Spends one token on a retry or hedge; False if none is left."""
    return state.routing.retry_budget.spend(1.0, now_s)


def schedule(
    state: state_lib.State,
    name: request_state.RequestName,
    request: request_state.Request,
    now_s: float,
    draw: float,
    cost: float = 1.0,
) -> bool:
    """Delays a failed request before it is tried again.

    Args:
        state: the reducer's state.
        name: the request's organisation and key.
        request: the request.
        now_s: monotonic seconds.
        draw: the random number of the event's moment.
        cost: tokens that the retry costs.

    Returns:
        False if the request failed or was lost too often to be tried again.
    """
    if request.failures + request.lost_calls >= MAX_FAILURES:
        return False
    wait_s = backoff_s(max(1, len(request.tried)), derive_draw(draw, *name))
    _delay(state, name, now_s + wait_s, cost)
    return True


def _delay(
    state: state_lib.State,
    name: request_state.RequestName,
    until_s: float,
    cost: float,
) -> None:
    state.calls_made += 1
    item = (until_s, state.calls_made, name, cost)
    heapq.heappush(state.routing.delayed, item)


def pop_due(
    state: state_lib.State, now_s: float, draw: float
) -> list[request_state.RequestName]:
    """Removes and returns the requests that may be tried again now.

    Each spends its cost in tokens. While the budget has too few, the request
    keeps waiting, so that a burst of failures does not cause a burst of
    retries.
    """
    delayed = state.routing.delayed
    ready = []
    while delayed and delayed[0][0] <= now_s:
        _, _, name, cost = heapq.heappop(delayed)
        request = state.requests.by_name.get(name)
        if request is None or request.answer is not None:
            continue
        if request.phase is not request_state.Phase.QUEUED:
            continue
        if state.routing.retry_budget.spend(cost, now_s):
            ready.append(name)
        else:
            wait_s = NO_TOKEN_WAIT_S * (0.5 + derive_draw(draw, *name))
            _delay(state, name, now_s + wait_s, cost)
    return ready
