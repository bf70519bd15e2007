"""A stand-in for the platform's configuration store.

`Store` is the model. It answers messages at once and each call passes in the
time, so that tests can call it directly. `standins.serve` serves it over HTTP.
"""

import dataclasses
import functools
from typing import Any

from dandelionpick import store_messages as messages
from standins import faults

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass
class Entry:
    """A key's value and version.

    Attributes:
        lease_id: lease whose end removes the key, or "".
    """

    version: int
    value: str
    lease_id: str = ""


@dataclasses.dataclass
class Lease:
    """A lease and its expiry time on the model's clock."""

    ttl_s: float
    expires_s: float


class Store:
    """A key-value store with compare-and-swap and leases.

    Attributes:
        entries: values by key.
        leases: active leases by id.
        versions: last version that was assigned; it never decreases, so
            that a deleted or restored key never gets the same version again.
        calls: number of calls by message name.
        faults: faults that the transport in front of the model injects.
    """

    def __init__(self):
        self.entries: dict[str, Entry] = {}
        self.leases: dict[str, Lease] = {}
        self.versions = 0
        self.leases_granted = 0
        self.calls: dict[str, int] = {}
        self.now_s = 0.0
        self.faults = faults.Faults()
        self.backup: dict[str, Entry] = {}

    def handle(self, message: Any, now_s: float = 0.0) -> Any:
        """Counts and answers a message; a watch does not wait."""
        name = type(message).__name__
        self.calls[name] = self.calls.get(name, 0) + 1
        return self.answer(message, now_s)

    def answer(self, message: Any, now_s: float = 0.0) -> Any:
        """Answers a message without counting it, to poll for a watch."""
        self.now_s = max(self.now_s, now_s)
        self._expire_leases()
        return _answer(message, self)

    def value(self, key: str) -> messages.Value:
        """Returns the current value and version of a key."""
        entry = self.entries.get(key)
        if entry is None:
            return messages.Value(key, 0, None)
        return messages.Value(key, entry.version, entry.value)

    def copy_entries(self) -> dict[str, Entry]:
        """Returns a copy of all entries as a backup."""
        return {
            key: dataclasses.replace(entry)
            for key, entry in self.entries.items()
        }

    def restore(self, copy: dict[str, Entry]) -> None:
        """Replaces all entries with a backup, under new versions."""
        self.entries = {}
        for key, entry in copy.items():
            self.versions += 1
            self.entries[key] = Entry(self.versions, entry.value)

    def control(self, changes: dict[str, Any], now_s: float = 0.0) -> None:
        """Applies a control message: faults, "backup" and "restore"."""
        self.faults.update(changes)
        if changes.get("backup"):
            self.backup = self.copy_entries()
        if changes.get("restore"):
            self.restore(self.backup)

    def _expire_leases(self) -> None:
        ended = {
            lease_id
            for lease_id, lease in self.leases.items()
            if lease.expires_s <= self.now_s
        }
        for lease_id in ended:
            del self.leases[lease_id]
        for key, entry in list(self.entries.items()):
            if entry.lease_id in ended:
                del self.entries[key]


@functools.singledispatch
def _answer(message: Any, store: Store) -> Any:
    raise TypeError(f"no handler for {type(message).__name__}")


@_answer.register
def _(message: messages.Read, store: Store) -> messages.Value:
    return store.value(message.key)


@_answer.register
def _(message: messages.Watch, store: Store) -> Any:
    value = store.value(message.key)
    if value.version == message.after_version:
        return messages.Unchanged(message.key, value.version)
    return value


@_answer.register
def _(message: messages.Write, store: Store) -> Any:
    current = store.value(message.key)
    if message.lease_id and message.lease_id not in store.leases:
        return messages.LeaseEnded(message.lease_id)
    if current.version != message.expected_version:
        return messages.Conflict(message.key, current.version, current.value)
    if message.value is None:
        store.entries.pop(message.key, None)
        return messages.Written(message.key, 0)
    if len(message.value.encode()) > MAX_VALUE_BYTES:
        raise ValueError(f"value of {message.key} is over 1 MB")
    store.versions += 1
    store.entries[message.key] = Entry(
        store.versions, message.value, message.lease_id
    )
    return messages.Written(message.key, store.versions)


@_answer.register
def _(message: messages.GrantLease, store: Store) -> messages.Lease:
    store.leases_granted += 1
    lease_id = f"lease-{store.leases_granted}"
    store.leases[lease_id] = Lease(message.ttl_s, store.now_s + message.ttl_s)
    return messages.Lease(lease_id, message.ttl_s)


@_answer.register
def _(message: messages.RenewLease, store: Store) -> Any:
    lease = store.leases.get(message.lease_id)
    if lease is None:
        return messages.LeaseEnded(message.lease_id)
    lease.expires_s = store.now_s + lease.ttl_s
    return messages.Lease(message.lease_id, lease.ttl_s)
