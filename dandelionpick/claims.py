"""Claims of requests, so that non-idempotent work runs at most once.

A claim is a record under `claims/<shard>/<minute>` in the store. `claim` adds
or replaces one record and `read` returns one. Both call `handle_result`, whose
handlers are registered by the type of the context, exactly once with a
ClaimResult:

* CONFIRMED: the store holds exactly the given record. Only now may something
  be dispatched, and only until the record's start deadline: the result can be
  late after a stall of the event loop.
* EXISTS: the store holds another record, which is in the result.
* ABSENT: the store holds no record (only after `read`, or after a `claim`
  with `expected` whose record is gone).
* UNAVAILABLE: the store did not answer in time. The record may still appear,
  so the submission must not dispatch anything.

The claims of jobs are separate records, which `job_claims` writes.

Changes to a bucket that arrive while a write is in flight share the next
write. A lost reply is resolved by reading the bucket.
"""

import dataclasses
import functools
from typing import Any

import msgspec

from dandelionpick import claim_buckets
from dandelionpick import claim_state
from dandelionpick import dispatch
from dandelionpick import drain
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import state as state_lib
from dandelionpick import store_messages

MAX_KEPT_RESPONSE_BYTES = 8_192
# The store's limit is 1 MB; the margin covers other fields and rounding.
MAX_BUCKET_BYTES = 900_000
# The store answers in milliseconds. A lost reply must be detected early enough
# to read the bucket before the timeout of the change itself.
STORE_TIMEOUT_S = 0.7
RETRY_BACKOFF_S = 0.1
IDLE_BUCKET_S = 120.0

ClaimStatus = claim_buckets.ClaimStatus
ClaimResult = claim_buckets.ClaimResult


@dataclasses.dataclass(frozen=True, slots=True)
class BucketRead:
    """Context of a read of a bucket."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class BucketWritten:
    """Context of a write of a bucket."""

    key: str


@functools.singledispatch
def handle_result(
    context: Any,
    state: state_lib.State,
    step: dispatch.Step,
    result: ClaimResult,
) -> None:
    """Handles the result of a change or read made with this context."""
    raise TypeError(f"no handler for context {type(context).__name__}")


def new_record(
    state: state_lib.State,
    organisation: ids.OrganisationId,
    key: ids.RequestKey,
    body_digest: str,
    /,
    **fields: Any,
) -> claim_state.ClaimRecord:
    """Builds a record with a new claim id."""
    state.claims.claims_created += 1
    claim_id = f"{state.incarnation}-{state.claims.claims_created}"
    return claim_state.ClaimRecord(
        organisation=organisation,
        key=key,
        body_digest=body_digest,
        claim_id=claim_id,
        **fields,
    )


def claim(
    state: state_lib.State,
    step: dispatch.Step,
    record: claim_state.ClaimRecord,
    context: Any,
    *,
    timeout_s: float,
    expected: claim_state.ClaimRecord | None = None,
) -> None:
    """Writes a record in place of `expected`, or of no record.

    Args:
        state: the reducer's state.
        step: the current step.
        record: the record to write; its key is a UUIDv7.
        context: a struct whose type has a `handle_result` handler.
        timeout_s: seconds after which the result is UNAVAILABLE.
        expected: the record to replace; any other record gives EXISTS.
    """
    _enqueue(state, step, record.name(), record, expected, context, timeout_s)


def read(
    state: state_lib.State,
    step: dispatch.Step,
    name: claim_state.ClaimName,
    context: Any,
    *,
    timeout_s: float,
) -> None:
    """Reads a record; the result is EXISTS, ABSENT or UNAVAILABLE."""
    _enqueue(state, step, name, None, None, context, timeout_s)


def _enqueue(
    state: state_lib.State,
    step: dispatch.Step,
    name: claim_state.ClaimName,
    record: claim_state.ClaimRecord | None,
    expected: claim_state.ClaimRecord | None,
    context: Any,
    timeout_s: float,
) -> None:
    key = claim_buckets.bucket_key(*name)
    bucket = state.claims.buckets.setdefault(key, claim_state.Bucket())
    now_s = step.moment.now_s
    bucket.last_change_s = now_s
    bucket.waiting.append(
        claim_state.Change(
            name, record, expected, context, now_s + timeout_s, step.trace
        )
    )
    _advance(state, step, key, bucket, fresh=False)


def _advance(
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
    bucket: claim_state.Bucket,
    fresh: bool,
) -> None:
    """Resolves changes against a fresh value and starts the next call."""
    if bucket.calling or step.moment.now_s < bucket.retry_s:
        return
    results = []
    if fresh:
        results = claim_buckets.pop_resolved(bucket)
    if bucket.waiting:
        if bucket.must_read or any(
            not claim_buckets.is_writable(bucket, change)
            for change in bucket.waiting
        ):
            _send_read(state, step, key, bucket)
        else:
            _send_write(state, step, key, bucket)
    for change, result in results:
        _deliver_result(state, step, change, result)


def _deliver_result(
    state: state_lib.State,
    step: dispatch.Step,
    change: claim_state.Change,
    result: ClaimResult,
) -> None:
    step.trace = change.trace
    handle_result(change.context, state, step, result)


def _send_read(
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
    bucket: claim_state.Bucket,
) -> None:
    bucket.calling = True
    dispatch.call(
        state,
        step,
        state.store(),
        store_messages.Read(key),
        BucketRead(key),
        STORE_TIMEOUT_S,
    )


def _send_write(
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
    bucket: claim_state.Bucket,
) -> None:
    """Writes the first waiting change of each claim."""
    records = dict(bucket.records)
    in_flight = {}
    later = []
    for change in bucket.waiting:
        if change.name in in_flight:
            later.append(change)
            continue
        in_flight[change.name] = change
        records[change.name] = change.record
    text = claim_buckets.encode(records)
    if len(text) > MAX_BUCKET_BYTES:
        for change in in_flight.values():
            change.record = msgspec.structs.replace(change.record, body=None)
            records[change.name] = change.record
        text = claim_buckets.encode(records)
    bucket.waiting = later
    bucket.in_flight = list(in_flight.values())
    bucket.next_records = records
    bucket.calling = True
    write_id = f"{state.incarnation}-{state.calls_made + 1}"
    dispatch.call(
        state,
        step,
        state.store(),
        store_messages.Write(key, bucket.version, text, write_id),
        BucketWritten(key),
        STORE_TIMEOUT_S,
    )


@dispatch.on_reply.register
def _(
    context: BucketRead,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Value,
) -> None:
    bucket = state.claims.buckets[context.key]
    claim_buckets.requeue_in_flight(bucket)
    claim_buckets.load_value(bucket, reply)
    _advance(state, step, context.key, bucket, fresh=True)


@dispatch.on_reply.register
def _(
    context: BucketWritten,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Written | store_messages.Conflict,
) -> None:
    bucket = state.claims.buckets[context.key]
    if isinstance(reply, store_messages.Conflict):
        claim_buckets.requeue_in_flight(bucket)
        claim_buckets.load_value(bucket, reply)
        _advance(state, step, context.key, bucket, fresh=True)
        return
    confirmed = bucket.in_flight
    bucket.in_flight = []
    bucket.calling = False
    bucket.version = reply.version
    bucket.records = bucket.next_records
    _advance(state, step, context.key, bucket, fresh=True)
    for change in confirmed:
        result = ClaimResult(ClaimStatus.CONFIRMED, change.record)
        _deliver_result(state, step, change, result)


@dispatch.on_failure.register(BucketRead)
@dispatch.on_failure.register(BucketWritten)
def _(
    context: BucketRead | BucketWritten,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    """Requires a read first: a write without a reply may have taken effect."""
    bucket = state.claims.buckets[context.key]
    claim_buckets.requeue_in_flight(bucket)
    bucket.must_read = True
    jitter = 0.5 + step.moment.random_value
    bucket.retry_s = step.moment.now_s + RETRY_BACKOFF_S * jitter


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Fails overdue changes, repeats calls and evicts idle buckets."""
    now_s = step.moment.now_s
    for key, bucket in list(state.claims.buckets.items()):
        for change in claim_buckets.pop_overdue(bucket, now_s):
            step.note(
                effects.Component.CLAIMS,
                f"the store did not answer for {key} in time",
                warning=True,
            )
            _deliver_result(
                state, step, change, ClaimResult(ClaimStatus.UNAVAILABLE)
            )
        _advance(state, step, key, bucket, fresh=False)
        idle = not (bucket.calling or bucket.waiting)
        if idle and now_s - bucket.last_change_s > IDLE_BUCKET_S:
            del state.claims.buckets[key]


def mark_buckets_stale(state: state_lib.State) -> None:
    """Requires a read of every bucket before its next write."""
    for bucket in state.claims.buckets.values():
        bucket.must_read = True


@drain.on_leaving
def _finished(state: state_lib.State, step: dispatch.Step) -> bool:
    """Returns whether no change is pending, so that the process may exit."""
    return not any(
        bucket.waiting or bucket.in_flight
        for bucket in state.claims.buckets.values()
    )
