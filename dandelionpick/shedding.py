"""Load shedding: refuses queued requests that can no longer start in time."""

from dandelionpick import admission
from dandelionpick import dispatch
from dandelionpick import requests
from dandelionpick import state as state_lib

# Bounds the work of one tick. A full queue of 2000 requests is shed within 4 s.
MAX_SHED_PER_TICK = 50


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Refuses the least valuable requests that would start too late.

    Requests of higher worth may have arrived after they were queued. An early
    refusal leaves callers time to send the request elsewhere.
    """
    now_s = step.moment.now_s
    for _ in range(MAX_SHED_PER_TICK):
        item = state.routing.queue.least_valuable()
        if item is None:
            return
        remaining_s = item.deadline_s - now_s
        wait_s = admission.expected_wait_s(state, item, now_s)
        if wait_s <= remaining_s:
            return
        problem = admission.overtaken(wait_s, remaining_s)
        requests.displace(state, step, item.name, problem)
