"""State of jobs: stored records, gangs, and what is known of workers."""

import dataclasses
import enum
from typing import Any

import msgspec

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import worker_messages

JobName = tuple[ids.OrganisationId, ids.RequestKey]

# A finished job is kept at least this long and until its claim is final, so
# that a late submission always finds the record or the outcome in the claim.
FINISHED_RETENTION_MS = 600_000
# Retention while the document is more than half full. By then a submission that
# saw the claim still open has written its record or given up: a cached claim is
# at most 30 s old, and a commit has a deadline of 8 s.
HALF_FULL_RETENTION_MS = 90_000

OCCUPYING_STATES = (
    kinds.PartState.HELD,
    kinds.PartState.STARTING,
    kinds.PartState.RUNNING,
)
FINAL_STATES = (
    kinds.JobState.FINISHED,
    kinds.JobState.FAILED,
    kinds.JobState.CANCELLED,
    kinds.JobState.UNKNOWN,
)


class Placement(msgspec.Struct, frozen=True):
    """The only gang that a non-idempotent job may start.

    Attributes:
        workers: ids of the gang's workers, sorted.
        incarnations: incarnations of these workers, in the same order.
    """

    gang_id: ids.GangId
    workers: list[ids.InstanceId]
    incarnations: list[ids.Incarnation]


class JobRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record of a job in the document of its failure domain.

    Attributes:
        digest: digest of the specification.
        accepted_ms: Unix milliseconds.
        idempotent: setting of the job's class at acceptance; a later edit must
            not change what was promised.
        checkpointable: likewise.
        revision: increases by one with each change of this record.
        run: number of the last recorded run; 0 before the first.
        failures: number of runs in which a task failed.
        crashes: number of runs soon after whose start a worker restarted.
        cancel: whether the caller requested cancellation.
        finished_ms: Unix milliseconds; 0 before the end.
        claim_final: whether the claim in the store contains the outcome.
    """

    job: caller_messages.SubmitJob
    digest: str
    accepted_ms: int
    idempotent: bool
    checkpointable: bool
    revision: int = 1
    state: kinds.JobState = kinds.JobState.QUEUED
    outcome: kinds.Outcome = kinds.Outcome.PENDING
    run: int = 0
    failures: int = 0
    crashes: int = 0
    placement: Placement | None = None
    checkpoint: str = ""
    cancel: bool = False
    results: list[str] = []
    problem: errors.Problem | None = None
    finished_ms: int = 0
    claim_final: bool = False

    def is_expired(self, unix_ms: int, over_half_full: bool) -> bool:
        """Returns whether the record may be dropped."""
        retention_ms = FINISHED_RETENTION_MS
        if over_half_full:
            retention_ms = HALF_FULL_RETENTION_MS
        return self.claim_final and unix_ms - self.finished_ms > retention_ms


class JobClaim(msgspec.Struct, frozen=True, kw_only=True):
    """The failure domain that owns a key, and the outcome of its job.

    Attributes:
        digest: digest of the specification.
        outcome: PENDING until the job has ended.
        final_ms: Unix milliseconds at which the outcome was recorded.
    """

    digest: str
    failure_domain: ids.FailureDomain
    claimed_ms: int
    revision: int = 1
    outcome: kinds.Outcome = kinds.Outcome.PENDING
    state: kinds.JobState = kinds.JobState.QUEUED
    final_ms: int = 0

    def is_expired(self, unix_ms: int, over_half_full: bool) -> bool:
        """Returns False: claims are deleted by bucket, never individually."""
        return False


@dataclasses.dataclass(slots=True)
class Change:
    """A queued change of one record.

    Attributes:
        name: name of the record in the document.
        expected: revision to replace; 0 if there is no record yet.
        record: the new record.
        context: passed to its result handler with the result.
        deadline_s: monotonic seconds after which it is not retried.
        write_ids: writes that contained it and may have taken effect.
    """

    name: str
    expected: int
    record: Any
    context: Any
    deadline_s: float
    write_ids: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Document:
    """Local copy of a document of records in the store.

    Attributes:
        version: version in the store; None if the document must be read before
            the next write.
        loaded: whether it was ever read or written.
        recent_write_ids: ids of the document's most recent writes.
        queued: changes for the next write.
        in_flight: changes in the write in progress.
        readers: contexts that wait for the next read.
        refreshed_s: when the last read was sent, or the last write returned.
        confirmed_s: when the read was sent that last confirmed this copy.
        last_used_s: when a change or read was last queued or in progress.
        over_half_full: whether the last encoded document exceeds half of its
            maximum size.
    """

    key: str
    record_type: Any
    version: int | None = None
    loaded: bool = False
    records: dict[str, Any] = dataclasses.field(default_factory=dict)
    recent_write_ids: list[str] = dataclasses.field(default_factory=list)
    queued: list[Change] = dataclasses.field(default_factory=list)
    in_flight: list[Change] = dataclasses.field(default_factory=list)
    readers: list[Any] = dataclasses.field(default_factory=list)
    read_pending: bool = False
    refreshed_s: float = float("-inf")
    confirmed_s: float = float("-inf")
    last_used_s: float = 0.0
    over_half_full: bool = False


class StopCause(enum.Enum):
    """Why all parts of a gang are stopped."""

    REFUSED = "refused"
    LOST = "lost"
    FAILED = "failed"
    RECLAIMED = "reclaimed"
    CANCELLED = "cancelled"
    OBSOLETE = "obsolete"


@dataclasses.dataclass(slots=True)
class Part:
    """The part of a gang on one worker, as known to this instance.

    Attributes:
        accelerators: indices on the worker.
        state: None before the hold is acknowledged.
        incarnation: the worker's incarnation when it acknowledged the hold.
        status_sent_s: send time of the call that last reported the state.
        state_changed_s: when a reply last changed the state.
        lease_end_s: end of the last acknowledged lease or hold.
        latest_lease_end_s: when every lease or hold sent has certainly expired.
        full_lease: whether the lease has its full length.
        pending: whether a call about this part alone is in progress.
        retry_s: when the next call about this part may be sent.
        stop_attempts: number of stops that got no reply.
        stopped: whether the worker acknowledged the stop or reported the end.
        lost: whether the part has ended without such an acknowledgement.
        ran: whether the worker reported that the part ran.
        crashed: whether the worker restarted soon after it had started the
            part.
    """

    worker: ids.InstanceId
    accelerators: list[int]
    tasks: int = 0
    state: kinds.PartState | None = None
    incarnation: ids.Incarnation = ids.Incarnation("")
    status_sent_s: float = float("-inf")
    state_changed_s: float = float("inf")
    lease_end_s: float = float("inf")
    latest_lease_end_s: float = float("-inf")
    full_lease: bool = False
    pending: bool = False
    retry_s: float = float("-inf")
    stop_attempts: int = 0
    stopped: bool = False
    lost: bool = False
    ran: bool = False
    crashed: bool = False
    checkpoint: str = ""
    result: str = ""


@dataclasses.dataclass(slots=True)
class Gang:
    """One run of a job.

    Attributes:
        parts: by worker id, in sorted order.
        placed: whether the job's record names this gang; required before any
            part of a non-idempotent job is started.
        placing: whether that write is in progress.
        stop: why the gang is being stopped, or None.
        backfill: whether it runs on accelerators reserved for another job.
        adopted: whether it was found by listing the workers.
        outcome_decided: whether the stop's effect on the job is decided.
    """

    gang_id: ids.GangId
    labels: worker_messages.PartLabels
    parts: dict[ids.InstanceId, Part]
    created_s: float
    placed: bool = False
    placing: bool = False
    stop: StopCause | None = None
    backfill: bool = False
    adopted: bool = False
    outcome_decided: bool = False

    @property
    def name(self) -> JobName:
        """Returns the name of the job."""
        return (self.labels.organisation, self.labels.key)


@dataclasses.dataclass(slots=True)
class WorkerView:
    """What this instance knows of a worker.

    Attributes:
        report: the last report.
        report_sent_s: when the call was sent that returned the report.
        gangs: gangs of this instance with a part on the worker.
        list_pending: whether a listing is in progress.
        list_sent_s: when the last listing was sent.
        renew_sent_s: when the last renewal of leases was sent; moved back after
            a failure, so that the next is due sooner.
        listing_attempted: whether a listing has returned or failed since the
            views were invalidated.
        failed_jobs: jobs with a failed part here since the last success.
        quarantined_until_s: end of the quarantine; until then no part is
            placed here, afterwards only idempotent work until a part succeeds.
    """

    report: worker_messages.WorkerReport | None = None
    report_sent_s: float = float("-inf")
    gangs: set[ids.GangId] = dataclasses.field(default_factory=set)
    list_pending: bool = False
    list_sent_s: float = float("-inf")
    renew_sent_s: float = float("-inf")
    listing_attempted: bool = False
    failed_jobs: set[JobName] = dataclasses.field(default_factory=set)
    quarantined_until_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Outcome:
    """Consequence of the end of a gang for its job, until it is written.

    Attributes:
        gang_id: the gang that ended.
        fields: new values of fields of the job's record.
        final: whether the job has ended.
        requires_placement: whether the outcome is valid only while the
            record's placement names the gang.
        pending: whether a write is in progress.
        retry_s: when the next write may be tried.
    """

    gang_id: ids.GangId
    fields: dict[str, Any]
    final: bool
    requires_placement: bool
    pending: bool = False
    retry_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Reservation:
    """Accelerators reserved for a wide job that has waited long.

    Attributes:
        accelerators: indices by worker.
        stopping_backfill: whether only backfill is left, and is being stopped.
    """

    name: JobName
    accelerators: dict[ids.InstanceId, frozenset[int]]
    stopping_backfill: bool = False


@dataclasses.dataclass(slots=True)
class Jobs:
    """Cached documents, and all gangs of the failure domain.

    Attributes:
        documents: by key in the store.
        gangs: gangs that this instance manages; empty unless it is preferred.
        preferred_since_s: since when this instance is preferred, or None.
        trusted_since_s: worker reports to calls sent before this time are not
            trusted.
        first_seen_s: when a gang that this instance does not manage was first
            seen.
        outcomes: consequences of ended gangs that are not written yet.
        closing_claims: finished jobs whose claims are being closed.
        checkpoints: last run and checkpoint of jobs that run again.
        queued_since_s: when a queued job was first seen ready for placement.
        retry_s: when the placement of a job may be retried.
        reservation: for a wide job that has waited long; None if there is none.
        reclaims: accelerators of the guaranteed shape that each job has claimed
            and waits for, by job.
        plans: by failure domain; the inputs of the plan and the plan.
        usage: service by organisation in its accounting unit, halved
            periodically.
    """

    documents: dict[str, Document] = dataclasses.field(default_factory=dict)
    writes_made: int = 0
    gangs_made: int = 0
    gangs: dict[ids.GangId, Gang] = dataclasses.field(default_factory=dict)
    workers: dict[ids.InstanceId, WorkerView] = dataclasses.field(
        default_factory=dict
    )
    preferred_since_s: float | None = None
    trusted_since_s: float = float("-inf")
    first_seen_s: dict[ids.GangId, float] = dataclasses.field(
        default_factory=dict
    )
    outcomes: dict[JobName, Outcome] = dataclasses.field(default_factory=dict)
    closing_claims: set[JobName] = dataclasses.field(default_factory=set)
    checkpoints: dict[JobName, tuple[int, str]] = dataclasses.field(
        default_factory=dict
    )
    queued_since_s: dict[JobName, float] = dataclasses.field(
        default_factory=dict
    )
    retry_s: dict[JobName, float] = dataclasses.field(default_factory=dict)
    reservation: Reservation | None = None
    reclaims: dict[JobName, dict[ids.InstanceId, frozenset[int]]] = (
        dataclasses.field(default_factory=dict)
    )
    plans: dict[ids.FailureDomain, tuple[Any, Any]] = dataclasses.field(
        default_factory=dict
    )
    usage: dict[ids.OrganisationId, float] = dataclasses.field(
        default_factory=dict
    )
    usage_halved_s: float = 0.0
