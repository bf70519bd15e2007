"""Decides which failure domain owns the key of a job.

`claim` is the only place that writes a new claim, and `finish` the only one
that closes it.
"""

from typing import Any

import msgspec

from dandelionpick import claim_buckets
from dandelionpick import dispatch
from dandelionpick import ids
from dandelionpick import job_documents
from dandelionpick import job_state
from dandelionpick import state as state_lib


def record_name(name: job_state.JobName) -> str:
    """Returns the name of a job's record in any document."""
    return f"{name[0]}/{name[1]}"


def bucket_of(
    state: state_lib.State, name: job_state.JobName
) -> job_state.Document | None:
    """Returns the document of a key's claim; None if it is no UUIDv7."""
    if ids.key_time_ms(name[1]) is None:
        return None
    key = claim_buckets.bucket_key(*name, claim_buckets.JOB_CLAIMS)
    return job_documents.document_of(state, key, job_state.JobClaim)


def claim(
    state: state_lib.State,
    step: dispatch.Step,
    name: job_state.JobName,
    digest: str,
    failure_domain: ids.FailureDomain,
    context: Any,
) -> None:
    """Claims a key for a failure domain, unless it is claimed.

    Args:
        state: the reducer's state.
        step: the current step.
        name: organisation and key, which must be a UUIDv7.
        digest: of the specification.
        failure_domain: where the job is to run.
        context: passed to `document_results.committed`: Committed with the new
            claim, Superseded with the one that exists, or Unavailable.
    """
    job_documents.commit(
        state,
        step,
        bucket_of(state, name),
        record_name(name),
        0,
        job_state.JobClaim(
            digest=digest,
            failure_domain=failure_domain,
            claimed_ms=step.moment.unix_ms,
        ),
        context,
    )


def finish(
    state: state_lib.State,
    step: dispatch.Step,
    record: job_state.JobRecord,
    current: job_state.JobClaim,
    context: Any,
) -> None:
    """Records in the claim how its job ended."""
    name = (record.job.organisation, record.job.key)
    final = msgspec.structs.replace(
        current,
        outcome=record.outcome,
        state=record.state,
        final_ms=step.moment.unix_ms,
    )
    job_documents.commit(
        state,
        step,
        bucket_of(state, name),
        record_name(name),
        current.revision,
        final,
        context,
    )
