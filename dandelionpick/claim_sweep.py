"""Deletes buckets of claims that are past retention.

The buckets of each minute are read when they are 1, 2, 7 and 14 days old, and
are deleted once all of their records have been final for a day. The shards are
divided among the failure domains, and the preferred instance of each failure
domain sweeps its shards: 16 shards x 4 ages x 2 kinds of claims (requests and
jobs) make 128 reads per minute for the whole deployment.
"""

import dataclasses

import msgspec

from dandelionpick import claim_buckets
from dandelionpick import claim_state
from dandelionpick import dispatch
from dandelionpick import job_state
from dandelionpick import kinds
from dandelionpick import membership
from dandelionpick import state as state_lib
from dandelionpick import store_messages

DAY_MS = 24 * 3600 * 1000
SWEEP_AGES_DAYS = (1, 2, 7, 14)
# Spreads the reads of a sweep over its minute.
READ_PERIOD_S = 0.25

PREFIXES = (claim_buckets.REQUEST_CLAIMS, claim_buckets.JOB_CLAIMS)


class JobBucket(msgspec.Struct, frozen=True):
    """The fields of a bucket of job claims that the sweep needs."""

    records: dict[str, job_state.JobClaim]


_decoder = msgspec.json.Decoder(list[claim_state.ClaimRecord])
_job_decoder = msgspec.json.Decoder(JobBucket)


@dataclasses.dataclass(frozen=True, slots=True)
class OldBucketRead:
    """Context of the read of an old bucket."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class OldBucketDeleted:
    """Context of the deletion of an old bucket."""


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Reads the next bucket of the current sweep."""
    sweep = state.claims
    minute = step.moment.unix_ms // claim_buckets.MINUTE_MS
    if minute != sweep.sweep_minute:
        sweep.sweep_minute = minute
        sweep.sweep_keys = due_keys(state, step.moment.now_s, minute)
    due_s = sweep.sweep_read_s + READ_PERIOD_S
    if sweep.sweeping or not sweep.sweep_keys or step.moment.now_s < due_s:
        return
    sweep.sweeping = True
    sweep.sweep_read_s = step.moment.now_s
    key = sweep.sweep_keys.pop()
    step.trace = ""
    dispatch.call(
        state,
        step,
        state.store(),
        store_messages.Read(key),
        OldBucketRead(key),
        state.limits.call_timeout_s,
    )


def due_keys(state: state_lib.State, now_s: float, minute: int) -> list[str]:
    """Returns the buckets that this instance sweeps in a minute."""
    if membership.preferred_instance(state, now_s) != state.identity.instance:
        return []
    own_domain = state.identity.failure_domain
    domains = sorted(
        {entry.failure_domain for entry in state.members.entries.values()}
        | {own_domain}
    )
    day_minutes = DAY_MS // claim_buckets.MINUTE_MS
    return [
        f"{prefix}/{shard}/{minute - days * day_minutes}"
        for prefix in PREFIXES
        for shard in range(claim_buckets.SHARDS)
        if domains[shard % len(domains)] == own_domain
        for days in SWEEP_AGES_DAYS
    ]


def is_deletable(key: str, text: str, unix_ms: int) -> bool:
    """Returns whether all records of a bucket have been final for a day."""
    if key.startswith(f"{claim_buckets.JOB_CLAIMS}/"):
        claims = _job_decoder.decode(text).records.values()
        return all(
            claim.outcome is not kinds.Outcome.PENDING
            and unix_ms - claim.final_ms > DAY_MS
            for claim in claims
        )
    return all(
        record.state is not claim_state.ClaimState.CLAIMED
        and unix_ms - record.final_ms > DAY_MS
        for record in _decoder.decode(text)
    )


@dispatch.on_reply.register
def _(
    context: OldBucketRead,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Value,
) -> None:
    state.claims.sweeping = False
    if reply.value is None:
        return
    if not is_deletable(context.key, reply.value, step.moment.unix_ms):
        return
    state.claims.sweeping = True
    write_id = f"{state.incarnation}-sweep-{context.key}"
    dispatch.call(
        state,
        step,
        state.store(),
        store_messages.Write(context.key, reply.version, None, write_id),
        OldBucketDeleted(),
        state.limits.call_timeout_s,
    )


@dispatch.on_reply.register
def _(
    context: OldBucketDeleted,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Written | store_messages.Conflict,
) -> None:
    """A conflict leaves the bucket to a later sweep."""
    state.claims.sweeping = False


@dispatch.on_failure.register(OldBucketRead)
@dispatch.on_failure.register(OldBucketDeleted)
def _(
    context: OldBucketRead | OldBucketDeleted,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    """Leaves the bucket to a later sweep."""
    state.claims.sweeping = False
