"""Sends the starts of suspected tasks once the store has a record of them.

The load replayed is a task that crashes each target that starts it, while
schedulers are lost or cut off from the store. A start that only such a
scheduler knew would not count for its successor, and the task would start
without limit.

The other load is a task that only happens to be sent to targets that are down
already, while many targets crash by themselves. Each target has to answer just
before the start is sent, so that a crash without a reply counts for something.
"""

from collections.abc import Sequence

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick.batch import crash_budget
from dandelionpick.batch import evacuations
from dandelionpick.batch import incarnations
from dandelionpick.batch import job_state
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import orders
from dandelionpick.batch import polling
from dandelionpick.batch import roster
from dandelionpick.batch import run_records
from dandelionpick.batch import runs
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib

# Starts that can't be sent by then are given up, so that their resources are
# not kept for them. A commit and a listing take some milliseconds, and half a
# second if the store is slow.
PLAN_TIMEOUT_S = 2.0


def may_plan(state: state_lib.State) -> bool:
    """Returns whether the store serves, so that starts can be stored."""
    return state.store_health.failing_since_s == float("inf")


def plan(
    state: state_lib.State,
    step: dispatch.Step,
    planned: Sequence[job_state.Run],
) -> None:
    """Records the starts of a unit and lists the targets that are to run it."""
    schedule = state.schedule
    assert schedule is not None
    for run in planned:
        run.state = job_state.RunState.PLANNED
        run_records.record_planned(schedule, run)
    schedule.planned_starts.append(list(planned))
    for target_id in {run.target for run in planned}:
        # A listing in progress may wait for an end; a new one returns at once.
        polling.poll(state, step, schedule.targets[target_id])


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Sends the planned starts that are stored, and drops those in vain."""
    schedule = state.schedule
    if schedule is None or not schedule.planned_starts:
        return
    planned_starts, schedule.planned_starts = schedule.planned_starts, []
    for planned in planned_starts:
        job_id = planned[0].task.job_id
        guard = schedule.isolation.guard_job(step, job_id, "planned starts")
        with guard:
            _advance(state, step, planned)
        if guard.failed:
            _drop(state, step, planned, "of an error")


def _advance(
    state: state_lib.State,
    step: dispatch.Step,
    planned: list[job_state.Run],
) -> None:
    """Sends planned starts if they are ready, or drops them."""
    schedule = state.schedule
    assert schedule is not None
    if problem := _find_problem(state, step, planned):
        _drop(state, step, planned, problem)
    elif schedule.starts.has_room() and all(
        _is_ready(schedule, run) for run in planned
    ):
        _send(state, step, planned)
    else:
        schedule.planned_starts.append(planned)


def _is_planned(schedule: schedule_state.Schedule, run: job_state.Run) -> bool:
    target = schedule.targets.get(run.target)
    return (
        run.state is job_state.RunState.PLANNED
        and target is not None
        and target.runs.get((run.task, run.attempt)) is run
    )


def _is_ready(schedule: schedule_state.Schedule, run: job_state.Run) -> bool:
    """Returns whether a start is stored, and its target has answered."""
    target = schedule.targets[run.target]
    return _has_answered(target, run) and run_records.is_stored(schedule, run)


def _has_answered(target: schedule_state.Target, run: job_state.Run) -> bool:
    """Returns whether a target has answered since a start was planned."""
    return target.clock_s >= run.ordered_s


def _find_problem(
    state: state_lib.State,
    step: dispatch.Step,
    planned: Sequence[job_state.Run],
) -> str:
    """Returns why planned starts can't be sent any more, or ""."""
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    if not all(_is_planned(schedule, run) for run in planned):
        return "one of them was stopped or lost"
    if not leadership_bounds.may_start(state, now_s):
        return "this instance may not start work at present"
    if not evacuations.is_view_current(state, now_s):
        return "evacuations are not known"
    targets = [schedule.targets[run.target] for run in planned]
    for target in targets:
        if not _takes_work(schedule, target):
            return f"{target.id} takes no work any more"
    if now_s - planned[0].ordered_s >= PLAN_TIMEOUT_S:
        return _describe_delay(schedule, planned)
    return ""


def _describe_delay(
    schedule: schedule_state.Schedule, planned: Sequence[job_state.Run]
) -> str:
    """Returns what planned starts are still waiting for."""
    for run in planned:
        if not _has_answered(schedule.targets[run.target], run):
            return f"{run.target} has not answered"
        if not run_records.is_stored(schedule, run):
            return "the store has no record of them yet"
    return "too many other starts are in progress"


def _takes_work(
    schedule: schedule_state.Schedule, target: schedule_state.Target
) -> bool:
    return (
        incarnations.is_described(target)
        and target.listed
        and not target.is_draining()
        and not target.is_exceeded()
        and not target.failed
        and not evacuations.is_closed(schedule, target)
        and roster.may_use(schedule, target)
    )


def _send(
    state: state_lib.State,
    step: dispatch.Step,
    planned: Sequence[job_state.Run],
) -> None:
    schedule = state.schedule
    assert schedule is not None
    for run in planned:
        run.state = job_state.RunState.ORDERED
        run.ordered_s = run.progressed_s = step.moment.now_s
        orders.send_start(state, step, run)
        crash_budget.observe(schedule, run.target, step.moment.now_s)


def _drop(
    state: state_lib.State,
    step: dispatch.Step,
    planned: Sequence[job_state.Run],
    reason: str,
) -> None:
    """Gives up planned starts; none of them was sent."""
    schedule = state.schedule
    assert schedule is not None
    step.note(
        effects.Component.SCHEDULER,
        f"gave up {len(planned)} planned starts: {reason}",
        job=planned[0].task.job_id,
        attempt=planned[0].attempt,
        targets=sorted({run.target for run in planned}),
    )
    for run in planned:
        target = schedule.targets.get(run.target)
        if target is not None and not _has_answered(target, run):
            target.backoff_until_s = step.moment.now_s + orders.BACKOFF_S
        if _is_planned(schedule, run):
            runs.remove(schedule, run)
            run_records.forget_run(schedule, run.task, run.attempt)
