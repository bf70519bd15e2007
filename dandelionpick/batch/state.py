"""State of an instance that schedules batch jobs or may be elected to."""

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
from dandelionpick.batch import features as features_lib
from dandelionpick.batch import messages
from dandelionpick.batch import monitoring_state
from dandelionpick.batch import schedule_state
from dandelionpick.batch import target_api
from dandelionpick.batch import watches as watches_lib

JOBS_PREFIX = "dandelionpick/intake/jobs/"
CANCELS_PREFIX = "dandelionpick/intake/cancels/"
INTAKE_PREFIX = "dandelionpick/intake/"
PROGRESS_PREFIX = "dandelionpick/progress/"
# The scheduler's key shares the prefix, and so the watch, with the jobs and
# sorts before them: a replaced scheduler learns of its replacement before it
# sees any job that was accepted afterwards.
SCHEDULER_KEY = "dandelionpick/intake/authority"
ROSTER_KEY = "dandelionpick/roster"
RUN_TIMES_KEY = "dandelionpick/run-times"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of this instance, and its addresses.

    Attributes:
        store_address: address of the platform's store.
        peer_address: address at which other instances reach this one.
        strength: processor cores of this instance; 0 if unknown.
    """

    instance: ids.InstanceId
    failure_domain: ids.FailureDomain
    region: ids.Region
    store_address: str
    peer_address: str
    strength: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Formats:
    """Store keys and decoders of the data that the platform writes.

    Attributes:
        catalog_key: key of the operators' configuration.
        targets_prefix: key prefix of the targets' entries.
        evacuations_prefix: key prefix of the failure domains that operators
            evacuate.
    """

    catalog_key: str
    targets_prefix: str
    evacuations_prefix: str
    decode_catalog: Callable[[bytes], Result[catalog_lib.Catalog, str]]
    decode_target: Callable[[str, bytes], Result[target_api.TargetEntry, str]]


@dataclasses.dataclass(slots=True)
class Limits:
    """Time limits that the platform guarantees or requires; all are settings.

    Attributes:
        revoke_s: an API key must not be accepted this long after its removal.
        run_lease_s: longest lease that targets grant.
        retention_s: how long the state of an ended job is kept.
        drain_s: time from the request of a graceful shutdown until the process
            is killed.
        restore_s: how long a run takes to resume from a checkpoint.
        stop_s: how long a stop takes at most.
        early_s: how much too early an occurrence may start.
        heartbeat_s: interval of the targets' reports to the store; 0 if
            unknown.
        evacuate_s: no task may start in a failure domain this long after its
            evacuation was acknowledged; 0 if evacuations are not watched.
        gang_wait_s: how long members of a gang wait for the others on their
            targets; 0 if starts without a reply are not repeated.
        memory_mb: megabytes that the process may use; 0 if unknown.
    """

    revoke_s: float = 5.0
    run_lease_s: float = 10.0
    retention_s: float = 120.0
    drain_s: float = 6.0
    restore_s: float = 0.6
    stop_s: float = 0.4
    early_s: float = 0.25
    heartbeat_s: float = 1.5
    evacuate_s: float = 0.0
    gang_wait_s: float = 0.0
    memory_mb: float = 0.0


class Role(enum.Enum):
    """Role of this instance in the election of the scheduler."""

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
class Election:
    """State of the scheduler's election, as this instance knows it.

    Attributes:
        role: role of this instance.
        record: the current scheduler; None if there is none.
        record_epoch: epoch of the current scheduler.
        epoch: epoch of this instance as the scheduler, which is the revision
            of the key that it wrote; targets refuse lower epochs.
        replaces_revision: revision of the key that a campaign replaces because
            its holder has ended or can't continue; 0 if a campaign may only
            create the key.
        campaign_at_s: when to start a campaign; None if none is planned.
        lease: lease of the key that this instance wrote; 0 if there is none.
        acquired_s: when the key was surely this instance's own at first.
        renewed_s: when the last successful renewal was sent.
        renew_at_s: when to send the next renewal.
        renewal_pending: whether a renewal is in progress.
        refusals: renewals that the store refused since the last success.
        first_refusal_s: when the first of them was sent.
        fenced: a target or the store has shown that this instance's epoch is
            over.
        unverified: the process was suspended, so that another instance may
            have become the scheduler; nothing is started until the store has
            renewed the lease.
        suspended_s: when the last suspension ended.
        elected_s: when this instance last became the scheduler.
        lag_share: share of the time in which the event loop was late, averaged
            over the last seconds.
        lag_recorded_s: when it was last updated.
    """

    role: Role = Role.FOLLOWING
    record: SchedulerRecord | None = None
    record_epoch: ids.Epoch = ids.Epoch(0)
    epoch: ids.Epoch = ids.Epoch(0)
    replaces_revision: int = 0
    campaign_at_s: float | None = None
    lease: ids.LeaseId = ids.LeaseId(0)
    acquired_s: float = float("-inf")
    renewed_s: float = float("-inf")
    renew_at_s: float = 0.0
    renewal_pending: bool = False
    refusals: int = 0
    first_refusal_s: float = float("inf")
    fenced: bool = False
    unverified: bool = False
    suspended_s: float = float("-inf")
    elected_s: float = float("-inf")
    lag_share: float = 0.0
    lag_recorded_s: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogReader:
    """An instance that waits for a version later than `after_revision`."""

    after_revision: int
    received_s: float
    until_s: float


@dataclasses.dataclass(slots=True)
class CatalogState:
    """The configuration in force.

    Attributes:
        current: None until it has been read.
        revision: revision of its key in the store.
        min_version: the highest version that a peer is known to have applied;
            this instance applies no lower one.
        value: its value in the store, which other instances read here.
        readers: open exchanges of these instances.
        source: address of the instance to read from; "" for the store.
        copying: whether it is read there at the moment.
        store_until_s: the store is watched until then, because the source
            failed.
    """

    current: catalog_lib.Catalog | None = None
    revision: int = 0
    min_version: int = 0
    value: bytes = b""
    readers: dict[ids.ExchangeId, CatalogReader] = dataclasses.field(
        default_factory=dict
    )
    source: str = ""
    copying: bool = False
    store_until_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """A caller's request in progress.

    Attributes:
        deadline_s: when to end the request, shortly before the caller stops
            waiting.
        uncertain: the reply to a write was lost; the write may take effect.
        relayed: the request came from a peer, which expects a Relayed.
        skip_relay: do not relay the request to the scheduler (again), because
            that was tried, or no other scheduler is known.
        pending_writes: number of calls in progress that may write the job: its
            commits, and relays of the request.
    """

    exchange_id: ids.ExchangeId
    request: messages.Request
    received_s: float
    deadline_s: float
    trace: str
    relayed: bool
    uncertain: bool = False
    skip_relay: bool = False
    pending_writes: int = 0


@dataclasses.dataclass(slots=True)
class DelayedRequest:
    """A request that is retried at a later time."""

    retry_at_s: float
    request: OpenRequest


@dataclasses.dataclass(slots=True)
class StoreHealth:
    """Health of the store as this instance sees it.

    Attributes:
        failing_since_s: when the first call failed after the last success;
            inf if none has failed since then.
        last_failure_s: when a call last failed.
        min_rtt_s: shortest round trip; determines how long this instance waits
            before it campaigns.
    """

    failing_since_s: float = float("inf")
    last_failure_s: float = float("-inf")
    min_rtt_s: float = float("inf")


@dataclasses.dataclass(slots=True)
class JobCredit:
    """What this instance may accept without asking the scheduler.

    Attributes:
        left: bytes of jobs; None if the scheduler sets no bound, as one of an
            earlier release.
        crowded: organisations whose jobs the scheduler decides about.
    """

    left: int | None
    crowded: frozenset[ids.OrganisationId] = frozenset()


@dataclasses.dataclass(slots=True)
class Drain:
    """Progress of a graceful shutdown.

    Attributes:
        requested_s: when the shutdown was requested; None before that.
        exit_sent_s: when the Exit effect was emitted; None before that.
    """

    requested_s: float | None = None
    exit_sent_s: float | None = None


@dataclasses.dataclass(slots=True)
class State:
    """The whole state of an instance.

    Attributes:
        job_credit: what this instance may accept by itself.
        schedule: the schedule; None unless this instance is the scheduler.
        open_requests: requests without a response, by exchange.
        delayed_requests: requests that wait for their next attempt.
    """

    identity: Identity
    incarnation: ids.Incarnation
    formats: Formats
    limits: Limits
    features: features_lib.Features = features_lib.Features()
    job_credit: JobCredit = dataclasses.field(
        default_factory=lambda: JobCredit(None)
    )
    watches: dict[type, watches_lib.Watch] = dataclasses.field(
        default_factory=dict
    )
    calls: dict[ids.CallId, dispatch.PendingCall] = dataclasses.field(
        default_factory=dict
    )
    calls_made: int = 0
    catalog: CatalogState = dataclasses.field(default_factory=CatalogState)
    election: Election = dataclasses.field(default_factory=Election)
    monitoring: monitoring_state.Monitoring = dataclasses.field(
        default_factory=monitoring_state.Monitoring
    )
    schedule: schedule_state.Schedule | None = None
    open_requests: dict[ids.ExchangeId, OpenRequest] = dataclasses.field(
        default_factory=dict
    )
    delayed_requests: collections.deque[DelayedRequest] = dataclasses.field(
        default_factory=collections.deque
    )
    store_health: StoreHealth = dataclasses.field(default_factory=StoreHealth)
    drain: Drain = dataclasses.field(default_factory=Drain)

    def store(self) -> effects.Destination:
        """Returns the destination of calls to the platform's store."""
        return effects.Destination(
            kinds.Service.STORE, "", self.identity.store_address
        )

    def gauges(self) -> dict[str, float]:
        """Returns the gauges that are derived from the state, by metric."""
        current = self.catalog.current
        # Without a schedule, the gauges are those of an empty one.
        schedule = self.schedule or schedule_state.Schedule(ids.Epoch(0), 0.0)
        memory = schedule.memory
        return {
            "revision": current.version if current else 0,
            "leaving": float(self.drain.requested_s is not None),
            "scheduler": float(self.election.role is Role.LEADING),
            "jobs": len(schedule.jobs),
            "isolated_jobs": schedule.isolated_jobs(),
            "parked_jobs": len(schedule.parked),
            "job_memory_bytes": memory.total,
            "job_memory_budget_bytes": memory.budget,
            **schedule.evacuations.gauges(),
            **schedule.waits.gauges(),
            "slow_targets": schedule.evidence.slow_targets(),
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
