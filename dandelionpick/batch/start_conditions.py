"""Tells what keeps open tasks from starting."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

from dandelionpick.batch import evacuations
from dandelionpick.batch import incarnations
from dandelionpick.batch import job_state
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import obstacles
from dandelionpick.batch import planned_starts
from dandelionpick.batch import schedule_state
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import takeover_holds
from dandelionpick.batch import target_api


def obstacle_to_all(
    state: state_lib.State,
    schedule: schedule_state.Schedule,
    now_s: float,
) -> obstacles.Obstacle | None:
    """Returns what keeps the scheduler from starting anything, or None."""
    return next(_obstacles_to_all(state, schedule, now_s), None)


def _obstacles_to_all(
    state: state_lib.State,
    schedule: schedule_state.Schedule,
    now_s: float,
) -> Iterator[obstacles.Obstacle]:
    if schedule.stage is stages.Stage.READING:
        yield obstacles.Obstacle.READING
    if schedule.stage is stages.Stage.FENCING:
        yield obstacles.Obstacle.FENCING
    if state.drain.requested_s is not None:
        yield obstacles.Obstacle.LEAVING
    if not leadership_bounds.may_send_orders(state, now_s):
        yield obstacles.Obstacle.UNCONFIRMED_LEADERSHIP
    if not leadership_bounds.may_start(state, now_s):
        yield obstacles.Obstacle.SUSPENDED
    if not evacuations.is_view_current(state, now_s):
        yield obstacles.Obstacle.UNKNOWN_EVACUATIONS


def startable_tasks(step_run: job_state.StepRun) -> list[job_state.Task]:
    """Returns the tasks of a step that could start; for a gang, all or none."""
    if not step_run.open or not step_run.tasks_left:
        return []
    tasks = [task for task in step_run.tasks if not task.done and not task.runs]
    if step_run.spec.gang and len(tasks) < len(step_run.tasks):
        return []
    return tasks


def free_tasks(
    holds: takeover_holds.Holds,
    job: job_state.Job,
    step_run: job_state.StepRun,
) -> Sequence[job_state.Task]:
    """Returns the startable tasks that the takeover does not hold back."""
    tasks = startable_tasks(step_run)
    free = takeover_holds.free_tasks(holds, job, step_run, tasks)
    if step_run.spec.gang and len(free) < len(tasks):
        return []
    return free


def obstacle_to_placing(
    state: state_lib.State, tasks: Iterable[job_state.Task]
) -> obstacles.Obstacle | None:
    """Returns what keeps free tasks of a step from being placed, or None."""
    is_suspected = any(task.records for task in tasks)
    if is_suspected and not planned_starts.may_plan(state):
        return obstacles.Obstacle.UNSTORED
    return None


def obstacle_of_run(
    schedule: schedule_state.Schedule, run: job_state.Run
) -> obstacles.Obstacle | None:
    """Returns why a run may not be at work, or None."""
    match run.state:
        case job_state.RunState.PLANNED:
            return obstacles.Obstacle.PLANNED
        case job_state.RunState.UNRESOLVED:
            return obstacles.Obstacle.UNRESOLVED
        case job_state.RunState.STOPPING:
            return obstacles.Obstacle.STOPPING
    target = schedule.targets.get(run.target)
    if target is not None and target.failed:
        return obstacles.Obstacle.SILENT_TARGET
    return None


def obstacle_of_target(
    target: schedule_state.Target, now_s: float
) -> obstacles.TargetObstacle | None:
    """Returns what a target's own state has against new work, or None."""
    return next(_obstacles_of_target(target, now_s), None)


def _obstacles_of_target(
    target: schedule_state.Target, now_s: float
) -> Iterator[obstacles.TargetObstacle]:
    if target.entry is None:
        yield obstacles.TargetObstacle.UNREGISTERED
    elif target.entry.state is not target_api.TargetState.READY:
        yield obstacles.TargetObstacle.DRAINING
    if not target.listed:
        yield obstacles.TargetObstacle.UNLISTED
    if target.failed:
        yield obstacles.TargetObstacle.SILENT
    if not incarnations.is_described(target):
        yield obstacles.TargetObstacle.OUTDATED_ENTRY
    if target.is_exceeded():
        yield obstacles.TargetObstacle.EXCEEDED
    if now_s < target.backoff_until_s:
        yield obstacles.TargetObstacle.BACKED_OFF
    if now_s < target.quarantined_until_s:
        yield obstacles.TargetObstacle.QUARANTINED
    if not all(run.job_known for run in target.runs.values()):
        yield obstacles.TargetObstacle.UNKNOWN_RUNS
