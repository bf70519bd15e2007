"""The live set: instance list, heartbeats, and the preferred instance."""

import dataclasses
from collections.abc import Iterator

import xxhash

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import peer_messages
from dandelionpick import state as state_lib


@dataclasses.dataclass(frozen=True, slots=True)
class ListRead:
    """Context of a read of the instance list."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatSent:
    """Context of a heartbeat to a peer."""

    peer: ids.InstanceId


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Reads the list and sends heartbeats when they are due."""
    now_s = step.moment.now_s
    members = state.members
    list_age_s = now_s - members.list_read_s
    if not members.list_pending and list_age_s >= state.limits.list_period_s:
        members.list_pending = True
        destination = effects.Destination(
            kinds.Service.INSTANCE_LIST, "", state.identity.list_address
        )
        dispatch.call(
            state,
            step,
            destination,
            list_messages.ReadInstances(),
            ListRead(),
            state.limits.call_timeout_s,
        )
    if now_s - members.heartbeat_sent_s >= state.limits.heartbeat_period_s:
        members.heartbeat_sent_s = now_s
        send_heartbeats(state, step)


def send_heartbeats(state: state_lib.State, step: dispatch.Step) -> None:
    """Sends a heartbeat to each peer."""
    message = own_heartbeat(state)
    for peer_id, peer in state.members.peers.items():
        dispatch.call(
            state,
            step,
            peer_destination(peer.entry),
            message,
            HeartbeatSent(peer_id),
            state.limits.call_timeout_s,
        )


def own_heartbeat(state: state_lib.State) -> peer_messages.Heartbeat:
    """Returns what this instance tells its peers about itself."""
    return peer_messages.Heartbeat(
        instance=state.identity.instance,
        failure_domain=state.identity.failure_domain,
        incarnation=state.incarnation,
        revision=state.configuration.document.revision,
        leaving=state.drain.requested_s is not None,
        queued=len(state.requests.queue),
    )


def peer_destination(entry: list_messages.InstanceEntry) -> effects.Destination:
    """Returns where calls to an entry instance go."""
    return effects.Destination(kinds.Service.PEER, entry.id, entry.address)


@dispatch.returned.register
def _(
    context: ListRead,
    state: state_lib.State,
    step: dispatch.Step,
    reply: list_messages.Instances,
) -> None:
    members = state.members
    members.list_pending = False
    members.list_read_s = step.moment.now_s
    members.entries = {entry.id: entry for entry in reply.entries}
    peers = {}
    for entry in reply.entries:
        if entry.role is not kinds.Role.ENTRY:
            continue
        if entry.id == state.identity.instance:
            continue
        known = members.peers.get(entry.id)
        if known is None or known.entry.address != entry.address:
            known = state_lib.Peer(entry, step.moment.now_s)
        known.entry = entry
        peers[entry.id] = known
    members.peers = peers


@dispatch.failed.register
def _(
    context: ListRead,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    state.members.list_pending = False


@dispatch.returned.register
def _(
    context: HeartbeatSent,
    state: state_lib.State,
    step: dispatch.Step,
    reply: peer_messages.Heartbeat,
) -> None:
    hear(state, step, reply)


@dispatch.failed.register
def _(
    context: HeartbeatSent,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    """Does nothing: the peer becomes suspected as its last heartbeat ages."""


@dispatch.receive.register
def _(
    message: peer_messages.Heartbeat,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    hear(state, step, message)
    step.respond(exchange_id, own_heartbeat(state))


def hear(
    state: state_lib.State,
    step: dispatch.Step,
    heartbeat: peer_messages.Heartbeat,
) -> None:
    """Records a heartbeat of a listed peer."""
    peer = state.members.peers.get(heartbeat.instance)
    if peer is None:
        return
    peer.heard_s = step.moment.now_s
    peer.heartbeat = heartbeat


def stalled(
    state: state_lib.State, step: dispatch.Step, stall_s: float
) -> None:
    """Forgets what peers said before a stall of the event loop.

    Their heartbeats could not be heard, so their silence proves nothing, and
    what they said may no longer hold.
    """
    step.note(
        effects.Part.MEMBERSHIP,
        f"event loop stalled for {stall_s:.1f} s",
        warning=True,
    )
    state.members.heartbeat_sent_s = float("-inf")


def is_peer_usable(
    state: state_lib.State, peer: state_lib.Peer, now_s: float
) -> bool:
    """Tells whether a peer lives, as far as known, and takes new work."""
    if peer.entry.state is kinds.Liveness.LEAVING:
        return False
    if peer.heartbeat is not None and peer.heartbeat.leaving:
        return False
    return now_s - peer.heard_s <= state.limits.suspect_after_s


def live_instances(
    state: state_lib.State, now_s: float
) -> Iterator[ids.InstanceId]:
    """Yields the live entry instances of this failure domain."""
    if state.drain.requested_s is None:
        yield state.identity.instance
    for peer_id, peer in state.members.peers.items():
        if peer.entry.failure_domain != state.identity.failure_domain:
            continue
        if is_peer_usable(state, peer, now_s):
            yield peer_id


def preferred_instance(state: state_lib.State, now_s: float) -> ids.InstanceId:
    """Returns the instance that schedules this failure domain's gangs.

    Rendezvous hashing over the live set: when an instance joins or leaves,
    only the failure domains that it wins or held change their scheduler.
    """
    domain = state.identity.failure_domain
    live = list(live_instances(state, now_s)) or [state.identity.instance]
    return max(
        live,
        key=lambda name: (
            xxhash.xxh64_intdigest(f"{domain}/{name}".encode()),
            name,
        ),
    )


def targets(
    state: state_lib.State, role: kinds.Role
) -> Iterator[list_messages.InstanceEntry]:
    """Yields this failure domain's listed targets of a role."""
    for entry in state.members.entries.values():
        if entry.role is not role:
            continue
        if entry.failure_domain == state.identity.failure_domain:
            yield entry
