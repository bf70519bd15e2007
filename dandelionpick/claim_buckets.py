"""Buckets of claims: what can be written and what is decided already."""

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
    """How a change of a claim ended; `claims` describes each."""

    CONFIRMED = "confirmed"
    EXISTS = "exists"
    ABSENT = "absent"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """How a change ended, and the record that the store holds if known."""

    status: ClaimStatus
    record: claim_state.ClaimRecord | None = None


def bucket_key(
    organisation: str, key: str, prefix: str = REQUEST_CLAIMS
) -> str:
    """Returns the store's key of the bucket of a UUIDv7 key.

    Args:
        organisation: who submitted the key.
        key: the key of a request or job.
        prefix: REQUEST_CLAIMS or JOB_CLAIMS.

    Raises:
        ValueError: the key is not a UUIDv7.
    """
    time_ms = ids.key_time_ms(key)
    if time_ms is None:
        raise ValueError(f'key "{key}" is not a UUIDv7')
    shard = xxhash.xxh64_intdigest(f"{organisation}/{key}".encode()) % SHARDS
    return f"{prefix}/{shard}/{time_ms // MINUTE_MS}"


def is_writable(bucket: claim_state.Bucket, change: claim_state.Change) -> bool:
    """Returns whether the known value allows a change that is not yet there."""
    if change.record is None:
        return False
    current = bucket.records.get(change.name)
    return current == change.expected and current != change.record


def take_decided(
    bucket: claim_state.Bucket,
) -> list[tuple[claim_state.Change, Verdict]]:
    """Removes the changes that need no write, with their verdicts."""
    verdicts = []
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
        verdicts.append((change, Verdict(status, current)))
    bucket.waiting = waiting
    return verdicts


def encode(
    records: dict[claim_state.ClaimName, claim_state.ClaimRecord],
) -> str:
    """Returns a bucket's value for the store."""
    return msgspec.json.encode(list(records.values())).decode()


def adopt(
    bucket: claim_state.Bucket,
    value: store_messages.Value | store_messages.Conflict,
) -> None:
    """Takes over a bucket's value as the store has just reported it."""
    records = _decoder.decode(value.value) if value.value else []
    bucket.version = value.version
    bucket.records = {record.name(): record for record in records}
    bucket.must_read = False


def end_call(bucket: claim_state.Bucket) -> None:
    """Puts the changes of an undecided call back before the waiting ones."""
    bucket.calling = False
    bucket.waiting = bucket.in_flight + bucket.waiting
    bucket.in_flight = []


def take_overdue(
    bucket: claim_state.Bucket, now_s: float
) -> list[claim_state.Change]:
    """Removes and returns the changes that have waited too long."""
    overdue = [
        change
        for change in (*bucket.in_flight, *bucket.waiting)
        if now_s >= change.give_up_s
    ]
    if overdue:
        bucket.in_flight = [c for c in bucket.in_flight if c not in overdue]
        bucket.waiting = [c for c in bucket.waiting if c not in overdue]
    return overdue
