"""How long a scheduler may give orders, and what its successor waits for."""

from dandelionpick.batch import state as state_lib

# A scheduler without the store goes on extending what runs for this long, so
# that work outlives an outage; a successor waits it out before it restarts a
# task that may run on a target which it can't reach.
AUTHORITY_WITHOUT_STORE_S = 20.0
# Clocks of targets may be this much slow.
SLOW_CLOCK = 1.02


def may_order(state: state_lib.State, now_s: float) -> bool:
    """Returns whether this instance may send orders to targets."""
    authority = state.authority
    return (
        authority.role is state_lib.Role.LEADING
        and not authority.fenced
        and now_s - authority.kept_s < AUTHORITY_WITHOUT_STORE_S
    )
