"""Accepts jobs.

An accepted job has a claim of its key, written first, and then a record in the
document of its failure domain. Any instance accepts jobs. It forwards a job to
the preferred instance of the chosen failure domain, so that a single writer
groups the commits to the document. If forwarding fails, it writes the claim and
the record itself.
"""

import dataclasses
import hashlib

import msgspec

from dandelionpick import caller_messages
from dandelionpick import dispatch
from dandelionpick import document_results
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import job_claims
from dandelionpick import job_documents
from dandelionpick import job_shapes
from dandelionpick import job_state
from dandelionpick import job_status
from dandelionpick import kinds
from dandelionpick import membership
from dandelionpick import peer_messages
from dandelionpick import state as state_lib
from dandelionpick import submission_checks

MAX_KEY_FUTURE_MS = 60_000
KEY_RETENTION_MS = 24 * 3_600_000
# The payloads of unfinished jobs are stored in the failure domain's document,
# which holds up to 1 MB: 300 payloads of this size leave space for the rest.
MAX_PAYLOAD_BYTES = 2_048
# The receiver of a forwarded job makes two writes.
FORWARD_TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A submitted job that is not recorded yet.

    Attributes:
        digest: digest of the specification.
        may_be_accepted: whether another submission of the key, or another
            instance, may have got the job accepted.
    """

    job: caller_messages.SubmitJob
    exchange_id: ids.ExchangeId
    digest: str
    failure_domain: ids.FailureDomain
    may_be_accepted: bool = False

    @property
    def name(self) -> job_state.JobName:
        """Returns the name of the job."""
        return (self.job.organisation, self.job.key)


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """Context of a job that was forwarded to the preferred instance."""

    submission: Submission


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWritten:
    """Context of the write of a job's claim."""

    submission: Submission


@dataclasses.dataclass(frozen=True, slots=True)
class ExpiredClaimRead:
    """Context of the read of an expired key's claim."""

    submission: Submission


@dataclasses.dataclass(frozen=True, slots=True)
class RecordWritten:
    """Context of the write of a job's record."""

    submission: Submission


@dispatch.on_message.register
def _(
    message: caller_messages.SubmitJob,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    submission = admit(state, step, message, exchange_id)
    if submission is None:
        return
    peer = job_status.scheduler_of(
        state, submission.failure_domain, step.moment.now_s
    )
    if peer is None:
        accept(state, step, submission)
        return
    dispatch.call(
        state,
        step,
        membership.peer_destination(peer),
        peer_messages.ForwardJob(job=message),
        Forwarded(submission),
        FORWARD_TIMEOUT_S,
    )


@dispatch.on_message.register
def _(
    message: peer_messages.ForwardJob,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    submission = admit(state, step, message.job, exchange_id)
    if submission is not None:
        accept(state, step, submission)


@dispatch.on_reply.register
def _(
    context: Forwarded,
    state: state_lib.State,
    step: dispatch.Step,
    reply: caller_messages.JobStatus | peer_messages.Refused,
) -> None:
    if isinstance(reply, caller_messages.JobStatus):
        step.respond(context.submission.exchange_id, reply)
    else:
        accept(state, step, context.submission)


@dispatch.on_failure.register
def _(
    context: Forwarded,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    submission = context.submission
    if failure is kinds.CallFailure.LOST:
        submission = dataclasses.replace(submission, may_be_accepted=True)
    accept(state, step, submission)


def admit(
    state: state_lib.State,
    step: dispatch.Step,
    job: caller_messages.SubmitJob,
    exchange_id: ids.ExchangeId,
) -> Submission | None:
    """Checks a job and chooses its failure domain.

    Returns:
        The submission; None if the job was refused.
    """
    problem = check(state, step, job)
    if problem is None:
        chosen = job_shapes.choose_domain(state, job)
        if not isinstance(chosen, errors.Problem):
            return Submission(job, exchange_id, digest_of(job), chosen)
        problem = chosen
    step.respond(exchange_id, job_status.refusal(job, problem))
    return None


def digest_of(job: caller_messages.SubmitJob) -> str:
    """Returns the SHA-256 of a job's specification, without `attempt`."""
    first = msgspec.structs.replace(job, attempt=1)
    return hashlib.sha256(msgspec.json.encode(first)).hexdigest()


def check(
    state: state_lib.State,
    step: dispatch.Step,
    job: caller_messages.SubmitJob,
) -> errors.Problem | None:
    """Returns why a job can't be accepted, or None."""
    return (
        submission_checks.leaving_problem(state, step.moment.now_s)
        or submission_checks.class_problem(state, job)
        or check_key(step, job)
        or check_shape(job)
    )


def check_key(
    step: dispatch.Step, job: caller_messages.SubmitJob
) -> errors.Problem | None:
    """Returns what is wrong with a job's key, or None."""
    key_ms = ids.key_timestamp_ms(job.key)
    if key_ms is None:
        return errors.Problem(
            errors.ProblemKind.KEY_INVALID,
            f'The key "{job.key[:64]}" is not a UUIDv7 in its text form.',
            "Use a UUIDv7 (RFC 9562) in lower case as the key of a job.",
        )
    if key_ms - step.moment.unix_ms > MAX_KEY_FUTURE_MS:
        return errors.Problem(
            errors.ProblemKind.KEY_INVALID,
            "The key's timestamp is more than 60 seconds in the future.",
            "Correct the clock that the key was made with.",
        )
    return None


def check_shape(job: caller_messages.SubmitJob) -> errors.Problem | None:
    """Returns what is wrong with a job's numbers or payload, or None."""
    bounds = {"tasks": 1, "accelerators": 1, "cores": 0, "memory_gb": 0}
    for field, least in {**bounds, "attempt": 1}.items():
        if getattr(job, field) < least:
            return errors.Problem(
                errors.ProblemKind.MALFORMED,
                f'The field "{field}" is below {least}.',
                f"Set it to {least} or more.",
            )
    if len(job.payload.encode()) > MAX_PAYLOAD_BYTES:
        return errors.Problem(
            errors.ProblemKind.BODY_TOO_LARGE,
            f"The payload is larger than {MAX_PAYLOAD_BYTES} bytes.",
            "Pass the address of the input in place of the input.",
        )
    return None


def accept(
    state: state_lib.State, step: dispatch.Step, submission: Submission
) -> None:
    """Writes the claim and then the record of a job."""
    key_ms = ids.key_timestamp_ms(submission.job.key) or 0
    if step.moment.unix_ms - key_ms > KEY_RETENTION_MS:
        bucket = job_claims.bucket_of(state, submission.name)
        job_documents.read(state, step, bucket, ExpiredClaimRead(submission))
        return
    job_claims.claim(
        state,
        step,
        submission.name,
        submission.digest,
        submission.failure_domain,
        ClaimWritten(submission),
    )


def refuse(
    step: dispatch.Step, submission: Submission, problem: errors.Problem
) -> None:
    """Answers a submission that wrote no record."""
    status = job_status.refusal(
        submission.job, problem, submission.may_be_accepted
    )
    step.respond(submission.exchange_id, status)


@document_results.handle_result.register
def _(
    context: ExpiredClaimRead,
    state: state_lib.State,
    step: dispatch.Step,
    result: document_results.Fresh | document_results.Unavailable,
) -> None:
    submission = dataclasses.replace(context.submission, may_be_accepted=True)
    if isinstance(result, document_results.Unavailable):
        refuse(step, submission, job_status.STORE_UNAVAILABLE)
        return
    bucket = job_claims.bucket_of(state, submission.name)
    claim = bucket.records.get(job_claims.record_name(submission.name))
    if claim is None:
        problem = errors.Problem(
            errors.ProblemKind.KEY_EXPIRED,
            "The key is older than 24 hours and no job is recorded under it.",
            "Find out by other means whether the job ran; use a new key for"
            " a new job.",
        )
        refuse(step, submission, problem)
        return
    write_record(state, step, submission, claim)


@document_results.handle_result.register
def _(
    context: ClaimWritten,
    state: state_lib.State,
    step: dispatch.Step,
    result: document_results.Committed
    | document_results.Superseded
    | document_results.Unavailable
    | document_results.TooLarge,
) -> None:
    submission = context.submission
    if isinstance(result, document_results.Committed):
        write_record(state, step, submission, result.record)
    elif isinstance(result, document_results.Superseded):
        submission = dataclasses.replace(submission, may_be_accepted=True)
        write_record(state, step, submission, result.record)
    elif isinstance(result, document_results.TooLarge):
        refuse(step, submission, job_status.TOO_MANY_JOBS)
    else:
        # A claim without a record never starts a job, so the refusal stays
        # true even if the claim takes effect later.
        refuse(step, submission, job_status.STORE_UNAVAILABLE)


def write_record(
    state: state_lib.State,
    step: dispatch.Step,
    submission: Submission,
    claim: job_state.JobClaim,
) -> None:
    """Writes the record of a claimed job, or answers from a closed claim.

    This also repairs a record that is missing because an earlier submission
    only got its claim written.
    """
    if claim.digest != submission.digest:
        refuse(step, submission, job_status.KEY_REUSED)
        return
    submission = dataclasses.replace(
        submission, failure_domain=claim.failure_domain
    )
    if claim.outcome is not kinds.Outcome.PENDING:
        document = job_status.document_of(state, claim.failure_domain)
        known = document.records.get(job_claims.record_name(submission.name))
        status = job_status.of_claim(submission.name, claim)
        if known is not None and known.state in job_state.FINAL_STATES:
            status = job_status.of_record(state, known, claim.failure_domain)
        step.respond(submission.exchange_id, status)
        return
    job_class = job_status.class_of(state, submission.job)
    record = job_state.JobRecord(
        job=msgspec.structs.replace(submission.job, attempt=1),
        digest=submission.digest,
        accepted_ms=step.moment.unix_ms,
        idempotent=job_class.idempotent,
        checkpointable=job_class.checkpointable,
    )
    job_documents.commit(
        state,
        step,
        job_status.document_of(state, claim.failure_domain),
        job_claims.record_name(submission.name),
        0,
        record,
        RecordWritten(submission),
    )


@document_results.handle_result.register
def _(
    context: RecordWritten,
    state: state_lib.State,
    step: dispatch.Step,
    result: document_results.Committed
    | document_results.Superseded
    | document_results.Unavailable
    | document_results.TooLarge,
) -> None:
    submission = context.submission
    if isinstance(result, document_results.Unavailable):
        may_be_accepted = submission.may_be_accepted or not result.definite
        submission = dataclasses.replace(
            submission, may_be_accepted=may_be_accepted
        )
        refuse(step, submission, job_status.STORE_UNAVAILABLE)
    elif isinstance(result, document_results.TooLarge):
        refuse(step, submission, job_status.TOO_MANY_JOBS)
    else:
        if isinstance(result, document_results.Committed):
            step.note(
                effects.Component.JOBS, f"accepted job {submission.job.key}"
            )
        status = job_status.of_record(
            state, result.record, submission.failure_domain
        )
        step.respond(submission.exchange_id, status)
