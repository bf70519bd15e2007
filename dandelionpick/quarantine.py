"""Takes failing and slow executors out of use, and tries them again.

A failure may be the target's or the job's. It counts against an executor only
if different requests fail there while other executors complete the same
requests, or others of the same classes. A request that failed on another
executor too, and succeeded nowhere, proves nothing.
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

EVIDENCE_S = 60.0
# Judging after each task took a third of the reducer's time.
JUDGE_PERIOD_S = 0.5
# Only the latest outcomes count, so that an executor that begins to fail is
# not protected by what it completed before.
LATEST_OUTCOMES = 8
MIN_FAILED_REQUESTS = 3
FAILED_SHARE = 0.5
# Outcomes of the same classes needed elsewhere, and the share that succeeded.
MIN_ELSEWHERE = 3
SUCCEEDED_SHARE_ELSEWHERE = 0.8
MIN_TIMED = 6
SLOW_FACTOR = 3.0
FIRST_QUARANTINE_S = 5.0
MAX_QUARANTINE_S = 60.0
PROBES_TO_RECOVER = 3
# If most executors look bad, the network or the jobs are the likelier cause.
MAX_QUARANTINED_SHARE = 0.5


def health_of(
    state: state_lib.State, target: ids.InstanceId
) -> routing_state.Health:
    """Returns the evidence about an executor, empty if there is none."""
    health = state.routing.health.get(target)
    if health is None:
        health = state.routing.health[target] = routing_state.Health()
    return health


def is_quarantined(state: state_lib.State, target: ids.InstanceId) -> bool:
    """Returns whether an executor is out of use, also while it is probed."""
    return target in state.routing.quarantined


def is_probe_due(
    state: state_lib.State, target: ids.InstanceId, now_s: float
) -> bool:
    """Returns whether a quarantined executor may take one request."""
    health = health_of(state, target)
    if health.quarantined_until_s is None:
        return False
    if now_s < health.quarantined_until_s:
        return False
    load = state.requests.load.get(target)
    return load is None or not (load.running or now_s < load.busy_until_s)


def failed_share(
    state: state_lib.State, target: ids.InstanceId, now_s: float
) -> float:
    """Returns the share of an executor's latest tasks that failed.

    Few failures count as none: an executor that is avoided because of them
    would never give enough evidence to be quarantined and probed.
    """
    health = health_of(state, target)
    if now_s - health.failed_s > EVIDENCE_S:
        return 0.0
    outcomes = _recent(health, now_s)[-LATEST_OUTCOMES:]
    failed = sum(not o.succeeded for o in outcomes)
    share = failed / max(1, len(outcomes))
    if failed < MIN_FAILED_REQUESTS or share < FAILED_SHARE:
        return 0.0
    return share


def _recent(
    health: routing_state.Health, now_s: float
) -> list[routing_state.TaskOutcome]:
    return [o for o in health.outcomes if now_s - o.at_s <= EVIDENCE_S]


def _elsewhere(
    state: state_lib.State, target: ids.InstanceId, now_s: float
) -> list[routing_state.TaskOutcome]:
    return [
        outcome
        for other, health in state.routing.health.items()
        if other != target
        for outcome in _recent(health, now_s)
    ]


def record(
    state: state_lib.State,
    step: dispatch.Step,
    task: routing_state.Running,
    succeeded: bool,
) -> None:
    """Records how a task ended, and judges the executor if it is probed."""
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
        _judge_probe(state, step, task.target, outcome)


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Judges the executors in use.

    They are judged again and again, because the evidence from elsewhere may
    come after the failures, when they are already avoided.
    """
    now_s = step.moment.now_s
    if now_s - state.routing.judged_s < JUDGE_PERIOD_S:
        return
    state.routing.judged_s = now_s
    for entry in membership.targets(state, kinds.Role.EXECUTOR):
        if is_quarantined(state, entry.id):
            continue
        if failed_share(state, entry.id, now_s) > 0:
            if _fails(state, entry.id, now_s):
                _quarantine(state, step, entry.id, "requests fail there only")
        elif _is_slow(state, entry.id, now_s):
            _quarantine(state, step, entry.id, "it is slower than the others")


def _fails(
    state: state_lib.State, target: ids.InstanceId, now_s: float
) -> bool:
    elsewhere = _elsewhere(state, target, now_s)
    proved = {o.name for o in elsewhere if o.succeeded}
    job_fails = {o.name for o in elsewhere if not o.succeeded} - proved
    here = _recent(health_of(state, target), now_s)
    here = [o for o in here if o.name not in job_fails]
    here = here[-LATEST_OUTCOMES:]
    failed = [o for o in here if not o.succeeded]
    names = {o.name for o in failed}
    if len(names) < MIN_FAILED_REQUESTS:
        return False
    if len(failed) < FAILED_SHARE * len(here):
        return False
    if len(names & proved) >= MIN_FAILED_REQUESTS:
        return True
    return _same_classes_succeed(failed, elsewhere)


def _same_classes_succeed(
    failed: list[routing_state.TaskOutcome],
    elsewhere: list[routing_state.TaskOutcome],
) -> bool:
    """Returns whether tasks of the failed ones' classes succeed elsewhere."""
    classes = {o.class_key for o in failed}
    comparable = [o for o in elsewhere if o.class_key in classes]
    succeeded = sum(o.succeeded for o in comparable)
    if succeeded < MIN_ELSEWHERE:
        return False
    return succeeded >= SUCCEEDED_SHARE_ELSEWHERE * len(comparable)


def _is_slow(
    state: state_lib.State, target: ids.InstanceId, now_s: float
) -> bool:
    """Returns whether tasks of a class take much longer than elsewhere."""
    recent = _recent(health_of(state, target), now_s)
    for class_key in {o.class_key for o in recent}:
        here = _times(recent, class_key)
        if len(here) < MIN_TIMED:
            continue
        elsewhere = _times(_elsewhere(state, target, now_s), class_key)
        if len(elsewhere) < MIN_TIMED:
            continue
        usual_s = statistics.median(elsewhere)
        if statistics.median(here) > SLOW_FACTOR * usual_s:
            return True
    return False


def _times(
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
    _extend(health, step.moment.now_s)
    state.routing.quarantined.add(target)
    step.note(
        effects.Part.ROUTING,
        f"executor {target} is quarantined: {reason}",
        warning=True,
    )
    step.count("quarantines_total")


def _extend(health: routing_state.Health, now_s: float) -> None:
    length_s = FIRST_QUARANTINE_S * 2.0 ** min(health.quarantines, 10)
    health.quarantined_until_s = now_s + min(MAX_QUARANTINE_S, length_s)
    health.quarantines += 1
    health.probes_passed = 0


def _judge_probe(
    state: state_lib.State,
    step: dispatch.Step,
    target: ids.InstanceId,
    outcome: routing_state.TaskOutcome,
) -> None:
    """Lets an executor back after enough probes, or extends the quarantine.

    Tasks that were running when the quarantine began prove nothing.
    """
    health = health_of(state, target)
    now_s = step.moment.now_s
    if now_s < health.quarantined_until_s:
        return
    usual = _times(_elsewhere(state, target, now_s), outcome.class_key)
    slow = bool(usual) and (
        outcome.elapsed_s > SLOW_FACTOR * statistics.median(usual)
    )
    if not outcome.succeeded or slow:
        _extend(health, now_s)
        return
    health.probes_passed += 1
    if health.probes_passed >= PROBES_TO_RECOVER:
        release(state, target)
        step.note(effects.Part.ROUTING, f"executor {target} is in use again")


def release(state: state_lib.State, target: ids.InstanceId) -> None:
    """Ends a quarantine and drops the evidence."""
    state.routing.quarantined.discard(target)
    health = health_of(state, target)
    health.quarantined_until_s = None
    health.quarantines = 0
    health.probes_passed = 0
    health.outcomes.clear()


def restarted(health: routing_state.Health) -> None:
    """Lets an executor with a new incarnation be probed at once."""
    health.outcomes.clear()
    if health.quarantined_until_s is not None:
        health.quarantined_until_s = float("-inf")


def stalled(state: state_lib.State, stall_s: float) -> None:
    """Moves quarantines on by the time in which nothing was observed.

    Tasks in progress are marked, because their elapsed time and their
    timeouts include the stall of this instance.
    """
    for health in state.routing.health.values():
        if health.quarantined_until_s is not None:
            health.quarantined_until_s += stall_s
    for task in state.routing.running.values():
        task.stalled = True
