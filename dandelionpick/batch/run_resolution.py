"""Finds out what has become of runs whose target did not tell.

Stops starts without a reply that did not take effect, repeats stops, and drops
the runs that are lost.
"""

from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import incarnations
from dandelionpick.batch import job_state
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import orders
from dandelionpick.batch import run_endings
from dandelionpick.batch import schedule_state
from dandelionpick.batch import start_repetition
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import unheard_runs

# A start without a reply is normally looked up. If its target can't be listed
# either for this long, it is stopped, so that its gang starts again elsewhere
# well within the 3 s that its members wait.
UNRESOLVED_TIMEOUT_S = 1.5


def resolve(
    state: state_lib.State, step: dispatch.Step, target: schedule_state.Target
) -> None:
    """Stops unresolved starts, repeats stops, and drops lost runs.

    The runs of a target are lost if it has left. If it fails to answer after
    its lease ended, those are lost that can't have ended before.
    """
    now_s = step.moment.now_s
    if _has_restarted_unlisted(target):
        assert target.entry is not None
        run_endings.handle_restart(state, step, target, target.entry.started_ms)
    has_exited = target.failed and target.exit_evidence.proves_exit(
        state.limits.heartbeat_s
    )
    if has_exited and target.runs:
        step.note(
            effects.Component.TARGETS,
            f"{target.id} has shut down; {len(target.runs)} runs are lost",
        )
        run_endings.mark_all_lost(
            state, step, target, run_endings.Loss.SHUT_DOWN
        )
        return
    if target.failed and target.runs:
        _drop_stopped_runs(state, step, target)
    # A successor may have extended the leases, unless there was none.
    lapsed = leadership_bounds.key_confirmed_s(state) > target.lease_ends_s
    if target.failed and lapsed and target.runs:
        _drop_lost_runs(state, step, target)
    unresolved_state = job_state.RunState.UNRESOLVED
    stopping_state = job_state.RunState.STOPPING
    unsettled = [
        run
        for run in target.runs.values()
        if run.state is unresolved_state or run.state is stopping_state
    ]
    for run in unsettled:
        unresolved = run.state is unresolved_state
        if unresolved and not _should_stop_unresolved(run, now_s):
            continue
        if now_s - run.stop_sent_s >= orders.STOP_RETRY_S:
            if unresolved:
                orders.stop_other_gang_members(state, step, run)
            orders.stop(state, step, run)


def _has_restarted_unlisted(target: schedule_state.Target) -> bool:
    """Returns whether a target that can't be listed reports its restart."""
    return (
        target.failed
        and target.entry is not None
        and incarnations.is_later(target, target.entry.started_ms)
        and target.exit_evidence.unanswered_s >= target.announced_s
    )


def _drop_lost_runs(
    state: state_lib.State, step: dispatch.Step, target: schedule_state.Target
) -> None:
    """Drops the runs of a target without leases that are lost."""
    schedule = state.schedule
    assert schedule is not None
    lost = [
        run
        for run in target.runs.values()
        if unheard_runs.is_lost(schedule, target, run)
    ]
    waiting = len(target.runs) - len(lost)
    if lost or not target.unheard:
        step.note(
            effects.Component.TARGETS,
            f"{target.id} has not answered since its lease ended;"
            f" {len(lost)} runs are lost, {waiting} may have ended there",
            warning=True,
            registered=target.entry is not None,
            silent_s=round(step.moment.now_s - target.failing_since_s, 1),
        )
    target.unheard = True
    if target.exit_evidence.departed:
        loss = run_endings.Loss.SHUT_DOWN
    elif target.entry is None:
        loss = run_endings.Loss.EXPIRED
    else:
        loss = run_endings.Loss.UNHEARD
    for run in lost:
        run_endings.mark_lost(state, step, run, loss)


def _drop_stopped_runs(
    state: state_lib.State, step: dispatch.Step, target: schedule_state.Target
) -> None:
    """Drops the runs of a silent target that have ended by a stop."""
    schedule = state.schedule
    assert schedule is not None
    for run in list(target.runs.values()):
        if unheard_runs.has_stopped(
            schedule, target, run, step.moment.now_s, state.limits.stop_s
        ):
            run_endings.mark_lost(state, step, run, run_endings.Loss.STOPPED)


def _should_stop_unresolved(run: job_state.Run, now_s: float) -> bool:
    """Returns whether to stop a start without a reply, or repeat its stop."""
    return (
        run.stop_sent_s > float("-inf")
        or now_s - run.unresolved_s >= UNRESOLVED_TIMEOUT_S
    )


def mark_missing_lost(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    sent_s: float,
    listed_keys: set[tuple[Any, ids.Attempt]],
) -> None:
    """Marks runs as lost that a later listing proves to be gone."""
    for key, run in list(target.runs.items()):
        if key in listed_keys:
            continue
        if min(run.confirmed_s, run.stopped_s) < sent_s:
            restarted = incarnations.precedes_restart(target, run)
            loss = (
                run_endings.Loss.RESTARTED
                if restarted
                else run_endings.Loss.UNLISTED
            )
            run_endings.mark_lost(state, step, run, loss)


def stop_missing_unresolved(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    sent_s: float,
) -> None:
    """Repeats or stops starts without a reply that a later listing lacks.

    The stop keeps them from taking effect later. Other members of the gang
    would wait for them in vain.
    """
    for run in list(target.runs.values()):
        if (
            run.state is job_state.RunState.UNRESOLVED
            and run.unresolved_s <= sent_s
            and run.stop_sent_s == float("-inf")
            and not start_repetition.repeat(state, step, target, run)
        ):
            step.note(
                effects.Component.SCHEDULER,
                "stopping a start without a reply, which a later listing lacks",
                job=run.task.job_id,
                task=run.task.task_name(),
                attempt=run.attempt,
                target=target.id,
                unresolved_s=round(step.moment.now_s - run.unresolved_s, 3),
            )
            orders.stop_other_gang_members(state, step, run)
            orders.stop(state, step, run)
