"""Drops what an instance can't know after its event loop did not run."""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import listing
from dandelionpick import quarantine
from dandelionpick import state as state_lib


def stalled(
    state: state_lib.State, step: dispatch.Step, stall_s: float
) -> None:
    """Forgets what was heard before a long stall.

    Heartbeats could not be heard, so that the silence of peers proves nothing,
    and what peers and the list said may no longer hold. Until peers are heard
    again, this instance neither forwards to them nor considers itself
    preferred; until the list was asked again, it starts no queued request.
    """
    step.note(
        effects.Part.MEMBERSHIP,
        f"event loop stalled for {stall_s:.1f} s",
        warning=True,
    )
    members = state.members
    members.heartbeat_sent_s = float("-inf")
    quarantine.stalled(state, stall_s)
    if stall_s <= state.limits.suspect_after_s:
        return
    members.stalls += 1
    members.settling_until_s = step.moment.now_s + state.limits.suspect_after_s
    for peer in members.peers.values():
        peer.heard_s = float("-inf")
    state.routing.hold = True
    listing.read(state, step)
