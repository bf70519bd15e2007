"""Messages of the platform's configuration store."""

import msgspec


class Read(msgspec.Struct, frozen=True):
    """Reads a key."""

    key: str


class Watch(msgspec.Struct, frozen=True):
    """Waits until a key's version differs from after_version.

    Attributes:
        after_version: the last version that the watcher has seen.
        wait_s: seconds after which Unchanged is returned; 0 asks whether the
            version differs now.
    """

    key: str
    after_version: int
    wait_s: float


class Write(msgspec.Struct, frozen=True):
    """Replaces a key's value if its version is expected_version.

    Attributes:
        expected_version: 0 for a key that must not exist.
        value: the new text, at most 1 MB, or None to delete the key.
        write_id: identifies this write in logs.
        lease_id: the key is deleted when this lease ends; "" for no lease.
    """

    key: str
    expected_version: int
    value: str | None
    write_id: str
    lease_id: str = ""


class GrantLease(msgspec.Struct, frozen=True):
    """Creates a lease that ends after ttl_s seconds unless it is renewed."""

    ttl_s: float


class RenewLease(msgspec.Struct, frozen=True):
    """Restarts the time to live of a lease."""

    lease_id: str


class Value(msgspec.Struct, frozen=True, tag=True):
    """A key's value; version 0 and value None if it does not exist."""

    key: str
    version: int
    value: str | None


class Unchanged(msgspec.Struct, frozen=True, tag=True):
    """The key still has the watcher's version.

    It carries no value, because a document of 1 MB returned every few seconds
    to each failure domain would exceed the limit on control traffic.
    """

    key: str
    version: int


class Written(msgspec.Struct, frozen=True, tag=True):
    """The write took effect and the key has this version."""

    key: str
    version: int


class Conflict(msgspec.Struct, frozen=True, tag=True):
    """The version did not match; gives the current version and value."""

    key: str
    version: int
    value: str | None


class Lease(msgspec.Struct, frozen=True, tag=True):
    """The lease was granted or renewed."""

    lease_id: str
    ttl_s: float


class LeaseEnded(msgspec.Struct, frozen=True, tag=True):
    """The lease is unknown or has ended; a write under it had no effect."""

    lease_id: str
