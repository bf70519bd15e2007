"""Refuses queued requests early that can no longer start in time."""

from dandelionpick import admission
from dandelionpick import dispatch
from dandelionpick import requests
from dandelionpick import state as state_lib

# Bounds the work of one tick; the queue limit of 2000 is shed within 4 s.
MAX_SHED_PER_TICK = 50


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Refuses the least valuable requests while they would start too late.

    Requests of more worth may have come in after they were queued. Waiting
    for the deadline would cost their callers the time to go elsewhere.
    """
    now_s = step.moment.now_s
    for _ in range(MAX_SHED_PER_TICK):
        item = state.routing.queue.least_valuable()
        if item is None:
            return
        left_s = item.deadline_s - now_s
        wait_s = admission.expected_wait_s(state, item, now_s)
        if wait_s <= left_s:
            return
        problem = admission.overtaken(wait_s, left_s)
        requests.displace(state, step, item.name, problem)
