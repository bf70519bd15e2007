"""Gives up tasks that crash the targets on which they run.

The load replayed is a task that crashes each target that starts it, among tasks
that only happened to run there. A crash says nothing about which of the runs
caused it, so all of them count it, and those are started again apart from other
work. The count is kept with the job's progress, and already when a target falls
silent: the next scheduler could not know what ran on a target that crashed
before it took over.
"""

from collections.abc import Iterable

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import job_ends
from dandelionpick.batch import job_progress
from dandelionpick.batch import model
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib

# A job fails when this many targets have crashed under one of its tasks. Two
# may be a coincidence, because targets also crash by themselves.
MAX_CRASHES = 3
# How long a target that starts a task again after a crash gets no other work.
OBSERVATION_S = 1.0
# A target that has not answered for this long may have crashed.
SUSPECTED_AFTER_S = 1.0
# A task that runs until it is cancelled does not crash its targets if it has
# run for this long. Without that, crashes of months would add up.
PROVED_AFTER_S = 60.0


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Counts the crashes of targets that have become silent."""
    schedule = state.schedule
    if schedule is None or schedule.stage is not schedule_state.Stage.READY:
        return
    now_s = step.moment.now_s
    for target in schedule.targets.values():
        if (
            target.failed
            and not target.crash_suspected
            and now_s - target.failing_since_s >= SUSPECTED_AFTER_S
            and not target.is_draining()
        ):
            target.crash_suspected = True
            for run in target.runs.values():
                _count(schedule, run)


def clear_suspicion(
    schedule: schedule_state.Schedule, target: schedule_state.Target
) -> None:
    """Takes back the crash of a target that has answered again."""
    if not target.crash_suspected:
        return
    target.crash_suspected = False
    for run in target.runs.values():
        retract(schedule, run.task, run.attempt)


def retract(
    schedule: schedule_state.Schedule,
    key: model.TaskKey,
    attempt: ids.Attempt,
) -> None:
    """Takes back a crash, because its target reports on the attempt."""
    task = schedule.task_of(key)
    if task is None or not task.crashes:
        return
    job = schedule.jobs[key.job_id]
    if job_progress.remove_crash(job, task, attempt):
        schedule.unsaved.add(job.id)


def record_crash(
    state: state_lib.State, step: dispatch.Step, run: schedule_state.Run
) -> None:
    """Counts the crash of a run's target."""
    schedule = state.schedule
    assert schedule is not None
    task = schedule.task_of(run.task)
    job = schedule.jobs.get(run.task.job_id)
    if task is None or job is None or task.done or job.ended:
        return
    spec = job.steps[run.task.occurrence, run.task.step].spec
    ran_s = step.moment.now_s - run.ordered_s
    if spec.until_cancelled and ran_s >= PROVED_AFTER_S:
        job_progress.clear_crashes(job, task)
        schedule.unsaved.add(job.id)
        return
    _count(schedule, run)
    step.note(
        effects.Component.SCHEDULER,
        f"a target crashed under a task, for the {task.crashes}. time of"
        f" {MAX_CRASHES}",
        warning=True,
        job=job.id,
        task=run.task.task_name(),
        attempt=run.attempt,
        target=run.target,
    )


def _count(schedule: schedule_state.Schedule, run: schedule_state.Run) -> None:
    task = schedule.task_of(run.task)
    job = schedule.jobs.get(run.task.job_id)
    if task is None or job is None or task.done or job.ended:
        return
    if job_progress.record_crash(job, task, run.attempt):
        schedule.unsaved.add(job.id)


def end_if_exhausted(
    state: state_lib.State,
    step: dispatch.Step,
    job: schedule_state.Job,
    tasks: Iterable[schedule_state.Task],
) -> bool:
    """Ends a job as failed if too many targets crashed under one of its tasks.

    Args:
        state: the instance's state.
        step: the current step.
        job: the job.
        tasks: its tasks that are about to start.

    Returns:
        Whether the job was ended.
    """
    if all(task.crashes < MAX_CRASHES for task in tasks):
        return False
    step.count("crashing_jobs_total")
    job_ends.end(state, step, job, model.JobState.FAILED)
    return True


def observe(
    schedule: schedule_state.Schedule,
    target_id: ids.TargetId,
    now_s: float,
) -> None:
    """Keeps other work off a target on which a suspected task starts."""
    schedule.observed_until_s[target_id] = now_s + OBSERVATION_S


def drop_ended_observations(
    schedule: schedule_state.Schedule, now_s: float
) -> None:
    """Opens targets to other work whose observation has ended."""
    for target_id, until_s in list(schedule.observed_until_s.items()):
        if now_s >= until_s:
            del schedule.observed_until_s[target_id]
