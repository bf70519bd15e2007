"""Invalidates state that is out of date after a stall of the event loop."""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import listing
from dandelionpick import quarantine
from dandelionpick import state as state_lib


def stalled(
    state: state_lib.State, step: dispatch.Step, stall_s: float
) -> None:
    """Discards what peers and the instance list reported before a long stall.

    No heartbeats could be received during the stall, so missing heartbeats do
    not show that a peer is down, and earlier reports of the peers and the list
    may be out of date. Until it hears from its peers again, this instance
    neither forwards to them nor considers itself preferred; until it has asked
    for the list again, it starts no queued request.
    """
    step.note(
        effects.Component.MEMBERSHIP,
        f"event loop stalled for {stall_s:.1f} s",
        warning=True,
    )
    members = state.members
    members.heartbeat_sent_s = float("-inf")
    quarantine.account_for_stall(state, stall_s)
    if stall_s <= state.limits.suspect_after_s:
        return
    members.stall_count += 1
    members.settling_until_s = step.moment.now_s + state.limits.suspect_after_s
    for peer in members.peers.values():
        peer.last_heartbeat_s = float("-inf")
    state.routing.starts_paused = True
    listing.read(state, step)
