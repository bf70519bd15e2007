"""Estimates how fast targets are from the progress of the runs on them.

Load that this addresses: a quarter of the targets works at half the speed of
the others or less, and a gang is as slow as its slowest member.

The progress of a run is compared with that of runs of the same step on other
targets, each corrected by the estimate for its target. Otherwise a step that
runs mostly on slow targets would make these look usual. Members of a gang
progress together and say nothing about one target.
"""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import job_state
from dandelionpick.batch import schedule_state
from dandelionpick.batch import target_evidence

# Percentages are whole numbers, so this keeps the error below 5%.
MIN_GAINED_PERCENT = 20.0
# Targets of the same step that a run is compared with, at least.
MIN_OTHERS = 3
# Samples before a target is judged, and the least weight of the latest one.
MIN_SAMPLES = 3
SAMPLE_WEIGHT = 0.3
# Bounds on one sample; a few tasks in a hundred take 7 times as long.
MIN_RATIO, MAX_RATIO = 0.4, 2.5
# Below this share of the usual speed of its pool, a target is slow.
SLOW_SHARE = 0.75
# An estimate without new samples is dropped; targets recover within seconds.
FORGET_S = 15.0
USUAL_PERIOD_S = 1.0
# Marks of runs that a target may have; more are of runs lost without an end.
MAX_MARKS = 256


def sample(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    target: schedule_state.Target,
    run: job_state.Run,
    step_run: job_state.StepRun,
    percent: float,
) -> None:
    """Compares the progress of a run since its last sample."""
    if not _is_comparable(target, step_run):
        return
    now_s = step.moment.now_s
    evidence = schedule.evidence.of_target(target.id)
    key = run.task, run.attempt
    mark = evidence.marks.get(key)
    if mark is None:
        if run.first_percent > 0:
            # It was restored from a checkpoint, which took a while.
            evidence.marks[key] = percent, now_s
            return
        mark = run.first_percent, run.ordered_s
    gained = percent - mark[0]
    elapsed_s = now_s - mark[1]
    if gained < MIN_GAINED_PERCENT or elapsed_s <= 0:
        return
    evidence.marks[key] = percent, now_s
    rates = step_evidence(
        schedule, (run.task.job_id, run.task.occurrence, run.task.step)
    ).rates
    rates[target.id] = gained / elapsed_s
    expected = _expected_rate(schedule, rates, target.id, now_s)
    if expected > 0:
        _record(evidence, rates[target.id] / expected, now_s)
        _judge(schedule, step, target, evidence)


def forget_run(
    target: schedule_state.Target,
    run: job_state.Run,
    evidence: target_evidence.TargetEvidence,
) -> None:
    """Drops what is only needed while a run goes on."""
    evidence.marks.pop((run.task, run.attempt), None)
    if len(evidence.marks) > MAX_MARKS:
        for key in evidence.marks.keys() - target.runs.keys():
            del evidence.marks[key]


def speed_of(
    schedule: schedule_state.Schedule, name: ids.TargetId, now_s: float
) -> float:
    """Returns a target's relative speed; 1 if it is not known."""
    evidence = schedule.evidence.targets.get(name)
    if evidence is None or not is_known(evidence, now_s):
        return 1.0
    return evidence.speed


def is_known(evidence: target_evidence.TargetEvidence, now_s: float) -> bool:
    """Returns whether there are enough recent samples of a target's speed."""
    return (
        evidence.speed_samples >= MIN_SAMPLES
        and now_s - evidence.sampled_s < FORGET_S
    )


def step_evidence(
    schedule: schedule_state.Schedule, key: target_evidence.StepKey
) -> target_evidence.StepEvidence:
    """Returns the evidence about a step, and drops that of ended jobs."""
    steps = schedule.evidence.steps
    evidence = steps.get(key)
    if evidence is None:
        if len(steps) >= target_evidence.MAX_STEPS:
            _drop_ended(schedule)
        evidence = steps[key] = target_evidence.StepEvidence()
    return evidence


def _drop_ended(schedule: schedule_state.Schedule) -> None:
    steps = schedule.evidence.steps
    for key in list(steps):
        job = schedule.jobs.get(key[0])
        if job is None or job.ended:
            del steps[key]
    while len(steps) >= target_evidence.MAX_STEPS:
        del steps[next(iter(steps))]


def _is_comparable(
    target: schedule_state.Target, step_run: job_state.StepRun
) -> bool:
    """Returns whether runs of a step depend on the target's speed only."""
    spec = step_run.spec
    if spec.gang or spec.filler or spec.until_cancelled or spec.tasks < 2:
        return False
    entry = target.entry
    return not spec.data_rack or (
        entry is not None and entry.rack == spec.data_rack
    )


def _expected_rate(
    schedule: schedule_state.Schedule,
    rates: dict[ids.TargetId, float],
    name: ids.TargetId,
    now_s: float,
) -> float:
    """Returns the rate at usual speed by the other targets; 0 if unknown."""
    others = sorted(
        rate / speed_of(schedule, other, now_s)
        for other, rate in rates.items()
        if other != name
    )
    if len(others) < MIN_OTHERS:
        return 0.0
    return others[len(others) // 2]


def _record(
    evidence: target_evidence.TargetEvidence, ratio: float, now_s: float
) -> None:
    if now_s - evidence.sampled_s >= FORGET_S:
        evidence.speed_samples = 0
        evidence.is_slow = False
    ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
    evidence.speed_samples += 1
    weight = max(SAMPLE_WEIGHT, 1 / evidence.speed_samples)
    evidence.speed += weight * (ratio - evidence.speed)
    evidence.sampled_s = now_s


def _judge(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    target: schedule_state.Target,
    evidence: target_evidence.TargetEvidence,
) -> None:
    now_s = step.moment.now_s
    if target.entry is None or not is_known(evidence, now_s):
        return
    usual = _usual_speed(schedule, target.entry.pool, now_s)
    is_slow = evidence.speed < SLOW_SHARE * usual
    if is_slow != evidence.is_slow:
        evidence.is_slow = is_slow
        step.note(
            effects.Component.TARGETS,
            f"{target.id} is {'slow' if is_slow else 'no longer slow'}",
            target=target.id,
            speed=round(evidence.speed / usual, 2),
            samples=evidence.speed_samples,
        )


def _usual_speed(
    schedule: schedule_state.Schedule, pool: ids.PoolName, now_s: float
) -> float:
    """Returns the median speed of a pool's targets, unknown ones as 1."""
    computed = schedule.evidence.usual_speeds.get(pool)
    if computed is not None and now_s - computed[1] < USUAL_PERIOD_S:
        return computed[0]
    speeds = []
    for target in schedule.targets.values():
        if target.entry is None or target.entry.pool != pool:
            continue
        evidence = schedule.evidence.targets.get(target.id)
        if evidence is not None and not is_known(evidence, now_s):
            evidence.is_slow = False
        speeds.append(speed_of(schedule, target.id, now_s))
    usual = sorted(speeds)[len(speeds) // 2]
    schedule.evidence.usual_speeds[pool] = usual, now_s
    return usual
