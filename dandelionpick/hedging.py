"""Starts a second task for an idempotent request whose first one is slow."""

from dandelionpick import dispatch
from dandelionpick import estimates
from dandelionpick import requests
from dandelionpick import retries
from dandelionpick import routing
from dandelionpick import routing_state
from dandelionpick import state as state_lib

HEDGE_QUANTILE = 0.95
# The histogram's buckets are 25 % wide; without a margin many tasks would be
# hedged that end a moment later.
MARGIN = 1.5
MIN_HEDGE_S = 0.05


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Hedges tasks that outlast almost all tasks of their class.

    Nothing is hedged while requests wait for slots: a second task would then
    take the slot of a first one.
    """
    if len(state.routing.queue) or state.routing.hold:
        return
    now_s = step.moment.now_s
    limits: dict[estimates.ClassKey, float] = {}
    for task in list(state.routing.running.values()):
        if task.hedged:
            continue
        key = task.class_key
        if key not in limits:
            limits[key] = limit_s(state, key, now_s)
        if now_s - task.started_s > limits[key]:
            hedge(state, step, task)


def limit_s(
    state: state_lib.State, key: estimates.ClassKey, now_s: float
) -> float:
    """Returns the run time that almost all tasks of a class stay below."""
    known = state.routing.run_times.known(key, now_s)
    if known is None:
        return float("inf")
    return max(MIN_HEDGE_S, MARGIN * known.quantile(HEDGE_QUANTILE))


def hedge(
    state: state_lib.State, step: dispatch.Step, task: routing_state.Running
) -> None:
    """Starts a second task elsewhere if there is room and budget."""
    now_s = step.moment.now_s
    request = state.requests.by_name.get(task.name)
    if request is None or request.answer is not None:
        return
    if not request.job_class.idempotent or request.cancelled:
        return
    entry = routing.choose_executor(
        state, request, now_s, step.moment.draw, may_probe=False
    )
    if entry is None or entry.id == task.target:
        return
    if not retries.pay(state, now_s):
        return
    step.count("hedges_total")
    requests.start(state, step, request, entry)
    for other in state.routing.running.values():
        if other.name == task.name:
            other.hedged = True
