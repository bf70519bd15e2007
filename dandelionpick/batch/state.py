"""State of one instance that schedules jobs, or may have to."""

import collections
import dataclasses
import enum
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Result

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import catalog as catalog_lib
from dandelionpick.batch import messages
from dandelionpick.batch import schedule_state
from dandelionpick.batch import target_api
from dandelionpick.batch import watches as watches_lib

JOBS = "dandelionpick/intake/jobs/"
CANCELS = "dandelionpick/intake/cancels/"
INTAKE = "dandelionpick/intake/"
PROGRESS = "dandelionpick/progress/"
# The scheduler follows this key in the same watch as the jobs, before all of
# them, so that it knows no job that was accepted after its replacement.
SCHEDULER = "dandelionpick/intake/authority"
ROSTER = "dandelionpick/roster"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this instance is and where it finds others.

    Attributes:
        peer_address: where other instances reach it.
    """

    instance: ids.InstanceId
    failure_domain: ids.FailureDomain
    region: ids.Region
    store_address: str
    peer_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Formats:
    """Where the platform keeps what it writes, and how to decode it.

    Attributes:
        catalog_key: key of the operators' configuration.
        targets_prefix: prefix of the targets' entries.
    """

    catalog_key: str
    targets_prefix: str
    decode_catalog: Callable[[bytes], Result[catalog_lib.Catalog, str]]
    decode_target: Callable[[str, bytes], Result[target_api.TargetEntry, str]]


@dataclasses.dataclass(slots=True)
class Limits:
    """Bounds that the platform promises or asks for; all are settings.

    Attributes:
        revoke_s: a removed key must not be accepted later than this.
        run_lease_s: longest lease that targets grant.
        retention_s: how long the state of an ended job is kept.
        drain_s: a leaving process has this long before it is killed.
        restore_s: how long a run takes to resume from a checkpoint.
        stop_s: how long a stop takes at most.
        early_s: how much too early an occurrence may start.
    """

    revoke_s: float = 5.0
    run_lease_s: float = 10.0
    retention_s: float = 120.0
    drain_s: float = 6.0
    restore_s: float = 0.6
    stop_s: float = 0.4
    early_s: float = 0.25


class Role(enum.Enum):
    """Part that the instance has in the election of the scheduler."""

    FOLLOWING = "following"
    ACQUIRING = "acquiring"
    LEADING = "leading"
    LEFT = "left"


class SchedulerRecord(msgspec.Struct, frozen=True):
    """Value of the scheduler's key in the store."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    address: str


@dataclasses.dataclass(slots=True)
class Authority:
    """What is known about the scheduler, and about being it.

    Attributes:
        record: the scheduler; None if there is none.
        record_epoch: its epoch.
        epoch: our epoch, the revision of our key; targets obey no lower one.
        replaces: revision of the key that a campaign replaces, because its
            holder has ended or can't go on; 0 if there is none.
        campaign_s: when to become a candidate; None if there is no reason.
        lease: lease of our key; 0 if there is none.
        kept_s: when the last successful renewal was sent.
        keep_at_s: when to send the next renewal.
        refusals: renewals that the store refused since then.
        refused_s: when the first of them was sent.
        fenced: a target has seen a higher epoch.
    """

    role: Role = Role.FOLLOWING
    record: SchedulerRecord | None = None
    record_epoch: ids.Epoch = ids.Epoch(0)
    epoch: ids.Epoch = ids.Epoch(0)
    replaces: int = 0
    campaign_s: float | None = None
    lease: ids.LeaseId = ids.LeaseId(0)
    kept_s: float = float("-inf")
    keep_at_s: float = 0.0
    keep_pending: bool = False
    refusals: int = 0
    refused_s: float = float("inf")
    fenced: bool = False


@dataclasses.dataclass(slots=True)
class Monitoring:
    """Calls that tell the other instances at once that a scheduler is gone.

    Attributes:
        monitors: exchanges of instances that monitor this scheduler, with
            the time at which each has to be answered.
        pending: our call at the scheduler is in progress.
        call_at_s: when to send the next one.
        replaced_s: when this instance last replaced a scheduler early.
    """

    monitors: dict[ids.ExchangeId, float] = dataclasses.field(
        default_factory=dict
    )
    pending: bool = False
    call_at_s: float = float("-inf")
    replaced_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class KnownCatalog:
    """The configuration in force.

    Attributes:
        current: None until it has been read.
        revision: the store's revision of it.
        floor: a higher version that a peer has decided by; this instance
            decides by no lower one.
    """

    current: catalog_lib.Catalog | None = None
    revision: int = 0
    floor: int = 0


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """A caller's request in progress.

    Attributes:
        deadline_s: when the caller stops waiting.
        uncertain: a write may take effect although its reply was lost.
        relayed: the request came from a peer, which waits for a Relayed.
        scheduler_silent: the scheduler could not answer it.
        writes: writes in progress on its behalf.
    """

    exchange_id: ids.ExchangeId
    request: messages.Request
    received_s: float
    deadline_s: float
    trace: str
    relayed: bool
    uncertain: bool = False
    scheduler_silent: bool = False
    writes: int = 0


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request that is taken up again later."""

    at_s: float
    open_request: OpenRequest


@dataclasses.dataclass(slots=True)
class StoreHealth:
    """How the store answers this instance.

    Attributes:
        failing_since_s: when the first call failed since it last did what
            was asked; inf if none has.
        failed_s: when a call last failed.
        best_rtt_s: shortest time of a call, for the choice of candidates.
    """

    failing_since_s: float = float("inf")
    failed_s: float = float("-inf")
    best_rtt_s: float = float("inf")


@dataclasses.dataclass(slots=True)
class Drain:
    """Progress of a planned stop; requested_s is None before it."""

    requested_s: float | None = None
    exit_sent: bool = False


@dataclasses.dataclass(slots=True)
class State:
    """Everything that an instance knows.

    Attributes:
        started_s: when the process started.
        schedule: only the scheduler has one.
        open_requests: requests without a response, by exchange.
    """

    identity: Identity
    incarnation: ids.Incarnation
    formats: Formats
    limits: Limits
    started_s: float = 0.0
    watches: dict[type, watches_lib.Watch] = dataclasses.field(
        default_factory=dict
    )
    calls: dict[ids.CallId, dispatch.PendingCall] = dataclasses.field(
        default_factory=dict
    )
    calls_made: int = 0
    catalog: KnownCatalog = dataclasses.field(default_factory=KnownCatalog)
    authority: Authority = dataclasses.field(default_factory=Authority)
    monitoring: Monitoring = dataclasses.field(default_factory=Monitoring)
    schedule: schedule_state.Schedule | None = None
    open_requests: dict[ids.ExchangeId, OpenRequest] = dataclasses.field(
        default_factory=dict
    )
    waiting: collections.deque[Waiting] = dataclasses.field(
        default_factory=collections.deque
    )
    store_health: StoreHealth = dataclasses.field(default_factory=StoreHealth)
    drain: Drain = dataclasses.field(default_factory=Drain)

    def store(self) -> effects.Destination:
        """Returns the platform's store."""
        return effects.Destination(
            kinds.Service.STORE, "", self.identity.store_address
        )

    def gauges(self) -> dict[str, float]:
        """Returns the metrics that are derived from the state."""
        current = self.catalog.current
        schedule = self.schedule
        return {
            "revision": current.version if current else 0,
            "leaving": float(self.drain.requested_s is not None),
            "scheduler": float(self.authority.role is Role.LEADING),
            "jobs": len(schedule.jobs) if schedule else 0,
        }


def call_store(
    state: State,
    step: dispatch.Step,
    message: Any,
    context: Any,
    timeout_s: float = 1.0,
) -> None:
    """Sends a message to the store."""
    dispatch.call(state, step, state.store(), message, context, timeout_s)
