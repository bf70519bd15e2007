"""Keeps the runs of tasks and targets and the used resources consistent."""

from dandelionpick import ids
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import schedule_state

# Attempts of an epoch are numbered from epoch << ATTEMPT_BITS, so that the
# numbers rise from one scheduler to the next without a write to the store.
ATTEMPT_BITS = 16
ATTEMPT_MASK = (1 << ATTEMPT_BITS) - 1


def occupied_resources(spec: model.StepSpec) -> model.Resources:
    """Returns the resources that a task of a step occupies on a target.

    Fillers use only processor time that other tasks leave unused.
    """
    if not spec.filler:
        return spec.needs
    return model.Resources(0, spec.needs.memory_mb, spec.needs.accelerators)


def add(
    schedule: schedule_state.Schedule,
    run: job_state.Run,
    task: job_state.Task | None,
) -> None:
    """Adds a run to its task and its target."""
    target = schedule.targets[run.target]
    target.runs[run.task, run.attempt] = run
    schedule.run_count += 1
    target.used = target.used.plus(run.needs)
    if task is not None:
        task.runs[run.attempt] = run


def remove(schedule: schedule_state.Schedule, run: job_state.Run) -> None:
    """Removes a run that is gone and frees its resources."""
    target = schedule.targets.get(run.target)
    if target is not None and target.runs.pop((run.task, run.attempt), None):
        target.used = target.used.minus(run.needs)
        schedule.run_count -= 1
    task = schedule.task_of(run.task)
    if task is not None:
        task.runs.pop(run.attempt, None)
    schedule.dirty = True


def keep_checkpoint(
    schedule: schedule_state.Schedule,
    run: job_state.Run,
    checkpoint: str,
    percent: float,
) -> None:
    """Records the latest checkpoint of a task, or of its whole gang."""
    task = schedule.task_of(run.task)
    if task is None or not checkpoint:
        return
    job = schedule.jobs[run.task.job_id]
    step = job.steps[run.task.occurrence, run.task.step]
    members = step.tasks if step.spec.gang else [task]
    for member in members:
        if percent >= member.percent or not member.checkpoint:
            member.checkpoint = checkpoint
            member.percent = percent


def next_attempt(
    schedule: schedule_state.Schedule, step: job_state.StepRun
) -> ids.Attempt:
    """Returns an attempt number above all earlier ones, in any epoch."""
    step.attempts = min(step.attempts + 1, ATTEMPT_MASK)
    base = schedule.epoch << ATTEMPT_BITS
    return ids.Attempt(base + step.attempts)
