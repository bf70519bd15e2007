"""Decides which runs of a silent target are lost.

A run whose lease ended was killed, unless it had ended as done before. A target
that is cut off from the scheduler and not from the store still holds that end,
and its work must not run twice. Runs that may have ended wait until the target
answers, or until the store has forgotten its entry because it has crashed. One
that had obeyed a stop has ended with that, before its lease does.
"""

from dandelionpick.batch import job_state
from dandelionpick.batch import preemption_gain
from dandelionpick.batch import schedule_state

# A run may be this many times as fast after the last listing as before, because
# the target was slowed down for a while.
SPEED_UP_FACTOR = 2.0
# Covers the time that the reply to a stop takes, and clocks that run slow.
STOP_MARGIN_S = 0.2


def is_lost(
    schedule: schedule_state.Schedule,
    target: schedule_state.Target,
    run: job_state.Run,
) -> bool:
    """Returns whether a run on a target without leases can be started again."""
    if target.entry is None:
        return True
    job = schedule.jobs.get(run.task.job_id)
    step_run = job and job.steps.get((run.task.occurrence, run.task.step))
    if not job or not step_run or job.ended:
        return True
    spec = step_run.spec
    if spec.until_cancelled or spec.duplicates_allowed:
        return True
    if spec.gang and _has_reachable_member(schedule, step_run, run):
        return True
    return not _may_have_ended(target, run, target.lease_ends_s)


def has_stopped(
    schedule: schedule_state.Schedule,
    target: schedule_state.Target,
    run: job_state.Run,
    now_s: float,
    stop_s: float,
) -> bool:
    """Returns whether a run on a silent target has ended by a stop.

    Args:
        schedule: the schedule.
        target: the target, which does not answer.
        run: the run.
        now_s: the current time.
        stop_s: how long a stop takes at most.
    """
    ended_s = run.stopped_s + stop_s + STOP_MARGIN_S
    if now_s < ended_s:
        return False
    job = schedule.jobs.get(run.task.job_id)
    step_run = job and job.steps.get((run.task.occurrence, run.task.step))
    if not job or not step_run or job.ended:
        return True
    # The members of a gang end together.
    if step_run.spec.gang and step_run.undone_attempt == run.attempt:
        return True
    return not _may_have_ended(target, run, ended_s)


def _has_reachable_member(
    schedule: schedule_state.Schedule,
    step_run: job_state.StepRun,
    run: job_state.Run,
) -> bool:
    """Returns whether another target tells how the run's gang ended.

    The members of a gang end together, so that a member that has ended
    otherwise, or is still running, shows that the gang has not ended as done.
    """
    for task in step_run.tasks:
        member = task.runs.get(run.attempt)
        if member is None:
            return True
        target = schedule.targets.get(member.target)
        if (
            target is not None
            and not target.failed
            and not target.has_more_ends
        ):
            return True
    return False


def _may_have_ended(
    target: schedule_state.Target, run: job_state.Run, end_s: float
) -> bool:
    """Returns whether a run may have ended as done by a time."""
    if target.has_more_ends:
        return True
    remaining_s = preemption_gain.remaining_s(run, run.progressed_s)
    if remaining_s == float("inf"):
        return True
    earliest_s = run.progressed_s + remaining_s / SPEED_UP_FACTOR
    return earliest_s <= end_s
