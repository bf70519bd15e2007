"""Lists the runs of each target, which also extends their lease."""

import collections
import dataclasses
import sys
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import abandoned_starts
from dandelionpick.batch import fencing
from dandelionpick.batch import incarnations
from dandelionpick.batch import isolation
from dandelionpick.batch import job_state
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import listing_order
from dandelionpick.batch import orders
from dandelionpick.batch import parking
from dandelionpick.batch import roster
from dandelionpick.batch import run_adoption
from dandelionpick.batch import run_endings
from dandelionpick.batch import run_records
from dandelionpick.batch import run_resolution
from dandelionpick.batch import schedule_state
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import takeover_holds
from dandelionpick.batch import target_api
from dandelionpick.batch import target_health
from dandelionpick.batch import target_release
from dandelionpick.batch import target_reliability

# How long a listing waits for an end. A connection that has gone silent is
# noticed soon after, well within the lease.
WAIT_S = takeover_holds.LISTING_WAIT_S
# The same while the stop of a start without a reply has to be confirmed.
UNRESOLVED_WAIT_S = 0.15
# Interval between listings while ends can't be stored. Such ends are not
# acknowledged, so each listing returns them at once instead of waiting.
UNSAVED_PERIOD_S = 0.25
RETRY_S = 0.25
# A target is listed again at once while no more than this many tasks run.
# Beyond that, some 30,000 runs are listed a second.
FREELY_LISTED_RUNS = 2_000
PAUSE_PER_RUN_S = 0.000_03
# Version of a job's progress for ends that could not be applied.
NEVER_STORED = sys.maxsize
# The shortest time after which a listing, or the connection for it, times out,
# in addition to the requested wait.
MIN_TIMEOUT_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ListContext:
    """Context of a call that lists a target; see ListRuns."""

    epoch: ids.Epoch
    target: ids.TargetId
    serial: int
    sent_s: float
    wait_s: float
    acknowledged: int = 0


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Sends the listings that are due, and resolves uncertain runs."""
    schedule = state.schedule
    now_s = step.moment.now_s
    if schedule is None or not leadership_bounds.may_list(state, now_s):
        return
    if schedule.stage is stages.Stage.READING:
        return
    leadership_bounds.record_obedience(schedule)
    if leadership_bounds.may_send_orders(state, now_s):
        for target in list(schedule.targets.values()):
            with isolation.guard_target(step, target.id, "resolving"):
                run_resolution.resolve(state, step, target)
    if not leadership_bounds.is_key_confirmed(state, now_s):
        listing_order.list_idle_targets_sooner(schedule)
    for target in listing_order.due_targets(schedule, now_s):
        with isolation.guard_target(step, target.id, "listing"):
            poll(state, step, target)


def poll(
    state: state_lib.State, step: dispatch.Step, target: schedule_state.Target
) -> None:
    """Lists a target's runs, and extends their leases if that is allowed."""
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    if not leadership_bounds.may_list(state, now_s):
        return
    target.poll_pending = True
    target.poll_serial += 1
    target.poll_sent_s = now_s
    reachable = target.listed and not target.failed
    extend = (
        reachable
        and target.runs
        and roster.may_use(schedule, target)
        and leadership_bounds.may_send_orders(state, now_s)
    )
    lease_until_ms = (
        orders.lease_until_ms(state, target, now_s) if extend else None
    )
    message = target_api.ListRuns(
        target.id,
        schedule.epoch,
        _acknowledged(schedule, target, now_s),
        lease_until_ms,
        _wait_s(target) if reachable else 0.0,
    )
    context = ListContext(
        schedule.epoch,
        target.id,
        target.poll_serial,
        now_s,
        message.wait_s,
        message.acknowledged,
    )
    dispatch.call(
        state,
        step,
        orders.destination(target),
        message,
        context,
        WAIT_S + 1.0,
    )


def _wait_s(target: schedule_state.Target) -> float:
    in_state = collections.defaultdict(list)
    for run in target.runs.values():
        in_state[run.state].append(run)
    planned = in_state[job_state.RunState.PLANNED]
    if not target.runs or any(target.clock_s < it.ordered_s for it in planned):
        return 0.0
    unresolved = in_state[job_state.RunState.UNRESOLVED]
    if not unresolved:
        return WAIT_S
    stopped = all(run.stop_sent_s > float("-inf") for run in unresolved)
    return UNRESOLVED_WAIT_S if stopped else 0.0


def _acknowledged(
    schedule: schedule_state.Schedule,
    target: schedule_state.Target,
    now_s: float,
) -> int:
    """Returns up to which number a target may forget its ends; 0 for none."""
    stored = _drop_stored_ends(schedule, target)
    if stored > target.acknowledged and incarnations.may_acknowledge(
        target, now_s
    ):
        return stored
    return 0


def _drop_stored_ends(
    schedule: schedule_state.Schedule, target: schedule_state.Target
) -> int:
    """Forgets the leading ends that are stored; returns the last's number."""
    stored = target_release.stored_ends(schedule, target)
    target.ends = [end for end in target.ends if end[0] > stored]
    return stored


@dispatch.on_failure.register
def _(
    context: ListContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    target = _target_of(context, state)
    if target is None:
        return
    timeout_s = MIN_TIMEOUT_S
    if failure is kinds.CallFailure.LOST:
        timeout_s += context.wait_s
    # A call that fails before its timeout was broken off or refused.
    now_s = step.moment.now_s
    if now_s - context.sent_s < timeout_s:
        evidence = target.exit_evidence
        evidence.closed_s = min(evidence.closed_s, now_s)
    _record_failed_listing(step, target, context, failure.value)


def _target_of(
    context: ListContext, state: state_lib.State
) -> schedule_state.Target | None:
    schedule = state.schedule
    if schedule is None or schedule.epoch != context.epoch:
        return None
    target = schedule.targets.get(context.target)
    if target is None or target.poll_serial != context.serial:
        return None
    return target


def _record_failed_listing(
    step: dispatch.Step,
    target: schedule_state.Target,
    context: ListContext,
    reason: str,
) -> None:
    target.poll_pending = False
    target.exit_evidence.unanswered_s = context.sent_s
    target.poll_at_s = step.moment.now_s + RETRY_S * target.listed
    if not target.failed:
        target.failed = True
        target.failing_since_s = context.sent_s
        step.note(
            effects.Component.TARGETS,
            f"{target.id} can't be listed: {reason}",
            warning=True,
        )


@dispatch.on_reply.register
def _(
    context: ListContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    if fencing.is_fenced(reply):
        fencing.handle_fenced(state, step, context.epoch)
        return
    target = _target_of(context, state)
    if target is None:
        return
    if isinstance(reply, target_api.Rejected):
        _record_failed_listing(step, target, context, reply.problem.value)
        if reply.problem is target_api.OrderProblem.OTHER_LIFE:
            run_endings.handle_replacement(state, step, target)
            target.poll_at_s = step.moment.now_s + listing_order.IDLE_PERIOD_S
        return
    _apply_listing(state, step, target, context, reply)


def _apply_listing(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    context: ListContext,
    listed: target_api.RunsListed,
) -> None:
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    _record_answer(state, step, target, context, listed)
    target.obeyed_s = max(target.obeyed_s, context.sent_s)
    for ended in sorted(listed.ended, key=lambda ended: ended.number):
        if ended.number > target.processed:
            target.processed = ended.number
            _apply_end(state, step, target, ended)
    listed_s = _listed_s(context, listed, now_s)
    listed_keys = set()
    for running in listed.running:
        listed_keys.add((running.task, running.attempt))
        job_id = running.task.job_id
        parking.unpark(schedule, step, job_id)
        with schedule.isolation.guard_job(step, job_id, "a listed run"):
            _apply_running(state, step, target, running, listed_s)
    target.has_more_ends = listed.has_more_ends
    if not listed.has_more_ends:
        run_resolution.mark_missing_lost(
            state, step, target, context.sent_s, listed_keys
        )
    run_resolution.stop_missing_unresolved(state, step, target, context.sent_s)
    target_health.reschedule_stalled_runs(state, step, target)
    _plan_next_listing(state, step, target)


def _plan_next_listing(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
) -> None:
    """Lists a target that has answered again, now or later."""
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    has_stored_ends = _drop_stored_ends(schedule, target) > target.acknowledged
    if schedule.stage is stages.Stage.FENCING:
        # The next targets are listed without waiting for a tick.
        tick(state, step)
    pause_s = pause_between_listings_s(schedule)
    if target.ends and not has_stored_ends:
        target.poll_at_s = now_s + max(UNSAVED_PERIOD_S, pause_s)
    elif has_stored_ends or (target.runs and not pause_s):
        target.poll_at_s = now_s
        if not target.poll_pending:
            poll(state, step, target)
    elif target.runs:
        target.poll_at_s = now_s + pause_s
    elif abandoned_starts.has_any(target, now_s):
        target.poll_at_s = now_s + abandoned_starts.LISTING_PERIOD_S
    else:
        target.poll_at_s = now_s + listing_order.IDLE_PERIOD_S


def pause_between_listings_s(schedule: schedule_state.Schedule) -> float:
    """Returns how long to wait between two listings of a busy target.

    Each listing has all runs of its target. If thousands of short tasks run,
    their ends would have the targets listed all the time.
    """
    return max(0, schedule.run_count - FREELY_LISTED_RUNS) * PAUSE_PER_RUN_S


def _apply_end(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    ended: target_api.Ended,
) -> None:
    """Applies an end, or keeps the target from forgetting it."""
    schedule = state.schedule
    assert schedule is not None
    job_id = ended.task.job_id
    parking.unpark(schedule, step, job_id)
    guard = schedule.isolation.guard_job(step, job_id, "an end")
    with guard:
        run_endings.apply_end(state, step, target, ended)
    if guard.failed:
        # Its task may be done, so that it must not start again.
        schedule.isolation.isolate(step, job_id, "an end can't be applied")
        target.ends.append((ended.number, job_id, NEVER_STORED))


def _listed_s(
    context: ListContext, listed: target_api.RunsListed, now_s: float
) -> float:
    """Returns the time after which a target has made up a listing."""
    if listed.ended:
        return context.sent_s
    # It has waited for an end, on a clock that may be fast.
    waited_s = context.wait_s / leadership_bounds.CLOCK_DRIFT_FACTOR
    return min(now_s, context.sent_s + waited_s)


def _record_answer(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    context: ListContext,
    listed: target_api.RunsListed,
) -> None:
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    if incarnations.is_other(target, listed.started_ms):
        run_endings.handle_restart(state, step, target, listed.started_ms)
        _note_unseen_ends(step, target, context)
    else:
        target.started_ms = target.started_ms or listed.started_ms
        target.acknowledged = max(target.acknowledged, context.acknowledged)
    if target.failed:
        step.note(effects.Component.TARGETS, f"{target.id} can be listed again")
    target.poll_pending = False
    target.failed = False
    target.exit_evidence.record_answer(now_s)
    target.unheard = False
    target.replaced = False
    target.failing_since_s = float("inf")
    target.announced_s = float("inf")
    target.clock_ms = listed.clock_ms
    target.clock_s = now_s
    target.listing_sent_s = context.sent_s
    if not target.listed:
        abandoned_starts.stop_all(state, step, target)
        target.listed = True
        target.first_listed_s = now_s
        schedule.dirty = True
        if target.unlisted_until_s > float("-inf"):
            schedule.fenced_s = min(schedule.fenced_s, now_s)
        # An earlier scheduler may have extended the lease just before this.
        target.lease_ends_s = max(
            target.lease_ends_s, orders.longest_lease_end_s(state, now_s)
        )


def _note_unseen_ends(
    step: dispatch.Step, target: schedule_state.Target, context: ListContext
) -> None:
    if context.acknowledged:
        step.note(
            effects.Component.TARGETS,
            f"{target.id} restarted before it got an acknowledgement; its ends"
            f" up to {context.acknowledged} were not seen",
            warning=True,
        )


def _apply_running(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    running: target_api.Running,
    listed_s: float,
) -> None:
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    if running.attempt <= target.last_attempts.get(running.task, -1):
        return
    run = target.runs.get((running.task, running.attempt))
    if run is None:
        run = run_adoption.adopt(state, step, target, running)
    if run.state in (
        job_state.RunState.ORDERED,
        job_state.RunState.UNRESOLVED,
    ):
        run.state = job_state.RunState.RUNNING
    run_records.record_running(schedule, run, now_s, target.started_ms)
    takeover_holds.account(schedule, target, running.task, listed_s)
    if running.percent > run.percent:
        run.progressed_s = now_s
    run.percent = running.percent
    if running.checkpoint:
        run.checkpoint = running.checkpoint
    target_reliability.record_progress(schedule, step, target, run)
