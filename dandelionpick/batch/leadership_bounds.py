"""Time bounds for a scheduler that can't renew its lease, and its successor."""

from dandelionpick.batch import state as state_lib

# A scheduler that can't reach the store continues to extend the leases of runs
# for this long, so that running tasks survive an outage of the store. A
# successor lets this time pass before it restarts a task that may still be
# running on a target that it can't reach.
LEADERSHIP_WITHOUT_STORE_S = 20.0
# Targets' clocks may run slow by up to this factor.
CLOCK_DRIFT_FACTOR = 1.02


def may_start(state: state_lib.State, now_s: float) -> bool:
    """Returns whether this instance may start and stop work.

    After a suspension it has to renew its lease first, because targets that its
    successor could not list would still obey it.
    """
    return may_send_orders(state, now_s) and not state.election.unverified


def may_send_orders(state: state_lib.State, now_s: float) -> bool:
    """Returns whether this instance may send orders to targets.

    It has to be the scheduler, must not have been fenced, and must have renewed
    its lease recently enough.
    """
    election = state.election
    return (
        election.role is state_lib.Role.LEADING
        and not election.fenced
        and now_s - election.renewed_s < LEADERSHIP_WITHOUT_STORE_S
    )
