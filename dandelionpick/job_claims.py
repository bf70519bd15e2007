"""Assigns job keys to failure domains by means of claims in the store.

Only `claim` creates a claim, and only `close` records the job's outcome in it.
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
    """Returns the name under which any document holds a job's record."""
    return f"{name[0]}/{name[1]}"


def bucket_of(
    state: state_lib.State, name: job_state.JobName
) -> job_state.Document | None:
    """Returns the claim bucket of a key; None if the key is not a UUIDv7."""
    if ids.key_timestamp_ms(name[1]) is None:
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
    """Claims a key for a failure domain, unless it is already claimed.

    Args:
        state: the reducer's state.
        step: the current step.
        name: organisation and key; the key must be a UUIDv7.
        digest: digest of the job's specification.
        failure_domain: where the job is to run.
        context: passed to its result handler with Committed and the new claim,
            Superseded and the existing claim, TooLarge or Unavailable.
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


def close(
    state: state_lib.State,
    step: dispatch.Step,
    record: job_state.JobRecord,
    current: job_state.JobClaim,
    context: Any,
) -> None:
    """Records the outcome of a finished job in its claim."""
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
