"""Chooses the instance of another failure domain to forward a request to."""

from dandelionpick import membership
from dandelionpick import request_state
from dandelionpick import routing
from dandelionpick import routing_state
from dandelionpick import state as state_lib

# A request has passed one instance when it is forwarded, and goes no further.
MAX_HOPS = 1
# Requests that one peer serves for this instance at a time.
MAX_FORWARDS_PER_PEER = 64


def has_room(
    state: state_lib.State, request: request_state.Request, now_s: float
) -> bool:
    """Returns whether a peer elsewhere could take a request now."""
    return choose(state, request, now_s, 0.0, free_only=True) is not None


def is_same_region(state: state_lib.State, peer: state_lib.Peer) -> bool:
    """Returns whether a peer is in this instance's region."""
    return peer.entry.region == state.identity.region


def choose(
    state: state_lib.State,
    request: request_state.Request,
    now_s: float,
    draw: float,
    free_only: bool,
) -> state_lib.Peer | None:
    """Returns the less loaded of two random peers, same region first."""
    if request.hops >= MAX_HOPS or state.routing.hold:
        return None
    peers = [
        peer
        for peer in membership.peers_elsewhere(state, now_s)
        if peer.entry.id not in request.tried
        and outstanding(state, peer) < MAX_FORWARDS_PER_PEER
        and (not free_only or free_slots_of(state, peer) > 0)
    ]
    near = [peer for peer in peers if is_same_region(state, peer)]
    if not near and not region_bytes(state, now_s).tokens > 0:
        return None
    candidates = near or peers
    if not candidates:
        return None
    pair = routing.two_of(candidates, draw)
    return max(pair, key=lambda peer: free_slots_of(state, peer))


def outstanding(state: state_lib.State, peer: state_lib.Peer) -> int:
    """Returns how many requests a peer serves for this instance."""
    return state.routing.forwards_to.get(peer.entry.id, 0)


def free_slots_of(state: state_lib.State, peer: state_lib.Peer) -> int:
    """Returns a peer's free slots, less what is queued and under way there."""
    if peer.heartbeat is None:
        return 0
    reported = peer.heartbeat.free_slots - peer.heartbeat.queued
    return reported - outstanding(state, peer)


def region_bytes(
    state: state_lib.State, now_s: float
) -> routing_state.TokenBucket:
    """Returns the budget of bytes to other regions, filled up to now."""
    bucket = state.routing.region_bytes
    if bucket is None:
        rate = float(state.limits.inter_region_bytes_per_s)
        bucket = routing_state.TokenBucket(rate, rate, rate)
        state.routing.region_bytes = bucket
    bucket.refill(now_s)
    return bucket
