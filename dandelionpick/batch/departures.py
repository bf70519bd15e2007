"""Moves work off targets that are about to leave.

The load pattern is a pool of which some targets are taken away at short notice
or replaced one after the other, while gangs run across them. Whatever still
runs on a target when it leaves is lost, and its gang with it. The loss is
proved only when the leases there have ended, seconds later, and the gang can't
start again before. A run that was stopped has a listed end and a checkpoint of
that moment, so that its gang continues elsewhere at once.
"""

from collections.abc import Iterator

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick.batch import isolation
from dandelionpick.batch import job_state
from dandelionpick.batch import orders
from dandelionpick.batch import run_times
from dandelionpick.batch import schedule_state
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import target_api

# Time for the order to arrive and the end to be listed, beside the stop itself:
# two round trips between regions, and the wait for a tick.
STOP_MARGIN_S = 0.3
# Progress is known in whole percent and speeds vary, so a run is expected to
# outlast its target only if it needs this many times what is left.
OUTLAST_FACTOR = 1.5


def record(
    schedule: schedule_state.Schedule,
    target: schedule_state.Target,
    now_s: float,
    max_age_s: float,
) -> None:
    """Records when a target will leave at the earliest, by its entry.

    Args:
        schedule: the schedule.
        target: a target whose entry has been read.
        now_s: the current time.
        max_age_s: how old the entry may be.
    """
    entry = target.entry
    if entry is None or entry.state is not target_api.TargetState.DRAINING:
        schedule.departures.pop(target.id, None)
        return
    if entry.remaining_s <= 0:
        return
    leaves_s = now_s + entry.remaining_s - max_age_s
    known_s = schedule.departures.get(target.id, float("inf"))
    schedule.departures[target.id] = min(leaves_s, known_s)


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Stops the runs that would be lost with targets that are leaving."""
    schedule = state.schedule
    if (
        schedule is None
        or not schedule.departures
        or not schedule.features.departures
        or schedule.stage is not stages.Stage.READY
    ):
        return
    now_s = step.moment.now_s
    for target_id, leaves_s in list(schedule.departures.items()):
        target = schedule.targets.get(target_id)
        if target is None or target.entry is None:
            del schedule.departures[target_id]
            continue
        with isolation.guard_target(step, target_id, "leaving"):
            for run in _due_runs(
                schedule, target, leaves_s, now_s, state.limits
            ):
                _move(state, step, run, leaves_s)


def _due_runs(
    schedule: schedule_state.Schedule,
    target: schedule_state.Target,
    leaves_s: float,
    now_s: float,
    limits: state_lib.Limits,
) -> Iterator[job_state.Run]:
    """Returns the runs of a target that have to be stopped now."""
    for run in list(target.runs.values()):
        job = schedule.jobs.get(run.task.job_id)
        step_run = job and job.steps.get((run.task.occurrence, run.task.step))
        if (
            job is None
            or not step_run
            or job.ended
            or run.state is not job_state.RunState.RUNNING
        ):
            continue
        rest_s = run_times.remaining_s(schedule, run, now_s)
        if must_stop(
            rest_s,
            leaves_s - now_s,
            limits.stop_s,
            step_run.spec.checkpoints,
        ):
            yield run


def must_stop(
    rest_s: float, left_s: float, stop_s: float, checkpoints: bool
) -> bool:
    """Returns whether a run has to be stopped now.

    Work that checkpoints goes on until the last moment, because what it does
    is kept. Other work is stopped as soon as it is clear that it can't end in
    time: it would only keep the rest of its gang's targets busy.

    Args:
        rest_s: how long the run is expected to last; inf if unknown.
        left_s: how long its target stays, at least.
        stop_s: how long a stop takes at most.
        checkpoints: whether the run can resume elsewhere.
    """
    if rest_s <= left_s:
        return False
    if left_s <= stop_s + STOP_MARGIN_S:
        return True
    is_known = rest_s < float("inf")
    return is_known and not checkpoints and rest_s > OUTLAST_FACTOR * left_s


def _move(
    state: state_lib.State,
    step: dispatch.Step,
    run: job_state.Run,
    leaves_s: float,
) -> None:
    """Stops a run and its gang, so that they start again elsewhere."""
    step.count("departure_stops_total")
    step.note(
        effects.Component.SCHEDULER,
        "stopping a run before its target leaves",
        job=run.task.job_id,
        task=run.task.task_name(),
        attempt=run.attempt,
        target=run.target,
        percent=round(run.percent),
        left_s=round(leaves_s - step.moment.now_s, 2),
    )
    orders.stop_other_gang_members(state, step, run)
    orders.stop(state, step, run)
