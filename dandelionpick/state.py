"""State of an entry instance's reducer."""

import dataclasses

from dandelionpick import claim_state
from dandelionpick import dispatch
from dandelionpick import edit_state
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import job_state
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import lookup_state
from dandelionpick import peer_messages
from dandelionpick import request_state
from dandelionpick import routing_state
from dandelionpick import tree_state


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this instance and addresses of the platform's services."""

    instance: ids.InstanceId
    failure_domain: ids.FailureDomain
    region: ids.Region
    store_address: str
    list_address: str


@dataclasses.dataclass(slots=True)
class Peer:
    """A peer: another entry instance.

    Attributes:
        last_heartbeat_s: monotonic seconds of the last heartbeat; -inf before
            the first.
        first_listed_s: monotonic seconds when the peer was first listed.
        last_failure_s: monotonic seconds of the last failed call to it; -inf
            before the first.
        superseded: earlier incarnations, whose late heartbeats are ignored.
        leaving: incarnation that announced its shutdown, or "".
    """

    entry: list_messages.InstanceEntry
    first_listed_s: float
    last_heartbeat_s: float = float("-inf")
    heartbeat: peer_messages.Heartbeat | None = None
    last_failure_s: float = float("-inf")
    superseded: tuple[ids.Incarnation, ...] = ()
    leaving: str = ""


@dataclasses.dataclass(slots=True)
class Members:
    """Instances and targets known from the instance list and heartbeats.

    Attributes:
        entries: the latest list, by id; always replaced as a whole.
        local_targets: targets in this failure domain, by role; a cache that is
            derived from the entries.
        local_targets_source: the entries that the cache was derived from.
        peers: other entry instances, by id.
        list_read_s: monotonic seconds of the last successful read of the list.
        list_etag: ETag of the latest list.
        list_pending: whether a read of the list is in progress.
        heartbeat_sent_s: monotonic seconds of the last heartbeat round.
        heartbeat_rounds: number of heartbeat rounds sent.
        missing_since_s: monotonic seconds when the list first lacked an entry
            that is still kept, by id.
        last_reply_s: monotonic seconds of the last reply of a target, by id.
        has_self: whether the latest list contains this instance.
        stall_count: number of long stalls of the event loop so far.
        settling_until_s: monotonic seconds until which missing heartbeats do
            not count against a peer; None before the first tick.
    """

    entries: dict[ids.InstanceId, list_messages.InstanceEntry] = (
        dataclasses.field(default_factory=dict)
    )
    local_targets: dict[kinds.Role, list[list_messages.InstanceEntry]] = (
        dataclasses.field(default_factory=dict)
    )
    local_targets_source: (
        dict[ids.InstanceId, list_messages.InstanceEntry] | None
    ) = None
    peers: dict[ids.InstanceId, Peer] = dataclasses.field(default_factory=dict)
    list_read_s: float = float("-inf")
    list_etag: str = ""
    list_pending: bool = False
    heartbeat_sent_s: float = float("-inf")
    heartbeat_rounds: int = 0
    missing_since_s: dict[ids.InstanceId, float] = dataclasses.field(
        default_factory=dict
    )
    last_reply_s: dict[ids.InstanceId, float] = dataclasses.field(
        default_factory=dict
    )
    has_self: bool = False
    stall_count: int = 0
    settling_until_s: float | None = None


@dataclasses.dataclass(slots=True)
class Drain:
    """Progress of a graceful shutdown.

    Attributes:
        requested_s: monotonic seconds of the request; None before it.
        exit_sent: whether the Exit effect has been emitted.
    """

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
    drain_limit_s: float = 30.0
    short_max_s: float = 0.5
    closed_to_long_share: float = 0.25
    inter_region_bytes_per_s: int = 100_000


@dataclasses.dataclass(slots=True)
class State:
    """The complete state of an entry instance."""

    identity: Identity
    incarnation: ids.Incarnation
    limits: Limits = dataclasses.field(default_factory=Limits)
    calls: dict[ids.CallId, dispatch.PendingCall] = dataclasses.field(
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
    routing: routing_state.Routing = dataclasses.field(
        default_factory=routing_state.Routing
    )
    jobs: job_state.Jobs = dataclasses.field(default_factory=job_state.Jobs)
    drain: Drain = dataclasses.field(default_factory=Drain)

    def store(self) -> effects.Destination:
        """Returns the platform's configuration store."""
        return effects.Destination(
            kinds.Service.STORE, "", self.identity.store_address
        )

    def gauges(self) -> dict[str, float]:
        """Returns the values of the gauges that are derived from the state."""
        return {
            "revision": self.configuration.document.revision,
            "leaving": float(self.drain.requested_s is not None),
        }
