"""Job statuses for callers, and the instances that schedule jobs."""

import xxhash

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import job_documents
from dandelionpick import job_state
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import membership
from dandelionpick import state as state_lib
from dandelionpick import tree_state

FALLBACK_CLASS = tree_state.JobClass(idempotent=False)
STORE_UNAVAILABLE = errors.Problem(
    errors.ProblemKind.STORE_UNAVAILABLE,
    "The configuration store does not confirm writes or reads.",
    "Try again with the next attempt number when the store is back.",
)
TOO_MANY_JOBS = errors.Problem(
    errors.ProblemKind.OVERLOADED,
    "The failure domain has too many unfinished jobs.",
    "Submit the job again when some have ended.",
)
KEY_REUSED = errors.Problem(
    errors.ProblemKind.KEY_REUSED,
    "The key was submitted before with another specification.",
    "Use a new key for a new job; fetch the key to see the first job.",
)
UNKNOWN_KEY = errors.Problem(
    errors.ProblemKind.UNKNOWN_KEY,
    "No job is recorded under this key.",
    "Check organisation and key; submit the key if the job was never accepted.",
)


def document_of(
    state: state_lib.State, failure_domain: ids.FailureDomain
) -> job_state.Document:
    """Returns the document of a failure domain's jobs."""
    return job_documents.document_of(
        state, f"jobs/{failure_domain}", job_state.JobRecord
    )


def own_document(state: state_lib.State) -> job_state.Document:
    """Returns the document of this instance's failure domain."""
    return document_of(state, state.identity.failure_domain)


def record_of(
    state: state_lib.State, name: job_state.JobName
) -> job_state.JobRecord | None:
    """Returns a record of this failure domain as last read, or None."""
    return own_document(state).records.get(f"{name[0]}/{name[1]}")


def scheduler_of(
    state: state_lib.State, failure_domain: ids.FailureDomain, now_s: float
) -> list_messages.InstanceEntry | None:
    """Returns the peer that schedules a failure domain.

    Returns:
        The peer's entry in the instance list; None if this instance schedules
        the failure domain, or if no usable peer is known there.
    """
    if failure_domain == state.identity.failure_domain:
        preferred = membership.preferred_instance(state, now_s)
        peer = state.members.peers.get(preferred)
        return peer.entry if peer else None
    entries = [
        peer.entry
        for peer in state.members.peers.values()
        if peer.entry.failure_domain == failure_domain
        and membership.is_peer_usable(state, peer, now_s)
    ]
    return max(
        entries,
        key=lambda entry: (
            xxhash.xxh64_intdigest(f"{failure_domain}/{entry.id}".encode()),
            entry.id,
        ),
        default=None,
    )


def class_of(
    state: state_lib.State, job: caller_messages.SubmitJob
) -> tree_state.JobClass:
    """Returns the class of a job, or the strictest one if it was removed."""
    organisation = state.configuration.organisations.get(job.organisation)
    found = organisation and organisation.classes.get(job.job_class)
    return found or FALLBACK_CLASS


def refusal(
    job: caller_messages.SubmitJob,
    problem: errors.Problem,
    may_be_accepted: bool = False,
) -> caller_messages.JobStatus:
    """Builds the answer to a refused submission, of which nothing was started.

    Args:
        job: the submission.
        problem: why it is refused.
        may_be_accepted: whether another submission of the key may have been
            accepted.
    """
    proved = job.attempt == 1 and not may_be_accepted
    return caller_messages.JobStatus(
        organisation=job.organisation,
        key=job.key,
        outcome=kinds.Outcome.NOT_RUN if proved else kinds.Outcome.UNKNOWN,
        state=kinds.JobState.UNKNOWN,
        problem=problem,
    )


def unknown(
    name: job_state.JobName, problem: errors.Problem
) -> caller_messages.JobStatus:
    """Builds the status of a job about which nothing is known."""
    return caller_messages.JobStatus(
        organisation=name[0],
        key=name[1],
        outcome=kinds.Outcome.UNKNOWN,
        state=kinds.JobState.UNKNOWN,
        problem=problem,
    )


def of_claim(
    name: job_state.JobName, claim: job_state.JobClaim
) -> caller_messages.JobStatus:
    """Builds the status of a job from its claim, without its record."""
    return caller_messages.JobStatus(
        organisation=name[0],
        key=name[1],
        outcome=claim.outcome,
        state=claim.state,
        failure_domain=claim.failure_domain,
    )


def of_record(
    state: state_lib.State,
    record: job_state.JobRecord,
    failure_domain: ids.FailureDomain,
) -> caller_messages.JobStatus:
    """Builds the status of a job from its record and its gang."""
    job_state_now, run = record.state, record.run
    if record.state is kinds.JobState.QUEUED:
        gang = live_gang(state, (record.job.organisation, record.job.key))
        if gang is not None:
            run = gang.labels.run
            running = all(part.ran for part in gang.parts.values())
            job_state_now = kinds.JobState.PLACING
            if running:
                job_state_now = kinds.JobState.RUNNING
    return caller_messages.JobStatus(
        organisation=record.job.organisation,
        key=record.job.key,
        outcome=record.outcome,
        state=job_state_now,
        failure_domain=failure_domain,
        run=run,
        results=record.results,
        problem=record.problem,
    )


def live_gang(
    state: state_lib.State, name: job_state.JobName
) -> job_state.Gang | None:
    """Returns the gang of a job unless it is being stopped, or None."""
    for gang in state.jobs.gangs.values():
        if gang.name == name and gang.stop is None:
            return gang
    return None
