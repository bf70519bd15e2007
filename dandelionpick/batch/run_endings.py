"""Handles runs that end, and runs that are lost with their target."""

import enum
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick.batch import abandoned_starts
from dandelionpick.batch import crash_budget
from dandelionpick.batch import incarnations
from dandelionpick.batch import job_ends
from dandelionpick.batch import job_progress
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import orders
from dandelionpick.batch import run_records
from dandelionpick.batch import run_time_records
from dandelionpick.batch import runs
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import target_api
from dandelionpick.batch import target_health
from dandelionpick.batch import target_reliability


class Loss(enum.Enum):
    """Why a run is gone without a listed end.

    RESTARTED means that the target answers as another incarnation under its
    id, and REPLACED that one with another id answers at its address. EXPIRED
    means that the target has no entry and has not answered since its leases
    ended, UNHEARD the same for a target with an entry, UNLISTED that the target
    answers and does not know the run, and STOPPED that the target obeyed a stop
    and has not answered since.
    """

    RESTARTED = "the target has restarted"
    REPLACED = "another target has its address"
    SHUT_DOWN = "the target has shut down"
    EXPIRED = "the target is gone"
    UNHEARD = "the target did not answer before its leases ended"
    UNLISTED = "the target does not list it"
    STOPPED = "it was stopped before the target fell silent"


# Losses that are due to a crash of the target.
CRASHES = (Loss.RESTARTED, Loss.REPLACED, Loss.EXPIRED)


def handle_restart(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    started_ms: int,
) -> None:
    """Resets a target that has restarted.

    The runs that an earlier incarnation has confirmed are lost. What it has not
    confirmed is looked up, as the new one may run it.
    """
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    lost = [
        run
        for run in target.runs.values()
        if incarnations.has_ended_with(run, started_ms)
    ]
    if target.runs:
        step.note(
            effects.Component.TARGETS,
            f"{target.id} has restarted; {len(lost)} runs are lost,"
            f" {len(target.runs) - len(lost)} may be at work there",
            warning=True,
        )
    planned = target.is_draining()
    loss = Loss.SHUT_DOWN if planned else Loss.RESTARTED
    for run in lost:
        mark_lost(state, step, run, loss)
    for run in target.runs.values():
        run.stopped_s = float("inf")
        run.stop_sent_s = float("-inf")
        run.stop_pending = False
    if target.runs:
        # The end of a lease was set on the clock of the earlier incarnation.
        target.lease_ends_s = max(
            target.lease_ends_s, orders.longest_lease_end_s(state, now_s)
        )
    target.replaced = target.exit_evidence.departed = False
    target.started_ms = started_ms
    schedule.evidence.forget_target(target.id)
    target.announced_s = float("inf")
    target.processed = target.acknowledged = 0
    target.ends.clear()
    target.last_attempts.clear()
    target.listed = False
    target.has_more_ends = False
    target.poll_serial += 1
    target.poll_pending = False
    target.poll_at_s = now_s


def handle_replacement(
    state: state_lib.State, step: dispatch.Step, target: schedule_state.Target
) -> None:
    """Drops the runs of a target whose address another one has."""
    schedule = state.schedule
    assert schedule is not None
    if not target.replaced:
        step.note(
            effects.Component.TARGETS,
            f"another target answers at the address of {target.id};"
            f" {len(target.runs)} runs are lost",
            warning=True,
        )
        schedule.dirty = True
    target.replaced = True
    planned = target.is_draining()
    loss = Loss.SHUT_DOWN if planned else Loss.REPLACED
    mark_all_lost(state, step, target, loss)


def mark_all_lost(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    loss: Loss,
) -> None:
    """Marks all runs of a target as lost."""
    for run in list(target.runs.values()):
        mark_lost(state, step, run, loss)


def mark_lost(
    state: state_lib.State,
    step: dispatch.Step,
    run: job_state.Run,
    loss: Loss,
) -> None:
    """Removes a run that is gone without having ended."""
    schedule = state.schedule
    assert schedule is not None
    step.count("runs_total", "lost")
    step.note(
        effects.Component.SCHEDULER,
        f"run lost: {loss.value}",
        job=run.task.job_id,
        task=run.task.task_name(),
        attempt=run.attempt,
        target=run.target,
        state=run.state.value,
        percent=round(run.percent),
        since_start_s=round(step.moment.now_s - run.ordered_s, 2),
    )
    target = schedule.targets.get(run.target)
    if target is not None:
        abandoned_starts.record(target, run)
    runs.keep_checkpoint(schedule, run, run.checkpoint, run.percent)
    orders.stop_other_gang_members(state, step, run)
    runs.remove(schedule, run)
    if loss in CRASHES and run.state is not job_state.RunState.PLANNED:
        crash_budget.record_crash(state, step, run)
    else:
        run_records.forget_run(schedule, run.task, run.attempt)


def apply_end(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    ended: target_api.Ended,
) -> None:
    """Applies the end of a run that a target lists."""
    schedule = state.schedule
    assert schedule is not None
    step.count("runs_total", ended.ending.value)
    if target_reliability.record_end(schedule, step, target, ended):
        target_health.record_ending(target, ended.ending, step)
    target.last_attempts[ended.task] = max(
        ended.attempt, target.last_attempts.get(ended.task, ended.attempt)
    )
    run_records.forget_run(schedule, ended.task, ended.attempt)
    run = target.runs.get((ended.task, ended.attempt))
    if run is not None:
        run_time_records.record_end(state, step, run, ended.ending)
        runs.keep_checkpoint(schedule, run, ended.checkpoint, run.percent)
        runs.remove(schedule, run)
    job = schedule.jobs.get(ended.task.job_id)
    if job is None:
        target.ends.append((ended.number, ended.task.job_id, 0))
        return
    job.begun = True
    _apply_to_job(state, step, target, job, ended)
    target.ends.append((ended.number, job.id, job.version))


def _apply_to_job(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    job: job_state.Job,
    ended: target_api.Ended,
) -> None:
    schedule = state.schedule
    assert schedule is not None
    task = schedule.task_of(ended.task)
    if task is None:
        return
    step_run = job.steps[ended.task.occurrence, ended.task.step]
    until_cancelled = step_run.spec.until_cancelled
    if ended.ending is not model.Ending.DONE:
        step_run.undone_attempt = ended.attempt
    if ended.ending is model.Ending.DONE and not until_cancelled:
        _record_done(job, step_run, ended)
        schedule.unsaved.add(job.id)
        _stop_other_attempts(state, step, step_run, ended)
        run_time_records.note_step_end(state, step, job, step_run)
        job_ends.end_if_complete(state, step, job)
    elif ended.ending is model.Ending.FAILED and not task.done:
        task.avoided_targets.add(target.id)
        _record_failed(state, step, job, step_run, ended)
    else:
        step.note(
            effects.Component.SCHEDULER,
            f"task {ended.ending.value}",
            target=target.id,
            **_log_fields(ended),
        )


def _log_fields(ended: target_api.Ended) -> dict[str, Any]:
    """Returns the log fields of an end."""
    return {
        "job": ended.task.job_id,
        "task": ended.task.task_name(),
        "attempt": ended.attempt,
        "end": ended.number,
    }


def _record_failed(
    state: state_lib.State,
    step: dispatch.Step,
    job: job_state.Job,
    step_run: job_state.StepRun,
    ended: target_api.Ended,
) -> None:
    """Counts a failed run; failures of a gang are counted on its first task."""
    schedule = state.schedule
    assert schedule is not None
    index = 0 if step_run.spec.gang else ended.task.index
    task = step_run.tasks[index]
    job_progress.record_failure(job, task, ended.attempt)
    schedule.unsaved.add(job.id)
    step.note(
        effects.Component.SCHEDULER,
        f"task failed, for the {task.failures}. time of"
        f" {job.record.terms.max_attempts}",
        **_log_fields(ended),
    )
    if step_run.spec.until_cancelled or job.ended:
        return
    if task.failures >= job.record.terms.max_attempts:
        job_ends.end(state, step, job, model.JobState.FAILED)


def _record_done(
    job: job_state.Job,
    step_run: job_state.StepRun,
    ended: target_api.Ended,
) -> None:
    """Records that a task is done; one member of a gang stands for all."""
    if step_run.spec.gang:
        for task in step_run.tasks:
            job_progress.record_done(job, step_run, task.key.index)
    else:
        job_progress.record_done(job, step_run, ended.task.index)


def _stop_other_attempts(
    state: state_lib.State,
    step: dispatch.Step,
    step_run: job_state.StepRun,
    ended: target_api.Ended,
) -> None:
    """Stops the other attempts of a task that is done.

    Members of the gang that belong to the same attempt are not stopped; their
    own ends are listed.
    """
    tasks = (
        step_run.tasks
        if step_run.spec.gang
        else [step_run.tasks[ended.task.index]]
    )
    for task in tasks:
        for run in list(task.runs.values()):
            if run.attempt != ended.attempt:
                orders.stop(state, step, run)
