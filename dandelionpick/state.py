"""State of the reducer of one entry instance."""

import dataclasses
from typing import Any

from dandelionpick import claim_state
from dandelionpick import edit_state
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import job_state
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import lookup_state
from dandelionpick import peer_messages
from dandelionpick import request_state
from dandelionpick import tree_state


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this instance is and where the platform's services are."""

    instance: ids.InstanceId
    failure_domain: ids.FailureDomain
    region: ids.Region
    store_address: str
    list_address: str


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call that has neither returned nor failed."""

    destination: effects.Destination
    context: Any
    trace: str


@dataclasses.dataclass(slots=True)
class Peer:
    """Another entry instance.

    Attributes:
        heard_s: monotonic seconds of the last heartbeat; -inf before the first.
        first_listed_s: monotonic seconds when the peer was first listed.
    """

    entry: list_messages.InstanceEntry
    first_listed_s: float
    heard_s: float = float("-inf")
    heartbeat: peer_messages.Heartbeat | None = None


@dataclasses.dataclass(slots=True)
class Members:
    """Instances and targets known from the list and from heartbeats.

    Attributes:
        entries: the last list, by id.
        peers: other entry instances, by id.
        list_read_s: monotonic seconds of the last successful read.
        list_pending: whether a read is under way.
        heartbeat_sent_s: monotonic seconds of the last heartbeat round.
    """

    entries: dict[ids.InstanceId, list_messages.InstanceEntry] = (
        dataclasses.field(default_factory=dict)
    )
    peers: dict[ids.InstanceId, Peer] = dataclasses.field(default_factory=dict)
    list_read_s: float = float("-inf")
    list_pending: bool = False
    heartbeat_sent_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Drain:
    """Progress of a planned stop; requested_s is None before it."""

    requested_s: float | None = None
    exit_sent: bool = False


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits and timeouts that the settings file can change."""

    max_body_bytes: int = 1_000_000
    max_queued_requests: int = 2_000
    answer_retention_s: float = 120.0
    max_answer_bytes: int = 16_000_000
    list_period_s: float = 1.0
    heartbeat_period_s: float = 1.0
    suspect_after_s: float = 3.0
    call_timeout_s: float = 2.0
    drain_notice_s: float = 3.0


@dataclasses.dataclass(slots=True)
class State:
    """Everything that an instance knows."""

    identity: Identity
    incarnation: ids.Incarnation
    limits: Limits = dataclasses.field(default_factory=Limits)
    calls: dict[ids.CallId, PendingCall] = dataclasses.field(
        default_factory=dict
    )
    calls_made: int = 0
    members: Members = dataclasses.field(default_factory=Members)
    configuration: tree_state.Configuration = dataclasses.field(
        default_factory=tree_state.Configuration
    )
    edits: edit_state.Edits = dataclasses.field(
        default_factory=edit_state.Edits
    )
    requests: request_state.Requests = dataclasses.field(
        default_factory=request_state.Requests
    )
    claims: claim_state.Claims = dataclasses.field(
        default_factory=claim_state.Claims
    )
    lookups: lookup_state.Lookups = dataclasses.field(
        default_factory=lookup_state.Lookups
    )
    jobs: job_state.Jobs = dataclasses.field(default_factory=job_state.Jobs)
    drain: Drain = dataclasses.field(default_factory=Drain)

    def store(self) -> effects.Destination:
        """Returns the platform's configuration store."""
        return effects.Destination(
            kinds.Service.STORE, "", self.identity.store_address
        )
