"""Exchanges the configuration document with peers."""

import dataclasses

from dandelionpick import adoption
from dandelionpick import dispatch
from dandelionpick import events
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import membership
from dandelionpick import peer_messages
from dandelionpick import state as state_lib

FETCH_TIMEOUT_S = 4.0
FETCH_RETRY_S = 0.5
# A revision that only other failure domains have is fetched from one of them
# after the watch of this failure domain had time to deliver it. Instances other
# than the preferred one wait longer and leave the slow link between regions to
# it.
CROSS_DOMAIN_DELAY_S = 1.5
CROSS_DOMAIN_DELAY_OTHERS_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentFetched:
    """Context of a read of a peer's document."""

    peer: ids.InstanceId


def update_confirmed_time(state: state_lib.State, now_s: float) -> None:
    """Updates `confirmed_s` from the heartbeats of peers."""
    configuration = state.configuration
    for peer in state.members.peers.values():
        heartbeat = peer.heartbeat
        if heartbeat is None or heartbeat.configuration_age_s < 0:
            continue
        if heartbeat.revision != configuration.document.revision:
            continue
        confirmed_s = peer.last_heartbeat_s - heartbeat.configuration_age_s
        configuration.confirmed_s = max(configuration.confirmed_s, confirmed_s)


def fetch_if_behind(state: state_lib.State, step: dispatch.Step) -> None:
    """Fetches the document from a peer that has a higher revision."""
    now_s = step.moment.now_s
    configuration = state.configuration
    ahead = _peers_ahead(state, now_s)
    if not ahead:
        configuration.behind_since_s = None
        return
    if configuration.behind_since_s is None:
        configuration.behind_since_s = now_s
    if (
        configuration.fetching_from is not None
        or now_s < configuration.next_fetch_s
    ):
        return
    peer = _choose_peer(state, ahead, step.moment)
    if peer is None:
        return
    configuration.fetching_from = peer.entry.id
    dispatch.call(
        state,
        step,
        membership.peer_destination(peer.entry),
        peer_messages.ReadDocument(configuration.document.revision),
        DocumentFetched(peer.entry.id),
        FETCH_TIMEOUT_S,
    )


def _peers_ahead(state: state_lib.State, now_s: float) -> list[state_lib.Peer]:
    """Returns the recently heard peers with a higher, not rejected revision."""
    configuration = state.configuration
    return [
        peer
        for peer in state.members.peers.values()
        if peer.heartbeat is not None
        and peer.heartbeat.revision > configuration.document.revision
        and now_s - peer.last_heartbeat_s <= state.limits.suspect_after_s
        and configuration.rejected.get(peer.entry.id) != peer.heartbeat.revision
    ]


def _choose_peer(
    state: state_lib.State,
    ahead: list[state_lib.Peer],
    moment: events.Moment,
) -> state_lib.Peer | None:
    """Picks one of the nearest peers, or None to wait for a nearer one."""
    configuration = state.configuration
    identity = state.identity
    others = [p for p in ahead if p.entry.id != configuration.last_failed_peer]
    candidates = others or ahead
    nearby = [
        peer
        for peer in candidates
        if peer.entry.failure_domain == identity.failure_domain
    ]
    if not nearby:
        waited_s = moment.now_s - configuration.behind_since_s
        if waited_s < _cross_domain_delay_s(state, moment.now_s):
            return None
        nearby = [p for p in candidates if p.entry.region == identity.region]
    candidates = nearby or candidates
    return candidates[int(moment.random_value * len(candidates))]


def _cross_domain_delay_s(state: state_lib.State, now_s: float) -> float:
    if state.configuration.document.revision == 0:
        return 0.0
    preferred = membership.preferred_instance(state, now_s)
    if preferred == state.identity.instance:
        return CROSS_DOMAIN_DELAY_S
    return CROSS_DOMAIN_DELAY_OTHERS_S


@dispatch.on_reply.register
def _(
    context: DocumentFetched,
    state: state_lib.State,
    step: dispatch.Step,
    reply: peer_messages.Document,
) -> None:
    state.configuration.fetching_from = None
    state.configuration.last_failed_peer = None
    state.configuration.next_fetch_s = step.moment.now_s + FETCH_RETRY_S
    if reply.text:
        adoption.adopt(state, step, reply.text, context.peer)


@dispatch.on_failure.register
def _(
    context: DocumentFetched,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    state.configuration.fetching_from = None
    state.configuration.last_failed_peer = context.peer
    state.configuration.next_fetch_s = step.moment.now_s + FETCH_RETRY_S


@dispatch.on_message.register
def _(
    message: peer_messages.ReadDocument,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    configuration = state.configuration
    revision = configuration.document.revision
    text = configuration.text if revision > message.revision else ""
    step.respond(exchange_id, peer_messages.Document(revision, text))
