"""A stand-in for the platform's configuration store.

`Store` is the model: it answers messages at once and knows no clock, so that
tests can drive it directly. `standins.serve` puts it behind HTTP.
"""

import dataclasses
import functools
from typing import Any

from dandelionpick import store_messages as messages

MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass
class Entry:
    """A key's value and version."""

    version: int
    value: str


class Store:
    """A key-value store with compare-and-swap.

    Attributes:
        entries: values by key.
        calls: number of calls by message name.
    """

    def __init__(self):
        self.entries: dict[str, Entry] = {}
        self.versions = 0
        self.calls: dict[str, int] = {}

    def handle(self, message: Any) -> Any:
        """Counts and answers a message; a watch is answered at once."""
        name = type(message).__name__
        self.calls[name] = self.calls.get(name, 0) + 1
        return _handle(message, self)

    def value(self, key: str) -> messages.Value:
        """Returns a key's current value."""
        entry = self.entries.get(key)
        if entry is None:
            return messages.Value(key, 0, None)
        return messages.Value(key, entry.version, entry.value)


@functools.singledispatch
def _handle(message: Any, store: Store) -> Any:
    raise TypeError(f"no handler for {type(message).__name__}")


@_handle.register(messages.Read)
@_handle.register(messages.Watch)
def _(message: Any, store: Store) -> messages.Value:
    return store.value(message.key)


@_handle.register
def _(message: messages.Write, store: Store) -> Any:
    current = store.value(message.key)
    if current.version != message.expected_version:
        return messages.Conflict(message.key, current.version, current.value)
    store.versions += 1
    if message.value is None:
        store.entries.pop(message.key, None)
        return messages.Written(message.key, 0)
    if len(message.value.encode()) > MAX_VALUE_BYTES:
        raise ValueError(f"value of {message.key} is over 1 MB")
    store.entries[message.key] = Entry(store.versions, message.value)
    return messages.Written(message.key, store.versions)
