"""Decides which runs of a silent target are lost when its leases have ended.

A run whose lease ended was killed, unless it had ended as done before. A target
that is cut off from the scheduler and not from the store still holds that end,
and its work must not run twice. Runs that may have ended wait until the target
answers, or until the store has forgotten its entry because it has crashed.
"""

from dandelionpick import ids
from dandelionpick.batch import model
from dandelionpick.batch import preemption_gain
from dandelionpick.batch import schedule_state

# A run may be this many times as fast after the last listing as before, because
# the target was slowed down for a while.
SPEED_UP_FACTOR = 2.0


def is_lost(
    schedule: schedule_state.Schedule,
    target: schedule_state.Target,
    run: schedule_state.Run,
) -> bool:
    """Returns whether a run on a target without leases can be started again."""
    if target.entry is None:
        return True
    job = schedule.jobs.get(run.task.job_id)
    step_run = job and job.steps.get((run.task.occurrence, run.task.step))
    if not job or not step_run or job.ended:
        return True
    spec = step_run.spec
    if _may_run_again(spec):
        return True
    if spec.gang and _has_reachable_member(schedule, step_run, run):
        return True
    return not _may_have_ended(target, run)


def unread_targets(
    schedule: schedule_state.Schedule, now_s: float
) -> frozenset[ids.TargetId]:
    """Returns the targets whose ends a new scheduler still waits for.

    Those without an entry have crashed or left; they hold no ends.
    """
    return frozenset(
        target.id
        for target in schedule.targets.values()
        if target.entry is not None
        and not target.listed
        and not target.replaced
        and now_s < target.unlisted_until_s
    )


def may_be_done_unread(
    schedule: schedule_state.Schedule,
    step_run: schedule_state.StepRun,
    task: schedule_state.Task,
    unread: frozenset[ids.TargetId],
) -> bool:
    """Returns whether an unread target may hold the end of a task's run.

    Its leases have ended, but a run that is recorded there may have been done
    before. The progress of the run is not known.

    Args:
        schedule: the schedule.
        step_run: the step of the task.
        task: a task without a run.
        unread: the targets that were not listed.
    """
    if _may_run_again(step_run.spec):
        return False
    return any(
        _is_unread(schedule, record, unread)
        and not (
            step_run.spec.gang
            and _is_recorded_elsewhere(step_run, record, unread)
        )
        for record in task.records
    )


def _is_unread(
    schedule: schedule_state.Schedule,
    record: model.RunRecord,
    unread: frozenset[ids.TargetId],
) -> bool:
    """Returns whether a recorded run was on a target that was not listed."""
    if record.target not in unread:
        return False
    known_ms = schedule.targets[record.target].incarnation_ms()
    return known_ms in (0, record.target_started_ms)


def _is_recorded_elsewhere(
    step_run: schedule_state.StepRun,
    record: model.RunRecord,
    unread: frozenset[ids.TargetId],
) -> bool:
    """Returns whether a listed target has told how the run's gang ended."""
    return any(
        member.attempt == record.attempt and member.target not in unread
        for task in step_run.tasks
        for member in task.records
    )


def _may_run_again(spec: model.StepSpec) -> bool:
    """Returns whether a second run of a task that is done does no harm."""
    return spec.until_cancelled or spec.duplicates_allowed


def _has_reachable_member(
    schedule: schedule_state.Schedule,
    step_run: schedule_state.StepRun,
    run: schedule_state.Run,
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
    target: schedule_state.Target, run: schedule_state.Run
) -> bool:
    """Returns whether a run may have ended as done before its lease ended."""
    if target.has_more_ends:
        return True
    remaining_s = preemption_gain.remaining_s(run, run.progressed_s)
    if remaining_s == float("inf"):
        return True
    earliest_s = run.progressed_s + remaining_s / SPEED_UP_FACTOR
    return earliest_s <= target.lease_ends_s
