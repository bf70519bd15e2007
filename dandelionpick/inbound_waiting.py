"""The inbound connections that wait for their clients."""

import collections


class WaitingConnections:
    """Connections that wait for their clients, those that wait longest first.

    A connection waits for its client unless a whole request has no response
    yet. Neither the beginning of a request nor a part of it ends the wait:
    otherwise, clients that send a byte now and then would seem to have waited
    for a shorter time than those that are about to send a whole request.
    """

    def __init__(self):
        # The first entry of a dict takes long to find after many removals.
        self._connections = collections.OrderedDict()

    def add(self, connection) -> None:
        """Adds a connection as the last one, unless it waits already."""
        self._connections.setdefault(connection)

    def discard(self, connection) -> None:
        """Removes a connection that doesn't wait for its client any more."""
        self._connections.pop(connection, None)

    def pop_first(self):
        """Removes and returns the one that waits longest, None if none does."""
        if not self._connections:
            return None
        connection, _ = self._connections.popitem(last=False)
        return connection
