"""Hedged requests: a second task for a slow idempotent request."""

from dandelionpick import dispatch
from dandelionpick import estimates
from dandelionpick import requests
from dandelionpick import retries
from dandelionpick import routing
from dandelionpick import routing_state
from dandelionpick import state as state_lib

HEDGE_QUANTILE = 0.95
# The histogram's buckets are 25 % wide. Without a margin, many tasks would be
# hedged shortly before they end.
HEDGE_MARGIN = 1.5
MIN_HEDGE_S = 0.05


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Hedges tasks that have run longer than almost all of their class.

    Nothing is hedged while requests are queued, because a second task would
    take the slot of a request that has not started.
    """
    if len(state.routing.queue) or state.routing.starts_paused:
        return
    now_s = step.moment.now_s
    thresholds_s: dict[estimates.ClassKey, float] = {}
    for task in list(state.routing.running.values()):
        if task.hedged:
            continue
        key = task.class_key
        if key not in thresholds_s:
            thresholds_s[key] = threshold_s(state, key, now_s)
        if now_s - task.started_s > thresholds_s[key]:
            hedge(state, step, task)


def threshold_s(
    state: state_lib.State, key: estimates.ClassKey, now_s: float
) -> float:
    """Returns the run time after which a task of a class is hedged.

    It is infinite if the class has too few recent observations.
    """
    histogram = state.routing.run_times.recent_histogram(key, now_s)
    if histogram is None:
        return float("inf")
    return max(MIN_HEDGE_S, HEDGE_MARGIN * histogram.quantile(HEDGE_QUANTILE))


def hedge(
    state: state_lib.State, step: dispatch.Step, task: routing_state.RunningTask
) -> None:
    """Starts a second task on another executor if slots and budget allow."""
    now_s = step.moment.now_s
    request = state.requests.by_name.get(task.name)
    if request is None or request.answer is not None:
        return
    if not request.job_class.idempotent or request.cancelled:
        return
    entry = routing.choose_executor(
        state, request, now_s, step.moment.random_value, may_probe=False
    )
    if entry is None or entry.id == task.target:
        return
    if not retries.spend_token(state, now_s):
        return
    step.count("hedges_total")
    requests.start(state, step, request, entry)
    for other in state.routing.running.values():
        if other.name == task.name:
            other.hedged = True
