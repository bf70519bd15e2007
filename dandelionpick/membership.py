"""Cluster membership: heartbeats, suspicion and the preferred instance."""

import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Iterator

import xxhash

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import peer_messages
from dandelionpick import state as state_lib

# Heartbeats to other failure domains are sent once in this many rounds, because
# control traffic is limited to 22 KB/s per node with nine failure domains.
CROSS_DOMAIN_ROUNDS = 2
# A peer whose heartbeat arrived within this share of the period is sent none.
RECENT_CONTACT_SHARE = 0.5
CONTACT_RETRY_S = 10.0
MAX_SUPERSEDED = 4


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatSent:
    """Context of a heartbeat to a peer."""

    peer: ids.InstanceId


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Sends heartbeats when they are due."""
    now_s = step.moment.now_s
    members = state.members
    if members.settling_until_s is None:
        members.settling_until_s = now_s + state.limits.suspect_after_s
    if now_s - members.heartbeat_sent_s >= state.limits.heartbeat_period_s:
        members.heartbeat_sent_s = now_s
        members.heartbeat_rounds += 1
        send_heartbeats(state, step, due_peers(state, now_s))


def due_peers(state: state_lib.State, now_s: float) -> Iterator[state_lib.Peer]:
    """Yields the peers to send a heartbeat to in this round.

    These are all peers of this failure domain, except those whose own heartbeat
    has just arrived, because that exchange has updated both sides. In every
    CROSS_DOMAIN_ROUNDS-th round, one peer of each other failure domain is
    added.
    """
    recent_s = state.limits.heartbeat_period_s * RECENT_CONTACT_SHARE
    elsewhere: dict[ids.FailureDomain, list[state_lib.Peer]] = {}
    for peer in state.members.peers.values():
        domain = peer.entry.failure_domain
        if domain != state.identity.failure_domain:
            elsewhere.setdefault(domain, []).append(peer)
        elif now_s - peer.last_heartbeat_s > recent_s:
            yield peer
    if state.members.heartbeat_rounds % CROSS_DOMAIN_ROUNDS == 1:
        for peers in elsewhere.values():
            yield _choose_contact(state, peers, now_s)


def _choose_contact(
    state: state_lib.State, peers: list[state_lib.Peer], now_s: float
) -> state_lib.Peer:
    """Returns the peer of another failure domain to send a heartbeat to.

    Rendezvous hashing spreads the load. Peers whose last call failed recently
    are used only if all failed; then the oldest failure goes first.
    """
    own = state.identity.instance

    def rank(peer: state_lib.Peer) -> tuple[float, int]:
        failed = now_s - peer.last_failure_s <= CONTACT_RETRY_S
        order = peer.last_failure_s if failed else float("-inf")
        return order, rendezvous_weight(own, peer.entry.id)

    return min(peers, key=rank)


def rendezvous_weight(key: str, node: str) -> int:
    """Returns the rendezvous hash of a node for a key."""
    return xxhash.xxh64_intdigest(f"{key}/{node}".encode())


def send_heartbeats(
    state: state_lib.State,
    step: dispatch.Step,
    peers: Iterable[state_lib.Peer],
) -> None:
    """Sends a heartbeat to each of the peers."""
    message = own_heartbeat(state)
    for peer in peers:
        dispatch.call(
            state,
            step,
            peer_destination(peer.entry),
            message,
            HeartbeatSent(peer.entry.id),
            state.limits.call_timeout_s,
        )


def own_heartbeat(state: state_lib.State) -> peer_messages.Heartbeat:
    """Builds this instance's heartbeat."""
    return peer_messages.Heartbeat(
        instance=state.identity.instance,
        failure_domain=state.identity.failure_domain,
        incarnation=state.incarnation,
        revision=state.configuration.document.revision,
        domain_revision=domain_revision(state),
        configuration_age_s=configuration_age_s(state),
        leaving=state.drain.requested_s is not None,
        queued=len(state.routing.queue),
        free_slots=state.routing.free_slots,
        long_running=state.routing.long_running,
    )


def domain_revision(state: state_lib.State) -> int:
    """Returns the lowest revision of this failure domain's known instances.

    A suspected instance counts with the revision that it last reported,
    because it may be paused and resume with that revision.
    """
    lowest = state.configuration.document.revision
    for peer in state.members.peers.values():
        if peer.entry.failure_domain != state.identity.failure_domain:
            continue
        if is_leaving(peer):
            continue
        revision = peer.heartbeat.revision if peer.heartbeat else 0
        lowest = min(lowest, revision)
    return lowest


def configuration_age_s(state: state_lib.State) -> float:
    """Returns the age of the configuration for a heartbeat; -1 if unknown.

    The age is overstated by more than a tick and the network latency.
    Otherwise instances that confirm each other's configuration could keep the
    age from rising.
    """
    age_s = state.configuration.age_s
    return round(age_s + 0.2, 1) if math.isfinite(age_s) else -1.0


def peer_destination(entry: list_messages.InstanceEntry) -> effects.Destination:
    """Returns the destination of calls to an entry instance."""
    return effects.Destination(kinds.Service.PEER, entry.id, entry.address)


def update_peers(state: state_lib.State, now_s: float) -> None:
    """Updates the peers from the instance list's entries."""
    members = state.members
    peers = {}
    for entry in members.entries.values():
        if entry.role is not kinds.Role.ENTRY:
            continue
        if entry.id == state.identity.instance:
            continue
        peer = members.peers.get(entry.id)
        if peer is None or peer.entry.address != entry.address:
            peer = state_lib.Peer(entry, now_s)
        peer.entry = entry
        peers[entry.id] = peer
    members.peers = peers


@dispatch.on_reply.register
def _(
    context: HeartbeatSent,
    state: state_lib.State,
    step: dispatch.Step,
    reply: peer_messages.Heartbeat,
) -> None:
    record_heartbeat(state, step, reply)


@dispatch.on_failure.register
def _(
    context: HeartbeatSent,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    record_failed_call(state, context.peer, step.moment.now_s)


def record_failed_call(
    state: state_lib.State, peer_id: ids.InstanceId, now_s: float
) -> None:
    """Records that a call to a peer got no reply."""
    peer = state.members.peers.get(peer_id)
    if peer is not None:
        peer.last_failure_s = now_s


@dispatch.on_message.register
def _(
    message: peer_messages.Heartbeat,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    record_heartbeat(state, step, message)
    step.respond(exchange_id, own_heartbeat(state))


def record_heartbeat(
    state: state_lib.State,
    step: dispatch.Step,
    heartbeat: peer_messages.Heartbeat,
) -> None:
    """Records a heartbeat; ignores unknown peers and old incarnations."""
    peer = state.members.peers.get(heartbeat.instance)
    if peer is None or heartbeat.incarnation in peer.superseded:
        return
    previous = peer.heartbeat
    if previous is not None and previous.incarnation != heartbeat.incarnation:
        earlier = (previous.incarnation, *peer.superseded)
        peer.superseded = earlier[:MAX_SUPERSEDED]
        step.note(
            effects.Component.MEMBERSHIP,
            f"instance {peer.entry.id} was restarted",
        )
    if heartbeat.leaving:
        peer.leaving = heartbeat.incarnation
    peer.last_heartbeat_s = step.moment.now_s
    peer.heartbeat = heartbeat


def record_target_reply(
    state: state_lib.State, destination: effects.Destination, now_s: float
) -> None:
    """Records when a target last replied, for when the list lacks it."""
    if destination.service in (kinds.Service.EXECUTOR, kinds.Service.WORKER):
        state.members.last_reply_s[ids.InstanceId(destination.name)] = now_s


def is_leaving(peer: state_lib.Peer) -> bool:
    """Returns whether the list or the peer itself reported that it is leaving.

    A peer's own report holds for its incarnation, whatever arrives later.
    """
    if peer.entry.state is kinds.Liveness.LEAVING:
        return True
    heartbeat = peer.heartbeat
    return heartbeat is not None and peer.leaving == heartbeat.incarnation


def is_peer_usable(
    state: state_lib.State, peer: state_lib.Peer, now_s: float
) -> bool:
    """Returns whether a peer is believed live and accepts new work."""
    if is_leaving(peer):
        return False
    suspect_after_s = state.limits.suspect_after_s
    if peer.entry.failure_domain != state.identity.failure_domain:
        # Heartbeats across failure domains are sent less often.
        suspect_after_s *= CROSS_DOMAIN_ROUNDS
    return now_s - peer.last_heartbeat_s <= suspect_after_s


def live_peers(
    state: state_lib.State, now_s: float
) -> Iterator[state_lib.Peer]:
    """Yields the usable peers of this failure domain."""
    for peer in state.members.peers.values():
        if peer.entry.failure_domain != state.identity.failure_domain:
            continue
        if is_peer_usable(state, peer, now_s):
            yield peer


def peers_in_other_domains(
    state: state_lib.State, now_s: float
) -> Iterator[state_lib.Peer]:
    """Yields the usable peers of other failure domains.

    A peer whose last call failed is excluded until its next heartbeat.
    """
    for peer in state.members.peers.values():
        if peer.entry.failure_domain == state.identity.failure_domain:
            continue
        if peer.last_failure_s > peer.last_heartbeat_s:
            continue
        if is_peer_usable(state, peer, now_s):
            yield peer


def live_instances(
    state: state_lib.State, now_s: float
) -> Iterator[ids.InstanceId]:
    """Yields the live entry instances of this failure domain."""
    if state.drain.requested_s is None:
        yield state.identity.instance
    for peer in live_peers(state, now_s):
        yield peer.entry.id


def is_settling(state: state_lib.State, now_s: float) -> bool:
    """Returns whether this instance does not know yet which peers are live.

    This is the case after its start and after a long stall. It ends when the
    list contains this instance and every peer of the failure domain has sent a
    heartbeat, or when the time to suspect silent peers has passed.
    """
    members = state.members
    if members.settling_until_s is None:
        return True
    if now_s >= members.settling_until_s:
        return False
    peers = [
        peer
        for peer in members.peers.values()
        if peer.entry.failure_domain == state.identity.failure_domain
    ]
    heard = all(peer.last_heartbeat_s > float("-inf") for peer in peers)
    return not (members.has_self and heard)


def preferred_instance(state: state_lib.State, now_s: float) -> ids.InstanceId:
    """Returns the instance that schedules this failure domain's gangs.

    It is chosen by rendezvous hashing over the live set: when an instance joins
    or leaves, only the failure domains that it gains or loses change their
    scheduler. An instance that is settling excludes itself, and returns "" if
    it knows no other.
    """
    domain = state.identity.failure_domain
    if is_settling(state, now_s):
        live = [
            peer.entry.id
            for peer in state.members.peers.values()
            if peer.entry.failure_domain == domain and not is_leaving(peer)
        ] or [ids.InstanceId("")]
    else:
        live = list(live_instances(state, now_s)) or [state.identity.instance]
    return max(
        live,
        key=lambda name: (rendezvous_weight(domain, name), name),
    )


def targets(
    state: state_lib.State, role: kinds.Role
) -> list[list_messages.InstanceEntry]:
    """Returns this failure domain's listed targets of a role.

    They are grouped once per list, because every start needs them and the list
    has thousands of entries.
    """
    members = state.members
    if members.local_targets_source is not members.entries:
        members.local_targets_source = members.entries
        members.local_targets = {}
        for entry in members.entries.values():
            if entry.failure_domain == state.identity.failure_domain:
                members.local_targets.setdefault(entry.role, []).append(entry)
    return members.local_targets.get(role, [])
