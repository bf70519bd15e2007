"""Quarantines targets on which runs fail or stall.

A target on which every run fails looks idle and so attracts more work. On
another, runs may stall although it answers as usual. A run that succeeds on a
target resets its count of failures.
"""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import orders
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib

# How long a quarantined target gets no work. Disturbances last some seconds,
# and trying the target too early costs one run.
QUARANTINE_S = 3.0
# Consecutive failed runs after which a target is quarantined. One alone is not
# enough, because up to one run in twenty fails through its own fault.
QUARANTINE_FAILURES = 2
# A run without visible progress for this long may be stalled; the percentage of
# work that takes a minute changes every 0.6 s. The wait doubles each time that
# the task was moved before its first visible progress, because then the task
# may be long instead of its target stalled.
STALL_S = 1.5
# The run must also have been without progress for this many times the average
# time that one percent took before, or should take by the estimate.
STALL_FACTOR = 4.0
# Percentages are whole numbers, so this means 100.
DONE_PERCENT = 99.5


def record_ending(
    target: schedule_state.Target,
    ending: model.Ending,
    step: dispatch.Step,
) -> None:
    """Records how a run ended on a target."""
    if ending is model.Ending.DONE:
        target.failures = 0
        return
    if ending is not model.Ending.FAILED:
        return
    target.failures += 1
    if target.failures >= QUARANTINE_FAILURES:
        _quarantine(target, step, f"{target.failures} runs in a row failed")


def reschedule_stalled_runs(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
) -> None:
    """Reschedules the stalled runs of a target, after a listing."""
    schedule = state.schedule
    assert schedule is not None
    for run in list(target.runs.values()):
        step_run = _working_step(schedule, run)
        if step_run is None:
            continue
        if _is_stalled(state, step_run, run, step.moment.now_s):
            _quarantine(target, step, f"{run.task.job_id} is stalled")
            _reschedule(state, step, run)


def penalty(target: schedule_state.Target) -> float:
    """Returns 1 if a run failed since the last one that was done, else 0."""
    return float(bool(target.failures))


def _quarantine(
    target: schedule_state.Target, step: dispatch.Step, reason: str
) -> None:
    now_s = step.moment.now_s
    if now_s >= target.quarantined_until_s:
        step.count("target_quarantines_total")
        step.note(
            effects.Component.TARGETS,
            f"{target.id} gets no work for {QUARANTINE_S} s: {reason}",
            warning=True,
        )
    target.quarantined_until_s = now_s + QUARANTINE_S


def _working_step(
    schedule: schedule_state.Schedule, run: job_state.Run
) -> job_state.StepRun | None:
    """Returns a run's step if the run should be making progress, or None."""
    job = schedule.jobs.get(run.task.job_id)
    if job is None or run.state is not job_state.RunState.RUNNING:
        return None
    step_run = job.steps.get((run.task.occurrence, run.task.step))
    if step_run is None or step_run.spec.until_cancelled:
        return None
    if step_run.spec.gang and not all(
        run.attempt in task.runs
        and task.runs[run.attempt].state is job_state.RunState.RUNNING
        for task in step_run.tasks
    ):
        return None
    return step_run


def _is_stalled(
    state: state_lib.State,
    step_run: job_state.StepRun,
    run: job_state.Run,
    now_s: float,
) -> bool:
    """Returns whether waiting longer costs more than starting again."""
    since_s = max(run.progressed_s, run.ordered_s + state.limits.restore_s)
    stalled_s = now_s - since_s
    worked_s = max(0.0, since_s - run.ordered_s)
    # A gang member that has finished its share waits for the others.
    if stalled_s < STALL_S or run.percent >= DONE_PERCENT:
        return False
    if stalled_s < _patience_s(step_run, run, worked_s):
        return False
    lost_s = 0.0 if step_run.spec.checkpoints else worked_s
    return stalled_s >= lost_s


def _patience_s(
    step_run: job_state.StepRun, run: job_state.Run, worked_s: float
) -> float:
    """Returns how long the next percent may take."""
    gained = run.percent - run.first_percent
    if gained > 0:
        return STALL_FACTOR * worked_s / gained
    expected_s = step_run.spec.estimate_ms / 1_000 / 100
    moves = step_run.tasks[run.task.index].moves
    return max(STALL_S, STALL_FACTOR * expected_s) * 2.0**moves


def _reschedule(
    state: state_lib.State, step: dispatch.Step, run: job_state.Run
) -> None:
    """Stops a run and its gang, so that they start again elsewhere."""
    schedule = state.schedule
    assert schedule is not None
    task = schedule.task_of(run.task)
    if task is not None:
        task.avoided_targets.add(run.target)
        task.moves += run.percent <= run.first_percent
    step.note(
        effects.Component.SCHEDULER,
        f"moving a task at {run.percent:.0f}%",
        job=run.task.job_id,
        task=run.task.task_name(),
        target=run.target,
    )
    orders.stop_other_gang_members(state, step, run)
    orders.stop(state, step, run)
