"""A stand-in for the platform's lagging list of instances."""

import collections
from typing import Any

from dandelionpick import list_messages


class InstanceList:
    """Answers with the entries as they were lag_s seconds ago.

    Attributes:
        lag_s: seconds by which answers lag behind `set_entries`.
    """

    def __init__(self, lag_s: float):
        self.lag_s = lag_s
        self.history: collections.deque = collections.deque()
        self.history.append((float("-inf"), []))

    def set_entries(
        self, entries: list[list_messages.InstanceEntry], now_s: float
    ) -> None:
        """Replaces the list; answers show it after the lag."""
        self.history.append((now_s, list(entries)))

    def handle(self, message: Any, now_s: float) -> list_messages.Instances:
        """Answers a read."""
        while len(self.history) > 1 and (
            self.history[1][0] <= now_s - self.lag_s
        ):
            self.history.popleft()
        return list_messages.Instances(self.history[0][1])
