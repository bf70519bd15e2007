"""Cached buckets of claims and the pending changes to them."""

import dataclasses
import enum

import msgspec
import xxhash

from dandelionpick import claim_state
from dandelionpick import ids
from dandelionpick import store_messages

SHARDS = 16
MINUTE_MS = 60_000
REQUEST_CLAIMS = "claims"
JOB_CLAIMS = "job-claims"

_decoder = msgspec.json.Decoder(list[claim_state.ClaimRecord])


class ClaimStatus(enum.Enum):
    """Result of a change to a claim; the module `claims` describes each."""

    CONFIRMED = "confirmed"
    EXISTS = "exists"
    ABSENT = "absent"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """Result of a change, and the record in the store if it is known."""

    status: ClaimStatus
    record: claim_state.ClaimRecord | None = None


def bucket_key(
    organisation: str, key: str, prefix: str = REQUEST_CLAIMS
) -> str:
    """Returns the store key of the bucket for a UUIDv7 key.

    Args:
        organisation: the organisation that submitted the key.
        key: the key of a request or job.
        prefix: REQUEST_CLAIMS or JOB_CLAIMS.

    Raises:
        ValueError: the key is not a UUIDv7.
    """
    time_ms = ids.key_timestamp_ms(key)
    if time_ms is None:
        raise ValueError(f'key "{key}" is not a UUIDv7')
    shard = xxhash.xxh64_intdigest(f"{organisation}/{key}".encode()) % SHARDS
    return f"{prefix}/{shard}/{time_ms // MINUTE_MS}"


def is_writable(bucket: claim_state.Bucket, change: claim_state.Change) -> bool:
    """Returns whether a write fits the cached records and would change them."""
    if change.record is None:
        return False
    current = bucket.records.get(change.name)
    return current == change.expected and current != change.record


def pop_resolved(
    bucket: claim_state.Bucket,
) -> list[tuple[claim_state.Change, ClaimResult]]:
    """Removes and returns changes that need no write, with their results."""
    results = []
    waiting = []
    for change in bucket.waiting:
        if is_writable(bucket, change):
            waiting.append(change)
            continue
        current = bucket.records.get(change.name)
        if current is None:
            status = ClaimStatus.ABSENT
        elif current == change.record:
            status = ClaimStatus.CONFIRMED
        else:
            status = ClaimStatus.EXISTS
        results.append((change, ClaimResult(status, current)))
    bucket.waiting = waiting
    return results


def encode(
    records: dict[claim_state.ClaimName, claim_state.ClaimRecord],
) -> str:
    """Returns the value to store for a bucket."""
    return msgspec.json.encode(list(records.values())).decode()


def load_value(
    bucket: claim_state.Bucket,
    value: store_messages.Value | store_messages.Conflict,
) -> None:
    """Replaces the cached records by a value that the store just reported."""
    records = _decoder.decode(value.value) if value.value else []
    bucket.version = value.version
    bucket.records = {record.name(): record for record in records}
    bucket.must_read = False


def requeue_in_flight(bucket: claim_state.Bucket) -> None:
    """Ends a call and requeues its unresolved changes at the front."""
    bucket.calling = False
    bucket.waiting = bucket.in_flight + bucket.waiting
    bucket.in_flight = []


def pop_overdue(
    bucket: claim_state.Bucket, now_s: float
) -> list[claim_state.Change]:
    """Removes and returns the changes whose timeout has passed."""
    overdue = [
        change
        for change in (*bucket.in_flight, *bucket.waiting)
        if now_s >= change.expires_s
    ]
    if overdue:
        bucket.in_flight = [c for c in bucket.in_flight if c not in overdue]
        bucket.waiting = [c for c in bucket.waiting if c not in overdue]
    return overdue
