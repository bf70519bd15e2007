"""Logs and counts why open steps don't start, so that a wait can be explained.

A job that stands still while targets have room is a fault or the price of a
safety rule. From the log alone, operators have to tell which rule held back a
job at a given time, and also when the scheduler hands over.
"""

import collections
from collections.abc import Iterator

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import evacuations
from dandelionpick.batch import isolation
from dandelionpick.batch import job_state
from dandelionpick.batch import obstacles
from dandelionpick.batch import roster
from dandelionpick.batch import schedule_state
from dandelionpick.batch import stages
from dandelionpick.batch import start_conditions
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import takeover_holds
from dandelionpick.batch import target_preference
from dandelionpick.batch import waits as waits_lib

# A review looks at all open tasks, as a scheduling pass does.
REVIEW_PERIOD_S = 1.0
# Shorter waits are usual, such as for the reply to a start.
MIN_NOTED_S = 1.0
# Lines about steps that one review writes; the next one writes the others.
MAX_LINES = 50
# Targets that a line names.
MAX_NAMES = 5


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Reviews the waits if the last review is old."""
    schedule = state.schedule
    now_s = step.moment.now_s
    if schedule is None or now_s - schedule.waits.reviewed_s < REVIEW_PERIOD_S:
        return
    schedule.waits.reviewed_s = now_s
    _review_schedule(state, schedule, step)
    if schedule.stage is stages.Stage.READY:
        _review_steps(state, schedule, step)


def note_end(state: state_lib.State, step: dispatch.Step, reason: str) -> None:
    """Logs what waits as this instance ceases to be the scheduler."""
    schedule = state.schedule
    if schedule is None:
        return
    for key, wait in list(schedule.waits.steps.items())[:MAX_LINES]:
        _note_step(step, key, wait, f"still waits, {reason}")
    step.note(
        effects.Component.SCHEDULER,
        f"{reason}: {len(schedule.waits.steps)} steps wait",
        jobs=len(schedule.jobs),
        **_pool_fields(schedule, step.moment.now_s),
    )


def _review_schedule(
    state: state_lib.State,
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
) -> None:
    """Logs what keeps the scheduler from starting anything."""
    now_s = step.moment.now_s
    waits = schedule.waits
    obstacle = start_conditions.obstacle_to_all(state, schedule, now_s)
    if obstacle is not waits.obstacle:
        if waits.is_noted:
            step.note(
                effects.Component.SCHEDULER,
                "work is started again"
                if obstacle is None
                else f"nothing is started: {obstacle.value}",
                waited_s=round(now_s - waits.obstacle_s, 1),
            )
        waits.obstacle, waits.obstacle_s = obstacle, now_s
        waits.is_noted = waits.is_noted and obstacle is not None
    elif (
        obstacle is not None
        and not waits.is_noted
        and now_s - waits.obstacle_s >= MIN_NOTED_S
    ):
        waits.is_noted = True
        step.count("waits_total", obstacle.name.lower())
        step.note(
            effects.Component.SCHEDULER,
            f"nothing is started: {obstacle.value}",
            warning=True,
            **_takeover_fields(schedule),
        )


def _takeover_fields(schedule: schedule_state.Schedule) -> dict[str, object]:
    """Returns what a takeover has done so far; nothing after it."""
    if schedule.stage is stages.Stage.READY:
        return {}
    unlisted = [
        target.id
        for target in schedule.targets.values()
        if target.is_unlisted()
    ]
    return {
        "jobs": len(schedule.jobs),
        "targets_known": len(schedule.targets),
        "targets_unlisted": len(unlisted),
        "roster_read": schedule.roster_read,
    }


def _review_steps(
    state: state_lib.State,
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
) -> None:
    now_s = step.moment.now_s
    earlier, current = schedule.waits.steps, {}
    lines = 0
    for key, wait in _find_waits(state, schedule, step).items():
        before = earlier.get(key)
        if before is not None and before.counts.keys() == wait.counts.keys():
            wait.since_s, wait.is_noted = before.since_s, before.is_noted
        current[key] = wait
        if wait.is_noted or now_s - wait.since_s < MIN_NOTED_S:
            continue
        if lines == MAX_LINES:
            continue
        lines += 1
        wait.is_noted = True
        for obstacle in wait.counts:
            step.count("waits_total", obstacle.name.lower())
        _note_step(step, key, wait, "waits")
    schedule.waits.steps = current
    if lines:
        step.note(
            effects.Component.SCHEDULER,
            f"{len(current)} steps wait",
            **_pool_fields(schedule, now_s),
        )


def _find_waits(
    state: state_lib.State,
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
) -> dict[waits_lib.StepKey, waits_lib.Wait]:
    """Returns the open steps with tasks that are not at work."""
    waits: dict[waits_lib.StepKey, waits_lib.Wait] = {}
    holds = takeover_holds.find(state, schedule, step.moment.now_s)
    for job in schedule.jobs.values():
        if job.ended:
            continue
        with isolation.Guard(step, "reviewing", job.id):
            waits.update(_waits_of(state, schedule, step, holds, job))
    return waits


def _waits_of(
    state: state_lib.State,
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    holds: takeover_holds.Holds,
    job: job_state.Job,
) -> Iterator[tuple[waits_lib.StepKey, waits_lib.Wait]]:
    """Yields the open steps of a job with tasks that are not at work."""
    for step_run in job.active.values():
        if not step_run.open or not step_run.tasks_left:
            continue
        if schedule.isolation.holds(job.id, step.moment.now_s):
            left = start_conditions.startable_tasks(step_run)
            counts = collections.Counter(
                {obstacles.Obstacle.ISOLATED: len(left)}
            )
        else:
            counts = _count_obstacles(state, schedule, job, step_run, holds)
        if counts:
            key = (job.id, step_run.occurrence, step_run.number)
            targets = _targets_of(schedule, step_run)
            yield key, waits_lib.Wait(counts, targets, step.moment.now_s)


def _count_obstacles(
    state: state_lib.State,
    schedule: schedule_state.Schedule,
    job: job_state.Job,
    step_run: job_state.StepRun,
    holds: takeover_holds.Holds,
) -> collections.Counter[obstacles.Obstacle]:
    """Returns how many tasks of a step wait, by what they wait for."""
    counts: collections.Counter[obstacles.Obstacle] = collections.Counter()
    for task in step_run.tasks:
        found = [
            start_conditions.obstacle_of_run(schedule, run)
            for run in task.runs.values()
        ]
        if found and not task.done and all(found):
            counts[found[0]] += 1
    free = start_conditions.free_tasks(holds, job, step_run)
    held = len(start_conditions.startable_tasks(step_run)) - len(free)
    if held:
        counts[obstacles.Obstacle.UNLISTED_TARGETS] += held
    if free:
        obstacle = start_conditions.obstacle_to_placing(state, free)
        if obstacle is None and not schedule.starts.has_room():
            obstacle = obstacles.Obstacle.STARTS_IN_FLIGHT
        counts[obstacle or obstacles.Obstacle.ROOM] += len(free)
    return counts


def _targets_of(
    schedule: schedule_state.Schedule, step_run: job_state.StepRun
) -> tuple[ids.TargetId, ...]:
    """Returns targets with runs of a step that may not be at work."""
    names = {
        run.target
        for task in step_run.tasks
        for run in task.runs.values()
        if start_conditions.obstacle_of_run(schedule, run) is not None
    }
    return tuple(sorted(names)[:MAX_NAMES])


def _note_step(
    step: dispatch.Step,
    key: waits_lib.StepKey,
    wait: waits_lib.Wait,
    text: str,
) -> None:
    job_id, occurrence, number = key
    reasons = "; ".join(
        f"{count} tasks: {obstacle.value}"
        for obstacle, count in wait.counts.items()
    )
    step.note(
        effects.Component.SCHEDULER,
        f"{text}: {reasons}",
        job=job_id,
        step=f"{occurrence}.{number}",
        waited_s=round(step.moment.now_s - wait.since_s, 1),
        targets=list(wait.targets),
    )


def _pool_fields(
    schedule: schedule_state.Schedule, now_s: float
) -> dict[str, object]:
    """Returns how many targets may get work, and why the others may not."""
    out: collections.Counter[str] = collections.Counter()
    free = 0
    preference = target_preference.TargetPreference(schedule, now_s)
    for target in schedule.targets.values():
        obstacle = start_conditions.obstacle_of_target(target, now_s)
        if obstacle is None:
            obstacle = _obstacle_elsewhere(schedule, preference, target)
        if obstacle is None:
            free += target.free().accelerators
        else:
            out[obstacle.value] += 1
    silent = [
        target.id
        for target in schedule.targets.values()
        if target.is_unlisted()
    ]
    return {
        "targets_known": len(schedule.targets),
        "targets_out_of_use": dict(out),
        "free_accelerators": free,
        "unlisted": sorted(silent)[:MAX_NAMES],
        "reserved": len(schedule.reservations)
        + len(schedule.contention.reservations),
        "starts_in_flight": schedule.starts.in_flight,
    }


def _obstacle_elsewhere(
    schedule: schedule_state.Schedule,
    preference: target_preference.TargetPreference,
    target: schedule_state.Target,
) -> obstacles.TargetObstacle | None:
    """Returns what the scheduler has against new work on a target, or None."""
    if not roster.may_use(schedule, target):
        return obstacles.TargetObstacle.NOT_IN_ROSTER
    if evacuations.is_closed(schedule, target):
        return obstacles.TargetObstacle.EVACUATED
    if preference.is_out(target):
        return obstacles.TargetObstacle.ON_PROBATION
    return None
