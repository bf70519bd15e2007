"""Time bounds for a scheduler that can't reach the store, and its successor.

Whether another scheduler has taken over is seen in the store or at the targets:
a successor lists every target that it can reach, and these then refuse the
orders of its predecessor. A scheduler that neither reads its own key nor is
obeyed by all its targets may have been cut off together with some of them. It
must not start or extend anything then, and must not assume that runs which it
can't see have ended, because the successor may have extended their leases.
"""

from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import watches

# A scheduler sends no orders when it has had no evidence for this long that it
# has no successor. Targets that run nothing are listed twice within it.
UNCONFIRMED_LEADERSHIP_S = 3.0
# The store confirms the key at least this often if it serves the scheduler.
KEY_CONFIRMATION_S = 1.5
# A scheduler that can't reach the store, but all its targets, continues for
# this long, so that running tasks survive an outage of the store. A successor
# lets this time pass before it restarts a task that may still be running on a
# target that it can't reach, unless it reaches another one of its predecessor.
LEADERSHIP_WITHOUT_STORE_S = 20.0
# Targets' clocks may run slow by up to this factor.
CLOCK_DRIFT_FACTOR = 1.02
# Covers the time that an order takes to arrive.
LEASE_MARGIN_S = 0.2


def may_start(state: state_lib.State, now_s: float) -> bool:
    """Returns whether this instance may start and stop work.

    After a suspension it has to renew its lease first, because targets that its
    successor could not list would still obey it.
    """
    return may_send_orders(state, now_s) and not state.election.unverified


def may_send_orders(state: state_lib.State, now_s: float) -> bool:
    """Returns whether this instance may send orders to targets.

    It has to be the scheduler, must not have been fenced, and needs recent
    evidence that it has no successor.
    """
    schedule = state.schedule
    if schedule is None or not may_list(state, now_s):
        return False
    evidence_s = max(key_confirmed_s(state), schedule.obeyed_by_all_s)
    return now_s - evidence_s < UNCONFIRMED_LEADERSHIP_S


def may_list(state: state_lib.State, now_s: float) -> bool:
    """Returns whether this instance may list targets without extending leases.

    That harms nobody, and tells whether there is a successor.
    """
    election = state.election
    return (
        election.role is state_lib.Role.LEADING
        and not election.fenced
        and now_s - key_confirmed_s(state) < LEADERSHIP_WITHOUT_STORE_S
    )


def is_key_confirmed(state: state_lib.State, now_s: float) -> bool:
    """Returns whether the store confirms in time that there is no successor."""
    return now_s - key_confirmed_s(state) < KEY_CONFIRMATION_S


def key_confirmed_s(state: state_lib.State) -> float:
    """Returns the last time at which the scheduler's key was surely its own.

    A renewed lease does not show that: a successor may have replaced the key.
    """
    return max(
        state.election.acquired_s,
        *(
            watch.confirmed_s
            for kind in (watches.SchedulerWatch, watches.IntakeWatch)
            if (watch := state.watches.get(kind)) is not None
        ),
        float("-inf"),
    )


def record_obedience(schedule: schedule_state.Schedule) -> None:
    """Updates since when all targets are known to obey no successor."""
    schedule.obeyed_by_all_s = min(
        (
            target.obeyed_s
            for target in schedule.targets.values()
            if not target.replaced
        ),
        default=float("-inf"),
    )


def unlisted_until_s(
    state: state_lib.State,
    schedule: schedule_state.Schedule,
    target: schedule_state.Target,
) -> float:
    """Returns until when an earlier scheduler's runs may be on a target.

    An earlier scheduler has no evidence left once its successor has listed one
    of its targets. It may not know those that have come since. A target that
    reaches the store is waited for longer: it may hold ends of work that was
    done before its leases ended.
    """
    if target.entry is not None:
        return target.unlisted_until_s
    lease_s = state.limits.run_lease_s * CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
    return min(
        target.unlisted_until_s,
        schedule.fenced_s + UNCONFIRMED_LEADERSHIP_S + lease_s,
    )
