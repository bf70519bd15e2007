"""Deletes buckets of claims that are past retention.

The buckets of each minute are read when they are 1, 2, ... 14 days old and
deleted once all of their records have been final for a day. The shards are
divided among the failure domains, and the preferred instance of each sweeps
its own: 16 shards x 14 ages are 224 reads a minute for the whole deployment.
"""

import dataclasses

import msgspec

from dandelionpick import claim_buckets
from dandelionpick import claim_state
from dandelionpick import dispatch
from dandelionpick import kinds
from dandelionpick import membership
from dandelionpick import state as state_lib
from dandelionpick import store_messages

DAY_MS = 24 * 3600 * 1000
MAX_AGE_DAYS = 14
# Spreads the reads of a sweep over its minute.
READ_PERIOD_S = 0.25

_decoder = msgspec.json.Decoder(list[claim_state.ClaimRecord])


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
    own = state.identity.failure_domain
    domains = sorted(
        {entry.failure_domain for entry in state.members.entries.values()}
        | {own}
    )
    day_minutes = DAY_MS // claim_buckets.MINUTE_MS
    return [
        f"{claim_buckets.REQUEST_CLAIMS}/{shard}/{minute - days * day_minutes}"
        for shard in range(claim_buckets.SHARDS)
        if domains[shard % len(domains)] == own
        for days in range(1, MAX_AGE_DAYS + 1)
    ]


def is_finished(records: list[claim_state.ClaimRecord], unix_ms: int) -> bool:
    """Tells whether all records have been final for a day."""
    return all(
        record.state is not claim_state.ClaimState.CLAIMED
        and unix_ms - record.final_ms > DAY_MS
        for record in records
    )


@dispatch.returned.register
def _(
    context: OldBucketRead,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Value,
) -> None:
    state.claims.sweeping = False
    if reply.value is None:
        return
    if not is_finished(_decoder.decode(reply.value), step.moment.unix_ms):
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


@dispatch.returned.register
def _(
    context: OldBucketDeleted,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Written | store_messages.Conflict,
) -> None:
    """A conflict leaves the bucket to the next day's sweep."""
    state.claims.sweeping = False


@dispatch.failed.register(OldBucketRead)
@dispatch.failed.register(OldBucketDeleted)
def _(
    context: OldBucketRead | OldBucketDeleted,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    """Leaves the bucket to the next day's sweep."""
    state.claims.sweeping = False
