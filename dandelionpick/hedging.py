"""Starts a second task for an idempotent request whose first one is slow."""

from dandelionpick import dispatch
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
    for task in list(state.routing.running.values()):
        if is_due(state, task, step.moment.now_s):
            hedge(state, step, task)


def is_due(
    state: state_lib.State, task: routing_state.Running, now_s: float
) -> bool:
    """Tells whether a task runs longer than almost all of its class."""
    if task.hedged:
        return False
    known = state.routing.run_times.known(task.class_key, now_s)
    if known is None:
        return False
    limit_s = max(MIN_HEDGE_S, MARGIN * known.quantile(HEDGE_QUANTILE))
    return now_s - task.started_s > limit_s


def hedge(
    state: state_lib.State, step: dispatch.Step, task: routing_state.Running
) -> None:
    """Starts a second task elsewhere if there is room and budget."""
    now_s = step.moment.now_s
    request = state.requests.by_name.get(task.name)
    if request is None or request.answer is not None:
        return
    if not request.job_class.idempotent:
        return
    entry = routing.choose_executor(state, request, now_s, step.moment.draw)
    if entry is None or entry.id == task.target:
        return
    if not retries.pay(state, now_s):
        return
    step.count("hedges_total")
    requests.start(state, step, task.name, request, entry)
    for other in state.routing.running.values():
        if other.name == task.name:
            other.hedged = True
