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
# A revision that only another failure domain has is fetched from there after
# the watch of this failure domain had time to bring it; the others leave the
# slow region link to the preferred instance for longer.
FOREIGN_DELAY_S = 1.5
FOREIGN_DELAY_OTHERS_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentFetched:
    """Context of a read of a peer's document."""

    peer: ids.InstanceId


def hear_confirmations(state: state_lib.State, now_s: float) -> None:
    """Takes over from heartbeats when the revision was last confirmed."""
    configuration = state.configuration
    for peer in state.members.peers.values():
        heartbeat = peer.heartbeat
        if heartbeat is None or heartbeat.configuration_age_s < 0:
            continue
        if heartbeat.revision != configuration.document.revision:
            continue
        confirmed_s = peer.heard_s - heartbeat.configuration_age_s
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
    if configuration.fetching is not None or now_s < configuration.next_fetch_s:
        return
    peer = _choose(state, ahead, step.moment)
    if peer is None:
        return
    configuration.fetching = peer.entry.id
    dispatch.call(
        state,
        step,
        membership.peer_destination(peer.entry),
        peer_messages.ReadDocument(configuration.document.revision),
        DocumentFetched(peer.entry.id),
        FETCH_TIMEOUT_S,
    )


def _peers_ahead(state: state_lib.State, now_s: float) -> list[state_lib.Peer]:
    """Returns the peers heard of late whose higher revision may be valid."""
    configuration = state.configuration
    return [
        peer
        for peer in state.members.peers.values()
        if peer.heartbeat is not None
        and peer.heartbeat.revision > configuration.document.revision
        and now_s - peer.heard_s <= state.limits.suspect_after_s
        and configuration.rejected.get(peer.entry.id) != peer.heartbeat.revision
    ]


def _choose(
    state: state_lib.State,
    ahead: list[state_lib.Peer],
    moment: events.Moment,
) -> state_lib.Peer | None:
    """Returns the nearest peer, or None if a nearer one may follow soon."""
    configuration = state.configuration
    identity = state.identity
    others = [p for p in ahead if p.entry.id != configuration.fetch_failed]
    candidates = others or ahead
    near = [
        peer
        for peer in candidates
        if peer.entry.failure_domain == identity.failure_domain
    ]
    if not near:
        waited_s = moment.now_s - configuration.behind_since_s
        if waited_s < _foreign_delay_s(state, moment.now_s):
            return None
        near = [p for p in candidates if p.entry.region == identity.region]
    candidates = near or candidates
    return candidates[int(moment.draw * len(candidates))]


def _foreign_delay_s(state: state_lib.State, now_s: float) -> float:
    if state.configuration.document.revision == 0:
        return 0.0
    preferred = membership.preferred_instance(state, now_s)
    if preferred == state.identity.instance:
        return FOREIGN_DELAY_S
    return FOREIGN_DELAY_OTHERS_S


@dispatch.returned.register
def _(
    context: DocumentFetched,
    state: state_lib.State,
    step: dispatch.Step,
    reply: peer_messages.Document,
) -> None:
    state.configuration.fetching = None
    state.configuration.fetch_failed = None
    state.configuration.next_fetch_s = step.moment.now_s + FETCH_RETRY_S
    if reply.text:
        adoption.adopt(state, step, reply.text, context.peer)


@dispatch.failed.register
def _(
    context: DocumentFetched,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    state.configuration.fetching = None
    state.configuration.fetch_failed = context.peer
    state.configuration.next_fetch_s = step.moment.now_s + FETCH_RETRY_S


@dispatch.receive.register
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
