"""A stand-in for the platform's instance list, which lags behind."""

import collections
import hashlib
from typing import Any

import msgspec

from dandelionpick import list_messages
from standins import faults


class InstanceList:
    """Answers with the entries as they were lag_s seconds ago.

    Attributes:
        lag_s: seconds by which answers lag behind `set_entries`.
        faults: faults that the transport in front of the model injects.
    """

    def __init__(self, lag_s: float):
        self.lag_s = lag_s
        self.faults = faults.Faults()
        self.snapshots: collections.deque = collections.deque()
        self.set_entries([], float("-inf"))

    def set_entries(
        self, entries: list[list_messages.InstanceEntry], now_s: float
    ) -> None:
        """Replaces the list; answers contain the new one after lag_s."""
        etag = hashlib.sha256(msgspec.json.encode(entries)).hexdigest()
        listed = list_messages.Instances(list(entries), etag)
        self.snapshots.append((now_s, listed))

    def control(self, changes: dict[str, Any], now_s: float) -> None:
        """Applies a control message: faults, "lag_s" and "entries"."""
        self.faults.update(changes)
        self.lag_s = changes.get("lag_s", self.lag_s)
        if "entries" in changes:
            entries = msgspec.convert(
                changes["entries"], list[list_messages.InstanceEntry]
            )
            self.set_entries(entries, now_s)

    def handle(
        self, message: Any, now_s: float
    ) -> list_messages.Instances | list_messages.InstancesUnchanged:
        """Answers a read of the list."""
        while len(self.snapshots) > 1 and (
            self.snapshots[1][0] <= now_s - self.lag_s
        ):
            self.snapshots.popleft()
        listed = self.snapshots[0][1]
        if message.known_etag == listed.etag:
            return list_messages.InstancesUnchanged(listed.etag)
        return listed
