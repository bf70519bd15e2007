"""Identifier types."""

import uuid
from typing import NewType

InstanceId = NewType("InstanceId", str)
FailureDomain = NewType("FailureDomain", str)
Region = NewType("Region", str)
OrganisationId = NewType("OrganisationId", str)
ClassName = NewType("ClassName", str)
RequestKey = NewType("RequestKey", str)
TaskId = NewType("TaskId", str)
GangId = NewType("GangId", str)
CallId = NewType("CallId", str)
ExchangeId = NewType("ExchangeId", str)
EditId = NewType("EditId", str)
Incarnation = NewType("Incarnation", str)
JobId = NewType("JobId", str)
TargetId = NewType("TargetId", str)
QueueName = NewType("QueueName", str)
PoolName = NewType("PoolName", str)
Rack = NewType("Rack", str)
LeaseId = NewType("LeaseId", int)
Epoch = NewType("Epoch", int)
Attempt = NewType("Attempt", int)

UUID7_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
RANDOM_MASK = (1 << 74) - 1


def new_request_key(unix_ms: int, random_bits: int) -> RequestKey:
    """Builds a UUIDv7 key.

    Args:
        unix_ms: the key's timestamp in Unix milliseconds.
        random_bits: at least 74 random bits.

    Returns:
        The key in the canonical text form of a UUID.
    """
    bits = random_bits & RANDOM_MASK
    high = (unix_ms << 16) | (UUID7_VERSION << 12) | (bits >> 62)
    low = (0b10 << 62) | (bits & ((1 << 62) - 1))
    return RequestKey(str(uuid.UUID(int=(high << 64) | low)))


def key_timestamp_ms(key: str) -> int | None:
    """Returns a UUIDv7 key's Unix milliseconds, or None if it is not valid."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID7_VERSION or str(parsed) != key:
        return None
    return parsed.int >> TIMESTAMP_SHIFT_BITS
