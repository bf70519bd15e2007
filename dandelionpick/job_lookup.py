"""Answers fetches and cancellations of jobs on any instance.

The claim names the job's failure domain, and the domain's preferred instance
has the most recent state. If that instance is unreachable, the failure domain's
document is read from the store, and a cancellation is written to it for the
scheduler to find.
"""

import dataclasses

import msgspec

from dandelionpick import caller_messages
from dandelionpick import dispatch
from dandelionpick import document_results
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import job_claims
from dandelionpick import job_documents
from dandelionpick import job_state
from dandelionpick import job_status
from dandelionpick import kinds
from dandelionpick import membership
from dandelionpick import peer_messages
from dandelionpick import state as state_lib

# The receiver of a cancellation makes one read and one write.
PEER_TIMEOUT_S = 4.0
# Maximum age of a cached document that answers a fetch. The store could not
# sustain a read for every poll of every caller.
MAX_CACHE_AGE_S = 2.0

CANCELLED_QUEUED = errors.Problem(
    errors.ProblemKind.CANCELLED,
    "The job was cancelled before it was started.",
    "Submit it under a new key to run it.",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """A fetch or cancellation in progress.

    Attributes:
        cancel: whether this is a cancellation.
        from_peer: whether a peer sent it; it is then not forwarded again.
        failure_domain: owner of the key, once known.
        claim: the claim of the key, if one was found.
    """

    name: job_state.JobName
    exchange_id: ids.ExchangeId
    cancel: bool
    from_peer: bool
    failure_domain: ids.FailureDomain = ids.FailureDomain("")
    claim: job_state.JobClaim | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRead:
    """Context of a claim read."""

    lookup: Lookup


@dataclasses.dataclass(frozen=True, slots=True)
class PeerQueried:
    """Context of a query to the preferred instance."""

    lookup: Lookup


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRead:
    """Context of a read of a failure domain's document."""

    lookup: Lookup


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWritten:
    """Context of the write of a cancellation to the document."""

    lookup: Lookup
    deadline_s: float


@dispatch.on_message.register(caller_messages.FetchJob)
@dispatch.on_message.register(caller_messages.CancelJob)
@dispatch.on_message.register(peer_messages.FetchPeerJob)
@dispatch.on_message.register(peer_messages.CancelPeerJob)
def _(
    message: caller_messages.FetchJob,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    cancel = (caller_messages.CancelJob, peer_messages.CancelPeerJob)
    peer = (peer_messages.FetchPeerJob, peer_messages.CancelPeerJob)
    lookup = Lookup(
        (message.organisation, message.key),
        exchange_id,
        cancel=isinstance(message, cancel),
        from_peer=isinstance(message, peer),
    )
    own = state.identity.failure_domain
    if lookup.from_peer:
        query_domain(
            state, step, dataclasses.replace(lookup, failure_domain=own)
        )
        return
    document = job_status.document_of(state, own)
    if job_claims.record_name(lookup.name) in document.records:
        query_domain(
            state, step, dataclasses.replace(lookup, failure_domain=own)
        )
        return
    bucket = job_claims.bucket_of(state, lookup.name)
    if bucket is None:
        status = job_status.unknown(lookup.name, job_status.UNKNOWN_KEY)
        step.respond(exchange_id, status)
        return
    job_documents.read(state, step, bucket, ClaimRead(lookup))


@document_results.handle_result.register
def _(
    context: ClaimRead,
    state: state_lib.State,
    step: dispatch.Step,
    result: document_results.Fresh | document_results.Unavailable,
) -> None:
    lookup = context.lookup
    bucket = job_claims.bucket_of(state, lookup.name)
    claim = bucket.records.get(job_claims.record_name(lookup.name))
    if claim is None and isinstance(result, document_results.Fresh):
        status = job_status.unknown(lookup.name, job_status.UNKNOWN_KEY)
        step.respond(lookup.exchange_id, status)
        return
    domain = claim.failure_domain if claim else state.identity.failure_domain
    query_domain(
        state,
        step,
        dataclasses.replace(lookup, failure_domain=domain, claim=claim),
    )


def has_ended(claim: job_state.JobClaim | None) -> bool:
    """Returns whether a claim shows that its job has ended.

    An open claim without a job record proves nothing, since the job may never
    have been accepted.
    """
    return claim is not None and claim.outcome is not kinds.Outcome.PENDING


def query_domain(
    state: state_lib.State, step: dispatch.Step, lookup: Lookup
) -> None:
    """Queries the failure domain's scheduler, or reads its document."""
    peer = job_status.scheduler_of(
        state, lookup.failure_domain, step.moment.now_s
    )
    if peer is None or lookup.from_peer:
        document = job_status.document_of(state, lookup.failure_domain)
        record = document.records.get(job_claims.record_name(lookup.name))
        age_s = step.moment.now_s - document.confirmed_s
        if record is not None and not lookup.cancel and age_s < MAX_CACHE_AGE_S:
            status = job_status.of_record(state, record, lookup.failure_domain)
            step.respond(lookup.exchange_id, status)
            return
        job_documents.read(state, step, document, RecordRead(lookup))
        return
    message_type = peer_messages.FetchPeerJob
    if lookup.cancel:
        message_type = peer_messages.CancelPeerJob
    dispatch.call(
        state,
        step,
        membership.peer_destination(peer),
        message_type(organisation=lookup.name[0], key=lookup.name[1]),
        PeerQueried(lookup),
        PEER_TIMEOUT_S,
    )


@dispatch.on_reply.register
def _(
    context: PeerQueried,
    state: state_lib.State,
    step: dispatch.Step,
    reply: caller_messages.JobStatus | peer_messages.Refused,
) -> None:
    lookup = context.lookup
    kind = reply.problem and reply.problem.kind
    if kind is errors.ProblemKind.UNKNOWN_KEY and has_ended(lookup.claim):
        status = job_status.of_claim(lookup.name, lookup.claim)
        step.respond(lookup.exchange_id, status)
    elif isinstance(reply, caller_messages.JobStatus) and (
        kind is not errors.ProblemKind.STORE_UNAVAILABLE
    ):
        step.respond(lookup.exchange_id, reply)
    else:
        _read_document(state, step, lookup)


@dispatch.on_failure.register
def _(
    context: PeerQueried,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    _read_document(state, step, context.lookup)


def _read_document(
    state: state_lib.State, step: dispatch.Step, lookup: Lookup
) -> None:
    document = job_status.document_of(state, lookup.failure_domain)
    job_documents.read(state, step, document, RecordRead(lookup))


@document_results.handle_result.register
def _(
    context: RecordRead,
    state: state_lib.State,
    step: dispatch.Step,
    result: document_results.Fresh | document_results.Unavailable,
) -> None:
    lookup = context.lookup
    document = job_status.document_of(state, lookup.failure_domain)
    record = document.records.get(job_claims.record_name(lookup.name))
    fresh = isinstance(result, document_results.Fresh)
    if record is not None and lookup.cancel and fresh:
        deadline_s = step.moment.now_s + PEER_TIMEOUT_S
        write_cancel(state, step, lookup, record, deadline_s)
        return
    problem = job_status.UNKNOWN_KEY if fresh else job_status.STORE_UNAVAILABLE
    status = job_status.unknown(lookup.name, problem)
    if record is not None and not lookup.cancel:
        status = job_status.of_record(state, record, lookup.failure_domain)
    elif has_ended(lookup.claim) and fresh:
        status = job_status.of_claim(lookup.name, lookup.claim)
    step.respond(lookup.exchange_id, status)


def write_cancel(
    state: state_lib.State,
    step: dispatch.Step,
    lookup: Lookup,
    record: job_state.JobRecord,
    deadline_s: float,
) -> None:
    """Marks an unfinished job as cancelled.

    A non-idempotent job without a placement has never been started, and can't
    be started once this change is in the store, so it ends here. Any other job
    is left to the scheduler, which stops its entire gang.
    """
    if record.state in job_state.FINAL_STATES or record.cancel:
        status = job_status.of_record(state, record, lookup.failure_domain)
        step.respond(lookup.exchange_id, status)
        return
    changes: dict = {"cancel": True}
    if not record.idempotent and record.placement is None and not record.run:
        changes |= {
            "state": kinds.JobState.CANCELLED,
            "outcome": kinds.Outcome.NOT_RUN,
            "problem": CANCELLED_QUEUED,
            "finished_ms": step.moment.unix_ms,
        }
    job_documents.commit(
        state,
        step,
        job_status.document_of(state, lookup.failure_domain),
        job_claims.record_name(lookup.name),
        record.revision,
        msgspec.structs.replace(record, **changes),
        CancelWritten(lookup, deadline_s),
    )


@document_results.handle_result.register
def _(
    context: CancelWritten,
    state: state_lib.State,
    step: dispatch.Step,
    result: document_results.Committed
    | document_results.Superseded
    | document_results.Unavailable,
) -> None:
    lookup = context.lookup
    retry = step.moment.now_s < context.deadline_s
    if (
        isinstance(result, document_results.Superseded)
        and result.record
        and retry
    ):
        write_cancel(state, step, lookup, result.record, context.deadline_s)
        return
    status = job_status.unknown(lookup.name, job_status.STORE_UNAVAILABLE)
    if isinstance(result, document_results.Committed):
        status = job_status.of_record(
            state, result.record, lookup.failure_domain
        )
    step.respond(lookup.exchange_id, status)
