"""Quarantines failing and slow executors, and probes them for recovery.

A failure may be caused by the target or by the job. It counts against an
executor only if different requests fail there while other executors complete
the same requests, or others of the same classes. A request that also failed on
another executor, and succeeded on none, is not counted.
"""

import statistics

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import estimates
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import membership
from dandelionpick import routing_state
from dandelionpick import state as state_lib

OUTCOME_WINDOW_S = 60.0
# Evaluating after each task took a third of the reducer's time.
EVALUATION_PERIOD_S = 0.5
# Only the latest outcomes count, so that earlier successes do not hide that an
# executor has begun to fail.
LATEST_OUTCOMES = 8
MIN_FAILED_REQUESTS = 3
MIN_FAILED_SHARE = 0.5
# Successes needed on other executors for the same classes, as a number and as a
# share of the outcomes there.
MIN_SUCCEEDED_ELSEWHERE = 3
MIN_SUCCEEDED_SHARE_ELSEWHERE = 0.8
# Run times of a class needed on the executor, and elsewhere, to compare them.
MIN_RUN_TIMES = 6
SLOW_FACTOR = 3.0
FIRST_QUARANTINE_S = 5.0
MAX_QUARANTINE_S = 60.0
PROBES_TO_RECOVER = 3
# If most executors seem faulty, the network or the jobs are more likely the
# cause.
MAX_QUARANTINED_SHARE = 0.5


def health_of(
    state: state_lib.State, target: ids.InstanceId
) -> routing_state.ExecutorHealth:
    """Returns the health record of an executor, and creates it if needed."""
    health = state.routing.health.get(target)
    if health is None:
        health = state.routing.health[target] = routing_state.ExecutorHealth()
    return health


def is_quarantined(state: state_lib.State, target: ids.InstanceId) -> bool:
    """Returns whether an executor is quarantined, also while it is probed."""
    return target in state.routing.quarantined


def is_probe_due(
    state: state_lib.State, target: ids.InstanceId, now_s: float
) -> bool:
    """Returns whether a quarantined executor may be sent a probe request."""
    health = health_of(state, target)
    if health.quarantined_until_s is None:
        return False
    if now_s < health.quarantined_until_s:
        return False
    load = state.requests.load.get(target)
    return load is None or not (load.running or now_s < load.backoff_until_s)


def failed_share(
    state: state_lib.State, target: ids.InstanceId, now_s: float
) -> float:
    """Returns the share of an executor's latest tasks that failed.

    It is 0 while the failures are too few for a quarantine. Otherwise an
    executor could be avoided because of a few failures and would never run
    enough tasks to be quarantined and probed.
    """
    health = health_of(state, target)
    if now_s - health.failed_s > OUTCOME_WINDOW_S:
        return 0.0
    outcomes = _recent_outcomes(health, now_s)[-LATEST_OUTCOMES:]
    failed = sum(not o.succeeded for o in outcomes)
    share = failed / max(1, len(outcomes))
    if failed < MIN_FAILED_REQUESTS or share < MIN_FAILED_SHARE:
        return 0.0
    return share


def _recent_outcomes(
    health: routing_state.ExecutorHealth, now_s: float
) -> list[routing_state.TaskOutcome]:
    return [o for o in health.outcomes if now_s - o.ended_s <= OUTCOME_WINDOW_S]


def _outcomes_elsewhere(
    state: state_lib.State, target: ids.InstanceId, now_s: float
) -> list[routing_state.TaskOutcome]:
    return [
        outcome
        for other, health in state.routing.health.items()
        if other != target
        for outcome in _recent_outcomes(health, now_s)
    ]


def record_outcome(
    state: state_lib.State,
    step: dispatch.Step,
    task: routing_state.RunningTask,
    succeeded: bool,
) -> None:
    """Records a task's outcome, and evaluates it as a probe if quarantined."""
    now_s = step.moment.now_s
    if task.stalled:
        return
    elapsed_s = now_s - task.started_s
    outcome = routing_state.TaskOutcome(
        now_s, task.name, task.class_key, succeeded, elapsed_s
    )
    health = health_of(state, task.target)
    health.outcomes.append(outcome)
    if not succeeded:
        health.failed_s = now_s
    if health.quarantined_until_s is not None:
        _evaluate_probe(state, step, task.target, outcome)


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Evaluates the executors in use and quarantines faulty ones.

    This is repeated periodically, because the outcomes on other executors may
    arrive after the failures, when the executor is already avoided.
    """
    now_s = step.moment.now_s
    if now_s - state.routing.evaluated_s < EVALUATION_PERIOD_S:
        return
    state.routing.evaluated_s = now_s
    for entry in membership.targets(state, kinds.Role.EXECUTOR):
        if is_quarantined(state, entry.id):
            continue
        if failed_share(state, entry.id, now_s) > 0:
            if _is_failing(state, entry.id, now_s):
                _quarantine(state, step, entry.id, "requests fail only there")
        elif _is_slow(state, entry.id, now_s):
            _quarantine(state, step, entry.id, "it is slower than the others")


def _is_failing(
    state: state_lib.State, target: ids.InstanceId, now_s: float
) -> bool:
    elsewhere = _outcomes_elsewhere(state, target, now_s)
    succeeded_elsewhere = {o.name for o in elsewhere if o.succeeded}
    faulty_requests = {
        o.name for o in elsewhere if not o.succeeded
    } - succeeded_elsewhere
    here = _recent_outcomes(health_of(state, target), now_s)
    here = [o for o in here if o.name not in faulty_requests]
    here = here[-LATEST_OUTCOMES:]
    failed = [o for o in here if not o.succeeded]
    names = {o.name for o in failed}
    if len(names) < MIN_FAILED_REQUESTS:
        return False
    if len(failed) < MIN_FAILED_SHARE * len(here):
        return False
    if len(names & succeeded_elsewhere) >= MIN_FAILED_REQUESTS:
        return True
    return _same_classes_succeed(failed, elsewhere)


def _same_classes_succeed(
    failed: list[routing_state.TaskOutcome],
    elsewhere: list[routing_state.TaskOutcome],
) -> bool:
    """Returns whether tasks of the failed classes succeed elsewhere."""
    classes = {o.class_key for o in failed}
    comparable = [o for o in elsewhere if o.class_key in classes]
    succeeded = sum(o.succeeded for o in comparable)
    if succeeded < MIN_SUCCEEDED_ELSEWHERE:
        return False
    return succeeded >= MIN_SUCCEEDED_SHARE_ELSEWHERE * len(comparable)


def _is_slow(
    state: state_lib.State, target: ids.InstanceId, now_s: float
) -> bool:
    """Returns whether tasks of some class run much longer than elsewhere."""
    recent = _recent_outcomes(health_of(state, target), now_s)
    for class_key in {o.class_key for o in recent}:
        here = _run_times(recent, class_key)
        if len(here) < MIN_RUN_TIMES:
            continue
        elsewhere = _run_times(
            _outcomes_elsewhere(state, target, now_s), class_key
        )
        if len(elsewhere) < MIN_RUN_TIMES:
            continue
        median_s = statistics.median(elsewhere)
        if statistics.median(here) > SLOW_FACTOR * median_s:
            return True
    return False


def _run_times(
    outcomes: list[routing_state.TaskOutcome], class_key: estimates.ClassKey
) -> list[float]:
    return [
        o.elapsed_s
        for o in outcomes
        if o.succeeded and o.class_key == class_key
    ]


def _quarantine(
    state: state_lib.State,
    step: dispatch.Step,
    target: ids.InstanceId,
    reason: str,
) -> None:
    listed = [
        entry.id for entry in membership.targets(state, kinds.Role.EXECUTOR)
    ]
    quarantined = sum(is_quarantined(state, name) for name in listed)
    if quarantined + 1 > MAX_QUARANTINED_SHARE * len(listed):
        return
    health = health_of(state, target)
    _extend_quarantine(health, step.moment.now_s)
    state.routing.quarantined.add(target)
    step.note(
        effects.Component.ROUTING,
        f"executor {target} is quarantined: {reason}",
        warning=True,
    )
    step.count("quarantines_total")


def _extend_quarantine(
    health: routing_state.ExecutorHealth, now_s: float
) -> None:
    duration_s = FIRST_QUARANTINE_S * 2.0 ** min(health.quarantines, 10)
    health.quarantined_until_s = now_s + min(MAX_QUARANTINE_S, duration_s)
    health.quarantines += 1
    health.probes_passed = 0


def _evaluate_probe(
    state: state_lib.State,
    step: dispatch.Step,
    target: ids.InstanceId,
    outcome: routing_state.TaskOutcome,
) -> None:
    """Ends a quarantine after enough passed probes, or extends it.

    Tasks that were running when the quarantine began are not probes and are
    ignored.
    """
    health = health_of(state, target)
    now_s = step.moment.now_s
    if now_s < health.quarantined_until_s:
        return
    elsewhere = _run_times(
        _outcomes_elsewhere(state, target, now_s), outcome.class_key
    )
    slow = bool(elsewhere) and (
        outcome.elapsed_s > SLOW_FACTOR * statistics.median(elsewhere)
    )
    if not outcome.succeeded or slow:
        _extend_quarantine(health, now_s)
        return
    health.probes_passed += 1
    if health.probes_passed >= PROBES_TO_RECOVER:
        end_quarantine(state, target)
        step.note(
            effects.Component.ROUTING, f"executor {target} is in use again"
        )


def end_quarantine(state: state_lib.State, target: ids.InstanceId) -> None:
    """Ends a quarantine and clears the recorded outcomes."""
    state.routing.quarantined.discard(target)
    health = health_of(state, target)
    health.quarantined_until_s = None
    health.quarantines = 0
    health.probes_passed = 0
    health.outcomes.clear()


def reset_after_restart(health: routing_state.ExecutorHealth) -> None:
    """Allows an immediate probe of an executor with a new incarnation."""
    health.outcomes.clear()
    if health.quarantined_until_s is not None:
        health.quarantined_until_s = float("-inf")


def account_for_stall(state: state_lib.State, stall_s: float) -> None:
    """Extends quarantines by the duration of a stall of this instance.

    Running tasks are marked as stalled, because their elapsed times and
    timeouts include the stall.
    """
    for health in state.routing.health.values():
        if health.quarantined_until_s is not None:
            health.quarantined_until_s += stall_s
    for task in state.routing.running.values():
        task.stalled = True
