"""Takes targets out of use on which runs fail right after their start.

Load that this addresses: some targets fail everything that they start, 0.1 to
0.3 s after the start, while their health answers are good. Each failure costs a
whole gang and one of its job's attempts, so that one failure has to be enough.
Tasks that fail by their own fault fail anywhere in the run, 1 to 5 in 100 runs;
later failures are therefore left to `target_health`.
"""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import run_times
from dandelionpick.batch import runs
from dandelionpick.batch import schedule_state
from dandelionpick.batch import target_api
from dandelionpick.batch import target_evidence
from dandelionpick.batch import target_speeds

# A failure is early within this time of the start and within this share of the
# estimated run time. Faulty targets were seen to fail runs 0.1 to 0.3 s after
# the start.
EARLY_S = 0.5
EARLY_SHARE = 0.25
# How long a target is out of use after an early failure. It doubles each time
# that a run fails early there within RELAPSE_S of its return.
OUT_S = 3.0
MAX_OUT_S = 24.0
RELAPSE_S = 10.0
# A start that was ordered at most this long before a failure, and survived,
# shows that the target was sound.
PROOF_WINDOW_S = 1.0
# Targets that one step may take out of use while nothing shows whether the
# step or the targets are at fault.
MAX_TARGETS_PER_STEP = 2
# An earlier failure of a step says nothing about a later one elsewhere: its
# target may have been faulty then and sound since.
STEP_MEMORY_S = 10.0


def record_end(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    target: schedule_state.Target,
    ended: target_api.Ended,
) -> bool:
    """Records how a run ended; called before the run is removed.

    Returns:
        Whether `target_health` is to record it, too. It is not if the failure
        has taken the target out of use here, or if the task is at fault.
    """
    if not schedule.features.target_reliability:
        return True
    run = target.runs.get((ended.task, ended.attempt))
    step_run = _step_run_of(schedule, ended.task)
    if run is None or step_run is None:
        return True
    evidence = _evidence_of(schedule, target)
    if ended.ending is model.Ending.DONE:
        _record_survival(step, target, run, evidence)
        _sample_speed(schedule, step, target, run, step_run, 100.0)
    target_speeds.forget_run(target, run, evidence)
    if ended.ending is not model.Ending.FAILED:
        return True
    return _record_failure(schedule, step, target, run, step_run)


def record_progress(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    target: schedule_state.Target,
    run: job_state.Run,
) -> None:
    """Records what a listing shows about a run that goes on."""
    if (
        not schedule.features.target_reliability
        or run.state is not job_state.RunState.RUNNING
    ):
        return
    step_run = _step_run_of(schedule, run.task)
    if step_run is None:
        return
    evidence = _evidence_of(schedule, target)
    if run.ordered_s > evidence.survived_s and _has_survived(
        schedule, step_run, run, step.moment.now_s
    ):
        _record_survival(step, target, run, evidence)
    _sample_speed(schedule, step, target, run, step_run, run.percent)


def _sample_speed(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    target: schedule_state.Target,
    run: job_state.Run,
    step_run: job_state.StepRun,
    percent: float,
) -> None:
    if schedule.features.avoid_slow_targets:
        target_speeds.sample(schedule, step, target, run, step_run, percent)


def _record_failure(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    target: schedule_state.Target,
    run: job_state.Run,
    step_run: job_state.StepRun,
) -> bool:
    """Records a failed run; returns whether it is left to `target_health`."""
    evidence = target_speeds.step_evidence(schedule, _step_key(run.task))
    is_early = _is_early(schedule, step_run, run, step.moment.now_s)
    if is_early and not evidence.is_at_fault:
        taken_out = _judge_early_failure(schedule, step, target, run, evidence)
        if taken_out:
            return False
    if evidence.is_at_fault:
        step.count("early_failures_total", "task")
    return not evidence.is_at_fault


def _judge_early_failure(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    target: schedule_state.Target,
    run: job_state.Run,
    step_evidence: target_evidence.StepEvidence,
) -> bool:
    """Returns whether the target is at fault and was taken out of use."""
    now_s = step.moment.now_s
    others = [
        name
        for name, failed_s in step_evidence.failed_on.items()
        if name != target.id and now_s - failed_s < STEP_MEMORY_S
    ]
    if any(
        _was_sound(schedule, name, step_evidence.failed_on[name])
        for name in others
    ):
        step_evidence.is_at_fault = True
        _note_task_at_fault(schedule, step, run.task, others)
        return False
    step_evidence.failed_on[target.id] = now_s
    if len(others) >= MAX_TARGETS_PER_STEP:
        return False
    _take_out(schedule, step, target, run.task)
    return True


def _was_sound(
    schedule: schedule_state.Schedule, name: ids.TargetId, failed_s: float
) -> bool:
    """Returns whether other work has survived on a target since a failure."""
    evidence = schedule.evidence.targets.get(name)
    return (
        evidence is not None
        and evidence.survived_s >= failed_s - PROOF_WINDOW_S
    )


def _note_task_at_fault(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    task: model.TaskKey,
    others: list[ids.TargetId],
) -> None:
    """Gives back the targets that only this step has taken out of use."""
    key = _step_key(task)
    for name in others:
        evidence = schedule.evidence.targets.get(name)
        if evidence is not None and evidence.suspect == key:
            evidence.failed_s = evidence.out_until_s = float("-inf")
            evidence.on_probation = False
            evidence.strikes = max(0, evidence.strikes - 1)
            schedule.dirty = True
    step.note(
        effects.Component.TARGETS,
        "a task fails early on sound targets; they stay in use",
        job=task.job_id,
        task=task.task_name(),
        targets=sorted(others),
    )


def _take_out(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    target: schedule_state.Target,
    task: model.TaskKey,
) -> None:
    now_s = step.moment.now_s
    step.count("early_failures_total", "target")
    evidence = _evidence_of(schedule, target)
    evidence.failed_s = now_s
    if evidence.on_probation and now_s < evidence.out_until_s:
        return
    if evidence.on_probation:
        step.count("target_probations_total", "failed")
    relapsed = evidence.on_probation or now_s < evidence.out_until_s + RELAPSE_S
    evidence.strikes = evidence.strikes + 1 if relapsed else 1
    out_s = min(OUT_S * 2 ** (evidence.strikes - 1), MAX_OUT_S)
    evidence.out_until_s = now_s + out_s
    evidence.on_probation = True
    evidence.suspect = _step_key(task)
    step.note(
        effects.Component.TARGETS,
        f"{target.id} gets no work for {out_s:.0f} s: a run failed right after"
        f" its start",
        warning=True,
        job=task.job_id,
        task=task.task_name(),
        target=target.id,
        strikes=evidence.strikes,
    )


def _record_survival(
    step: dispatch.Step,
    target: schedule_state.Target,
    run: job_state.Run,
    evidence: target_evidence.TargetEvidence,
) -> None:
    """Records that a start on a target has outlived the early time."""
    evidence.survived_s = max(evidence.survived_s, run.ordered_s)
    if evidence.on_probation and run.ordered_s >= evidence.out_until_s:
        evidence.on_probation = False
        step.count("target_probations_total", "passed")
        step.note(
            effects.Component.TARGETS,
            f"{target.id} gets work as usual again: a run has survived there",
            target=target.id,
            strikes=evidence.strikes,
        )


def _is_early(
    schedule: schedule_state.Schedule,
    step_run: job_state.StepRun,
    run: job_state.Run,
    now_s: float,
) -> bool:
    """Returns whether a run that failed can't have done anything."""
    if run.percent > run.first_percent or not _is_own(schedule, run):
        return False
    limit_s = EARLY_S
    job = schedule.jobs[run.task.job_id]
    estimate_s = run_times.expected_s(schedule, job, step_run)
    if estimate_s > 0:
        limit_s = min(limit_s, EARLY_SHARE * estimate_s)
    return now_s - _began_s(step_run, run) <= limit_s


def _has_survived(
    schedule: schedule_state.Schedule,
    step_run: job_state.StepRun,
    run: job_state.Run,
    now_s: float,
) -> bool:
    """Returns whether a run has outlived the time in which runs fail early."""
    if not _is_own(schedule, run):
        return False
    if run.percent > run.first_percent:
        return True
    # A member of a gang may still wait for the others.
    return not step_run.spec.gang and now_s - run.ordered_s >= EARLY_S


def _began_s(step_run: job_state.StepRun, run: job_state.Run) -> float:
    """Returns when a run began to work; a gang waits for its last member."""
    began_s = run.ordered_s
    if step_run.spec.gang:
        for task in step_run.tasks:
            other = task.runs.get(run.attempt)
            if other is not None and other.confirmed_s < float("inf"):
                began_s = max(began_s, other.confirmed_s)
    return began_s


def _is_own(schedule: schedule_state.Schedule, run: job_state.Run) -> bool:
    """Returns whether this scheduler started a run, so that it knows when."""
    return run.attempt >> runs.ATTEMPT_BITS == schedule.epoch


def _evidence_of(
    schedule: schedule_state.Schedule, target: schedule_state.Target
) -> target_evidence.TargetEvidence:
    return schedule.evidence.of_target(target.id)


def _step_key(task: model.TaskKey) -> target_evidence.StepKey:
    return task.job_id, task.occurrence, task.step


def _step_run_of(
    schedule: schedule_state.Schedule, task: model.TaskKey
) -> job_state.StepRun | None:
    job = schedule.jobs.get(task.job_id)
    return job and job.steps.get((task.occurrence, task.step))
