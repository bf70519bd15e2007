"""Answers fetches and cancellations of jobs on any instance.

The claim tells the failure domain; its preferred instance knows most. If that
instance can't be reached, the failure domain's document in the store is read,
and a cancellation is written there for the scheduler to find.
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

# A cancellation takes a read and a write at the receiver.
PEER_TIMEOUT_S = 4.0
# A fetch is answered from a copy of the document up to this old, because the
# store could not bear a read for each poll of each caller.
VIEW_AGE_S = 2.0

CANCELLED_QUEUED = errors.Problem(
    errors.ProblemKind.CANCELLED,
    "The job was cancelled before it was started.",
    "Submit it under a new key to run it.",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Lookup:
    """A fetch or cancellation in progress.

    Attributes:
        cancel: a cancellation.
        forwarded: it came from a peer, and is not sent on to another.
        failure_domain: the owner of the key, once it is known.
        claim: the claim, if it was found.
    """

    name: job_state.JobName
    exchange_id: ids.ExchangeId
    cancel: bool
    forwarded: bool
    failure_domain: ids.FailureDomain = ids.FailureDomain("")
    claim: job_state.JobClaim | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRead:
    """Context of the read of a claim."""

    lookup: Lookup


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAsked:
    """Context of a question to the preferred instance."""

    lookup: Lookup


@dataclasses.dataclass(frozen=True, slots=True)
class EntryRead:
    """Context of the read of a failure domain's document."""

    lookup: Lookup


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWritten:
    """Context of a cancellation written to the document."""

    lookup: Lookup
    deadline_s: float


@dispatch.receive.register(caller_messages.FetchJob)
@dispatch.receive.register(caller_messages.CancelJob)
@dispatch.receive.register(peer_messages.FetchPeerJob)
@dispatch.receive.register(peer_messages.CancelPeerJob)
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
        forwarded=isinstance(message, peer),
    )
    own = state.identity.failure_domain
    if lookup.forwarded:
        at_domain(state, step, dataclasses.replace(lookup, failure_domain=own))
        return
    document = job_status.document_of(state, own)
    if job_claims.record_name(lookup.name) in document.records:
        at_domain(state, step, dataclasses.replace(lookup, failure_domain=own))
        return
    bucket = job_claims.bucket_of(state, lookup.name)
    if bucket is None:
        status = job_status.unknown(lookup.name, job_status.UNKNOWN_KEY)
        step.respond(exchange_id, status)
        return
    job_documents.read(state, step, bucket, ClaimRead(lookup))


@document_results.committed.register
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
    at_domain(
        state,
        step,
        dataclasses.replace(lookup, failure_domain=domain, claim=claim),
    )


def is_ended(claim: job_state.JobClaim | None) -> bool:
    """Returns whether a claim says that its job has ended.

    An open claim without an entry proves nothing: the job was not accepted.
    """
    return claim is not None and claim.outcome is not kinds.Outcome.PENDING


def at_domain(
    state: state_lib.State, step: dispatch.Step, lookup: Lookup
) -> None:
    """Asks the scheduler of the failure domain, or reads its document."""
    peer = job_status.scheduler_of(
        state, lookup.failure_domain, step.moment.now_s
    )
    if peer is None or lookup.forwarded:
        document = job_status.document_of(state, lookup.failure_domain)
        record = document.records.get(job_claims.record_name(lookup.name))
        age_s = step.moment.now_s - document.confirmed_s
        if record is not None and not lookup.cancel and age_s < VIEW_AGE_S:
            status = job_status.of_record(state, record, lookup.failure_domain)
            step.respond(lookup.exchange_id, status)
            return
        job_documents.read(state, step, document, EntryRead(lookup))
        return
    message_type = peer_messages.FetchPeerJob
    if lookup.cancel:
        message_type = peer_messages.CancelPeerJob
    dispatch.call(
        state,
        step,
        membership.peer_destination(peer),
        message_type(organisation=lookup.name[0], key=lookup.name[1]),
        PeerAsked(lookup),
        PEER_TIMEOUT_S,
    )


@dispatch.returned.register
def _(
    context: PeerAsked,
    state: state_lib.State,
    step: dispatch.Step,
    reply: caller_messages.JobStatus | peer_messages.Refused,
) -> None:
    lookup = context.lookup
    kind = reply.problem and reply.problem.kind
    if kind is errors.ProblemKind.UNKNOWN_KEY and is_ended(lookup.claim):
        status = job_status.of_claim(lookup.name, lookup.claim)
        step.respond(lookup.exchange_id, status)
    elif isinstance(reply, caller_messages.JobStatus) and (
        kind is not errors.ProblemKind.STORE_UNAVAILABLE
    ):
        step.respond(lookup.exchange_id, reply)
    else:
        _read_here(state, step, lookup)


@dispatch.failed.register
def _(
    context: PeerAsked,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    _read_here(state, step, context.lookup)


def _read_here(
    state: state_lib.State, step: dispatch.Step, lookup: Lookup
) -> None:
    document = job_status.document_of(state, lookup.failure_domain)
    job_documents.read(state, step, document, EntryRead(lookup))


@document_results.committed.register
def _(
    context: EntryRead,
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
    elif is_ended(lookup.claim) and fresh:
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
    be once this change is in the store; any other one is left to the
    scheduler, which stops its gang whole.
    """
    if record.state in job_state.FINAL or record.cancel:
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


@document_results.committed.register
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
