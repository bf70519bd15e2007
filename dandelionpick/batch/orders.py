"""Sends start and stop orders to targets and applies their replies."""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import fencing
from dandelionpick.batch import incarnations
from dandelionpick.batch import job_state
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import run_records
from dandelionpick.batch import runs
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import target_api

# Fifteen round trips between regions; a start without a reply by then is
# resolved by listing the target's runs.
START_TIMEOUT_S = 0.4
STOP_TIMEOUT_S = 0.8
STOP_RETRY_S = 0.5
# Stops on their way at the same time. The rest of a job with thousands of runs
# is stopped as replies arrive.
MAX_STOPS_IN_FLIGHT = 256
# No work is started for this long on a target that refused a start or did not
# reply to one.
BACKOFF_S = 0.7
# Keeps leases below the longest that targets grant, so that rounding and clock
# drift don't shorten them.
LEASE_MARGIN_S = 0.1
CLOCK_MARGIN_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class StartContext:
    """Context of a call that starts a run."""

    epoch: ids.Epoch
    run: job_state.Run
    snapshot: incarnations.Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class StopContext:
    """Context of a call that stops a run."""

    epoch: ids.Epoch
    run: job_state.Run
    snapshot: incarnations.Snapshot


def destination(target: schedule_state.Target) -> effects.Destination:
    """Returns the destination of orders to a target."""
    return effects.Destination(kinds.Service.WORKER, target.id, target.address)


def lease_until_ms(
    state: state_lib.State, target: schedule_state.Target, now_s: float
) -> int:
    """Returns when a lease that starts now ends, on the target's clock.

    Also records when it ends at the latest if the target's clock is slow.
    """
    lease_s = state.limits.run_lease_s - LEASE_MARGIN_S
    clock_ms = target.clock_ms + (now_s - target.clock_s) * 1_000
    elapsed_s = now_s - target.clock_s
    ends_s = (
        target.clock_s
        + (elapsed_s + lease_s) * leadership_bounds.CLOCK_DRIFT_FACTOR
    )
    ends_s += CLOCK_MARGIN_S
    target.lease_ends_s = max(target.lease_ends_s, ends_s)
    # A record of an earlier end must not be stored any more.
    target.silent_until_ms = 0
    return int(clock_ms + lease_s * 1_000)


def longest_lease_end_s(state: state_lib.State, now_s: float) -> float:
    """Returns when the leases granted so far have ended at the latest."""
    lease_s = state.limits.run_lease_s * leadership_bounds.CLOCK_DRIFT_FACTOR
    return now_s + lease_s + CLOCK_MARGIN_S


def add_run(
    schedule: schedule_state.Schedule,
    task: job_state.Task,
    step_run: job_state.StepRun,
    target_id: ids.TargetId,
    attempt: ids.Attempt,
    now_s: float,
) -> job_state.Run:
    """Adds a run of a task, whose start is to be sent to a target."""
    run = job_state.Run(
        task.key,
        attempt,
        target_id,
        runs.occupied_resources(step_run.spec),
        job_state.RunState.ORDERED,
        now_s,
        sent_to_ms=incarnations.known_start_ms(schedule.targets[target_id]),
        progressed_s=now_s,
        percent=task.percent,
        first_percent=task.percent,
        checkpoint=task.checkpoint,
    )
    runs.add(schedule, run, task)
    task.accounted = True
    return run


def send_start(
    state: state_lib.State, step: dispatch.Step, run: job_state.Run
) -> None:
    """Orders a target to start a run, without waiting for the reply."""
    schedule = state.schedule
    assert schedule is not None
    job = schedule.jobs[run.task.job_id]
    target = schedule.targets[run.target]
    now_s = step.moment.now_s
    message = target_api.StartRun(
        run.target,
        schedule.epoch,
        run.task,
        run.attempt,
        job.record.spec.payload,
        lease_until_ms(state, target, now_s),
        run.checkpoint,
    )
    schedule.starts.record_sent()
    schedule.unanswered_starts.append(run)
    context = StartContext(
        schedule.epoch, run, incarnations.take_snapshot(target, now_s)
    )
    dispatch.call(
        state, step, destination(target), message, context, START_TIMEOUT_S
    )
    target.poll_at_s = min(target.poll_at_s, now_s)


def stop(
    state: state_lib.State, step: dispatch.Step, run: job_state.Run
) -> None:
    """Stops a run; its resources are freed once its end is listed."""
    schedule = state.schedule
    assert schedule is not None
    if run.state is not job_state.RunState.UNRESOLVED:
        run.state = job_state.RunState.STOPPING
    if run.stop_pending or run.stopped_s < step.moment.now_s:
        return
    target = schedule.targets.get(run.target)
    if target is None or schedule.stops_in_flight >= MAX_STOPS_IN_FLIGHT:
        return
    schedule.stops_in_flight += 1
    run.stop_pending = True
    run.stop_sent_s = step.moment.now_s
    message = target_api.StopRun(
        run.target, schedule.epoch, run.task, run.attempt
    )
    snapshot = incarnations.take_snapshot(target, step.moment.now_s)
    context = StopContext(schedule.epoch, run, snapshot)
    dispatch.call(
        state, step, destination(target), message, context, STOP_TIMEOUT_S
    )


def stop_job(
    state: state_lib.State, step: dispatch.Step, job: job_state.Job
) -> None:
    """Stops all runs of a job."""
    for step_run in job.steps.values():
        stop_step(state, step, step_run)


def stop_step(
    state: state_lib.State,
    step: dispatch.Step,
    step_run: job_state.StepRun,
) -> None:
    """Stops all runs of a step."""
    for task in step_run.tasks:
        for run in list(task.runs.values()):
            stop(state, step, run)


def stop_other_gang_members(
    state: state_lib.State, step: dispatch.Step, run: job_state.Run
) -> None:
    """Stops the other members of a run's gang, which can't work without it."""
    schedule = state.schedule
    assert schedule is not None
    job = schedule.jobs.get(run.task.job_id)
    step_run = job and job.steps.get((run.task.occurrence, run.task.step))
    if not step_run or not step_run.spec.gang:
        return
    for task in step_run.tasks:
        other = task.runs.get(run.attempt)
        if other is not None and other is not run:
            stop(state, step, other)


def _target_if_current(
    state: state_lib.State,
    epoch: ids.Epoch,
    run: job_state.Run,
) -> schedule_state.Target | None:
    """Returns the run's target, or None if the run or epoch is obsolete."""
    schedule = state.schedule
    if schedule is None or schedule.epoch != epoch:
        return None
    target = schedule.targets.get(run.target)
    if target is None or target.runs.get((run.task, run.attempt)) is not run:
        return None
    return target


def _record_start_result(
    context: StartContext, state: state_lib.State, now_s: float, replied: bool
) -> None:
    """Updates the bound on starts in flight after one of them."""
    schedule = state.schedule
    if schedule is None or schedule.epoch != context.epoch:
        return
    if replied:
        sent_s = context.snapshot.ordered_s
        schedule.starts.record_reply(now_s, now_s - sent_s)
    else:
        schedule.starts.record_failure(now_s)
    schedule.dirty |= schedule.starts.exhausted


@dispatch.on_reply.register
def _(
    context: StartContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    run = context.run
    _record_start_result(context, state, step.moment.now_s, replied=True)
    if isinstance(reply, target_api.Rejected):
        step.count("orders_total", "start", reply.problem.value)
    if fencing.is_fenced(reply):
        fencing.handle_fenced(state, step, context.epoch)
        return
    target = _target_if_current(state, context.epoch, run)
    if target is None:
        return
    if isinstance(reply, target_api.Obeyed):
        if run.state in (
            job_state.RunState.ORDERED,
            job_state.RunState.UNRESOLVED,
        ):
            run.state = job_state.RunState.RUNNING
        _record_started(state, step, context, target, reply)
        return
    _handle_not_started(state, step, run, target, str(reply.problem.value))


def _record_started(
    state: state_lib.State,
    step: dispatch.Step,
    context: StartContext,
    target: schedule_state.Target,
    reply: target_api.Obeyed,
) -> None:
    """Records that a target has confirmed a start."""
    assert state.schedule is not None
    now_s = step.moment.now_s
    origin = incarnations.origin_of_reply(
        context.snapshot, reply.clock_ms, now_s
    )
    known = origin is incarnations.Origin.KNOWN
    run_records.record_running(
        state.schedule,
        context.run,
        now_s,
        context.snapshot.started_ms if known else 0,
    )
    if origin is incarnations.Origin.LATER:
        step.note(
            effects.Component.TARGETS,
            f"{target.id} has restarted, by its clock; listing it",
        )
        target.poll_pending = False
        target.poll_at_s = now_s


@dispatch.on_failure.register
def _(
    context: StartContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    run = context.run
    _record_start_result(context, state, step.moment.now_s, replied=False)
    step.count("orders_total", "start", failure.value)
    target = _target_if_current(state, context.epoch, run)
    if target is None:
        return
    if failure is kinds.CallFailure.NOT_SENT:
        _handle_not_started(state, step, run, target, failure.value)
        return
    target.backoff_until_s = step.moment.now_s + BACKOFF_S
    if run.state is job_state.RunState.ORDERED:
        run.state = job_state.RunState.UNRESOLVED
        run.unresolved_s = step.moment.now_s
        # A listing in progress may still wait for an end; a new one returns at
        # once.
        target.poll_pending = False
        target.poll_at_s = step.moment.now_s


def _handle_not_started(
    state: state_lib.State,
    step: dispatch.Step,
    run: job_state.Run,
    target: schedule_state.Target,
    reason: str,
) -> None:
    """Frees the resources of a run that was refused or never sent."""
    schedule = state.schedule
    assert schedule is not None
    step.note(
        effects.Component.TARGETS,
        f"{target.id} did not start {run.task.job_id}.{run.task.task_name()}:"
        f" {reason}",
        warning=True,
    )
    target.backoff_until_s = step.moment.now_s + BACKOFF_S
    task = schedule.task_of(run.task)
    if task is not None:
        task.avoided_targets.add(target.id)
    stop_other_gang_members(state, step, run)
    runs.remove(schedule, run)
    run_records.forget_run(schedule, run.task, run.attempt)


@dispatch.on_reply.register
def _(
    context: StopContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    run = context.run
    _record_stop_ended(context, state)
    if fencing.is_fenced(reply):
        fencing.handle_fenced(state, step, context.epoch)
        return
    target = _target_if_current(state, context.epoch, run)
    if target is None:
        return
    if isinstance(reply, target_api.Obeyed):
        now_s = step.moment.now_s
        origin = incarnations.origin_of_reply(
            context.snapshot, reply.clock_ms, now_s
        )
        # A stop that another incarnation has carried out is repeated.
        if (
            origin is incarnations.Origin.KNOWN
            and context.snapshot.started_ms == target.started_ms
        ):
            run.stopped_s = min(run.stopped_s, now_s)
        target.poll_at_s = now_s
    else:
        step.count("orders_total", "stop", reply.problem.value)


@dispatch.on_failure.register
def _(
    context: StopContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    step.count("orders_total", "stop", failure.value)
    _record_stop_ended(context, state)


def _record_stop_ended(context: StopContext, state: state_lib.State) -> None:
    """Updates the number of stops in flight after one of them."""
    context.run.stop_pending = False
    schedule = state.schedule
    if schedule is not None and schedule.epoch == context.epoch:
        schedule.stops_in_flight -= 1
