"""Chooses the peer in another failure domain that gets a request."""

from dandelionpick import membership
from dandelionpick import request_state
from dandelionpick import routing
from dandelionpick import routing_state
from dandelionpick import state as state_lib

# A request is forwarded at most once.
MAX_HOPS = 1
# Concurrent forwards from this instance to one peer.
MAX_FORWARDS_PER_PEER = 64


def has_free_peer(
    state: state_lib.State, request: request_state.Request, now_s: float
) -> bool:
    """Returns whether a peer in another failure domain has a free slot."""
    return choose_peer(state, request, now_s, 0.0, free_only=True) is not None


def is_same_region(state: state_lib.State, peer: state_lib.Peer) -> bool:
    """Returns whether a peer is in this instance's region."""
    return peer.entry.region == state.identity.region


def choose_peer(
    state: state_lib.State,
    request: request_state.Request,
    now_s: float,
    draw: float,
    free_only: bool,
) -> state_lib.Peer | None:
    """Returns the peer with more free slots of two random candidates.

    Peers in the same region are preferred. Another region is used only while
    the budget of bytes to other regions is not exhausted.
    """
    if request.hops >= MAX_HOPS or state.routing.starts_paused:
        return None
    peers = [
        peer
        for peer in membership.peers_in_other_domains(state, now_s)
        if peer.entry.id not in request.tried
        and outstanding(state, peer) < MAX_FORWARDS_PER_PEER
        and (not free_only or free_slots_of(state, peer) > 0)
    ]
    same_region = [peer for peer in peers if is_same_region(state, peer)]
    if not same_region and not inter_region_budget(state, now_s).tokens > 0:
        return None
    candidates = same_region or peers
    if not candidates:
        return None
    pair = routing.pick_two(candidates, draw)
    return max(pair, key=lambda peer: free_slots_of(state, peer))


def outstanding(state: state_lib.State, peer: state_lib.Peer) -> int:
    """Returns how many of this instance's requests a peer is serving."""
    return state.routing.forward_counts.get(peer.entry.id, 0)


def free_slots_of(state: state_lib.State, peer: state_lib.Peer) -> int:
    """Returns a peer's free slots less its queue and the pending forwards."""
    if peer.heartbeat is None:
        return 0
    reported = peer.heartbeat.free_slots - peer.heartbeat.queued
    return reported - outstanding(state, peer)


def inter_region_budget(
    state: state_lib.State, now_s: float
) -> routing_state.TokenBucket:
    """Returns the refilled budget of bytes to other regions."""
    bucket = state.routing.inter_region_budget
    if bucket is None:
        rate = float(state.limits.inter_region_bytes_per_s)
        bucket = routing_state.TokenBucket(rate, rate, rate)
        state.routing.inter_region_budget = bucket
    bucket.refill(now_s)
    return bucket
