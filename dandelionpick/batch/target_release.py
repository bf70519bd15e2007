"""Decides when the scheduler no longer needs to know a target.

A target that has no entry in the store is known from the roster only. What it
knows and the store does not is lost to a successor that does not list it: runs,
ends of work, and starts without a reply that it may still carry out. Keeping a
target for too long costs a successor one listing; releasing it too early has
its work done twice.
"""

from dandelionpick.batch import abandoned_starts
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib


def may_release(
    state: state_lib.State,
    schedule: schedule_state.Schedule,
    target: schedule_state.Target,
    now_s: float,
) -> bool:
    """Returns whether the store has all that matters of a target's work.

    Args:
        state: the state of the instance.
        schedule: the schedule.
        target: the target; it may be registered.
        now_s: monotonic seconds.

    Returns:
        Whether neither this scheduler nor a successor has to list the target
        before it starts other work.
    """
    if target.runs:
        return False
    if _has_ended(state, target):
        return True
    if stored_ends(schedule, target) < target.processed:
        return False
    if may_hide_ends(state, target, now_s):
        return False
    if abandoned_starts.has_any(target, now_s):
        return False
    return target.listed or (
        now_s >= target.unlisted_until_s and now_s > target.lease_ends_s
    )


def stored_ends(
    schedule: schedule_state.Schedule, target: schedule_state.Target
) -> int:
    """Returns the number up to which all ends of a target are stored."""
    for number, job_id, version in target.ends:
        job = schedule.jobs.get(job_id)
        if job is not None and job.stored_version < version:
            return number - 1
    return target.processed


def may_hide_ends(
    state: state_lib.State, target: schedule_state.Target, now_s: float
) -> bool:
    """Returns whether a target holds ends that no listing has shown so far.

    One that is silent and has no entry may have crashed. It may as well be cut
    off, in which case its ends count until its leases have ended.
    """
    if not target.has_more_ends or _has_ended(state, target):
        return False
    return (
        target.entry is not None
        or not target.failed
        or now_s <= target.lease_ends_s
    )


def _has_ended(state: state_lib.State, target: schedule_state.Target) -> bool:
    """Returns whether a target is known to be gone, with all that it knew."""
    return target.replaced or (
        target.failed
        and target.exit_evidence.proves_exit(state.limits.heartbeat_s)
    )
