"""State of jobs: records in the store, gangs, and views of workers."""

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

# A finished job is kept this long, and longer until its claim is final: a
# late submission must never find neither.
FINISHED_RETENTION_MS = 600_000
# Retention while the document is more than half full. A submission that found
# the claim still open has written its entry, or given up, after a copy's
# greatest age of 30 s and a deadline of 8 s.
CROWDED_RETENTION_MS = 90_000

OCCUPYING = (
    kinds.PartState.HELD,
    kinds.PartState.STARTING,
    kinds.PartState.RUNNING,
)
FINAL = (
    kinds.JobState.FINISHED,
    kinds.JobState.FAILED,
    kinds.JobState.CANCELLED,
    kinds.JobState.UNKNOWN,
)


class Placement(msgspec.Struct, frozen=True):
    """The only gang that a non-idempotent job may start.

    Attributes:
        workers: ids of the gang's workers, sorted.
        incarnations: of these workers, in the same order.
    """

    gang_id: ids.GangId
    workers: list[ids.InstanceId]
    incarnations: list[ids.Incarnation]


class JobRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A job in the document of its failure domain.

    Attributes:
        revision: rises by one with each change of this record.
        digest: of the specification.
        accepted_ms: Unix milliseconds.
        idempotent: as the job's class said when it was accepted; a later edit
            must not change what was promised.
        checkpointable: likewise.
        run: number of the last run that is recorded; 0 before the first.
        failures: runs in which a task failed.
        cancel: the caller asked for the job to be cancelled.
        finished_ms: Unix milliseconds; 0 before the end.
        claim_final: the claim in the store says how the job ended.
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
    placement: Placement | None = None
    checkpoint: str = ""
    cancel: bool = False
    results: list[str] = []
    problem: errors.Problem | None = None
    finished_ms: int = 0
    claim_final: bool = False

    def is_expired(self, unix_ms: int, crowded: bool) -> bool:
        """Returns whether the record may be dropped."""
        retention_ms = FINISHED_RETENTION_MS
        if crowded:
            retention_ms = CROWDED_RETENTION_MS
        return self.claim_final and unix_ms - self.finished_ms > retention_ms


class JobClaim(msgspec.Struct, frozen=True, kw_only=True):
    """Which failure domain a key belongs to, and how its job ended.

    Attributes:
        outcome: PENDING until the job has ended.
        final_ms: Unix milliseconds when that was recorded.
    """

    digest: str
    failure_domain: ids.FailureDomain
    claimed_ms: int
    revision: int = 1
    outcome: kinds.Outcome = kinds.Outcome.PENDING
    state: kinds.JobState = kinds.JobState.QUEUED
    final_ms: int = 0

    def is_expired(self, unix_ms: int, crowded: bool) -> bool:
        """Claims are deleted by bucket, never one by one."""
        return False


@dataclasses.dataclass(slots=True)
class Change:
    """A change of one record that waits to be written.

    Attributes:
        expected: revision of the record that it replaces; 0 if there is none.
        context: passed to `document_results.committed` with the result.
        deadline_s: monotonic seconds after which it is not tried again.
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
    """A document of records in the store, as last read or written.

    Attributes:
        version: None if it must be read before the next write.
        loaded: whether it was ever read.
        writes: ids of the last writes that the document contains.
        in_flight: changes in the write that is under way.
        crowded: the document is more than half full.
        readers: contexts that wait for the next read.
        read_s: when the last read was sent, or the last write returned.
        confirmed_s: when a call was sent or returned that showed the store's
            content as it is here.
    """

    key: str
    record_type: Any
    version: int | None = None
    loaded: bool = False
    records: dict[str, Any] = dataclasses.field(default_factory=dict)
    writes: list[str] = dataclasses.field(default_factory=list)
    queued: list[Change] = dataclasses.field(default_factory=list)
    in_flight: list[Change] = dataclasses.field(default_factory=list)
    readers: list[Any] = dataclasses.field(default_factory=list)
    read_pending: bool = False
    read_s: float = float("-inf")
    confirmed_s: float = float("-inf")
    used_s: float = 0.0
    crowded: bool = False


class StopCause(enum.Enum):
    """Why a gang is stopped whole."""

    REFUSED = "refused"
    LOST = "lost"
    FAILED = "failed"
    RECLAIMED = "reclaimed"
    CANCELLED = "cancelled"
    OBSOLETE = "obsolete"


@dataclasses.dataclass(slots=True)
class Part:
    """The part of a gang on one worker, as this instance knows it.

    Attributes:
        state: None before the hold is acknowledged.
        incarnation: of the worker when it acknowledged the hold.
        known_s: when the call was sent whose reply told the state.
        seen_s: when that reply arrived.
        lease_end_s: end of the last lease or hold that was acknowledged.
        over_s: when the last lease that was ever sent has certainly lapsed.
        long_lease: whether the lease has grown to its full length.
        pending: a call about this part alone is under way.
        retry_s: when the next call about this part may be sent.
        stop_tries: stops that were sent without a reply.
        stopped: the worker acknowledged the stop, or told of the end.
        gone: the part has ended without such an acknowledgement.
    """

    worker: ids.InstanceId
    accelerators: list[int]
    tasks: int = 0
    state: kinds.PartState | None = None
    incarnation: ids.Incarnation = ids.Incarnation("")
    known_s: float = float("-inf")
    seen_s: float = float("inf")
    lease_end_s: float = float("inf")
    over_s: float = float("-inf")
    long_lease: bool = False
    pending: bool = False
    retry_s: float = float("-inf")
    stop_tries: int = 0
    stopped: bool = False
    gone: bool = False
    ran: bool = False
    checkpoint: str = ""
    result: str = ""


@dataclasses.dataclass(slots=True)
class Gang:
    """One run of a job.

    Attributes:
        parts: by worker id, in sorted order.
        placed: the job document names this gang; needed by a non-idempotent
            job before anything is started.
        placing: that write is under way.
        stop: why the gang is being stopped, or None.
        backfill: it was started on accelerators that another job has reserved.
        adopted: it was found by listing the workers.
        settled: what follows for the job from the stop has been decided.
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
    settled: bool = False

    @property
    def name(self) -> JobName:
        """Returns the name of the job."""
        return (self.labels.organisation, self.labels.key)


@dataclasses.dataclass(slots=True)
class WorkerView:
    """What this instance knows of a worker.

    Attributes:
        report: the last report.
        report_sent_s: when the call was sent that returned it.
        gangs: gangs of this instance with a part here.
        list_pending: a listing is under way.
        list_sent_s: when the last listing was sent.
        tried: a listing has returned or failed since the views were dropped.
        failing: jobs with a failed part here since the last success.
        quarantined_s: until then nothing is placed here; afterwards only
            idempotent work until a part succeeds.
    """

    report: worker_messages.WorkerReport | None = None
    report_sent_s: float = float("-inf")
    gangs: set[ids.GangId] = dataclasses.field(default_factory=set)
    list_pending: bool = False
    list_sent_s: float = float("-inf")
    renew_sent_s: float = float("-inf")
    tried: bool = False
    failing: set[JobName] = dataclasses.field(default_factory=set)
    quarantined_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Outcome:
    """What follows for a job from the end of a gang; waits to be written.

    Attributes:
        gang_id: the gang that ended.
        fields: new values of fields of the job's record.
        final: the job has ended.
        guarded: valid only while the record's placement names the gang.
        pending: a write is under way.
        retry_s: when the next write may be tried.
    """

    gang_id: ids.GangId
    fields: dict[str, Any]
    final: bool
    guarded: bool
    pending: bool = False
    retry_s: float = float("-inf")


@dataclasses.dataclass(slots=True)
class Reservation:
    """Accelerators that are kept for a wide job that has waited long.

    Attributes:
        accelerators: indices by worker.
        closing: only backfill is left on them; it is being stopped.
    """

    name: JobName
    accelerators: dict[ids.InstanceId, frozenset[int]]
    closing: bool = False


@dataclasses.dataclass(slots=True)
class Jobs:
    """Documents in memory, and all gangs of the failure domain.

    Attributes:
        documents: by key in the store.
        gangs: gangs that this instance drives; empty unless it is preferred.
        preferred_s: since when this instance is preferred, or None.
        trusted_s: what workers said to calls sent before this is not trusted.
        first_seen_s: when an incomplete foreign gang was first seen.
        outcomes: consequences of ended gangs that wait to be written.
        closing: finished jobs whose claims are being closed.
        checkpoints: last run and checkpoint of jobs that run again.
        reservation: for the wide job that has waited longest.
        reclaims: accelerators that a guaranteed shape waits for, by job.
        plans: for each failure domain what the plan was made from, and it.
        queued_since_s: when a queued job was first seen ready to be placed.
        retry_s: when a job may be tried again.
        used: service by organisation in its accounting unit, halved
            periodically.
    """

    documents: dict[str, Document] = dataclasses.field(default_factory=dict)
    writes_made: int = 0
    gangs_made: int = 0
    gangs: dict[ids.GangId, Gang] = dataclasses.field(default_factory=dict)
    workers: dict[ids.InstanceId, WorkerView] = dataclasses.field(
        default_factory=dict
    )
    preferred_s: float | None = None
    trusted_s: float = float("-inf")
    first_seen_s: dict[ids.GangId, float] = dataclasses.field(
        default_factory=dict
    )
    outcomes: dict[JobName, Outcome] = dataclasses.field(default_factory=dict)
    closing: set[JobName] = dataclasses.field(default_factory=set)
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
    used: dict[ids.OrganisationId, float] = dataclasses.field(
        default_factory=dict
    )
    used_halved_s: float = 0.0
