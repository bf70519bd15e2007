"""Bounds how many starts are on their way to targets at the same time.

A burst of wide jobs asks for hundreds of starts at once. Sent together they
keep a weak scheduler, or its link, busy for so long that replies and renewals
of leases are late. The bound follows the round trips that are seen: it grows by
about one each round trip and shrinks by a third when starts take long or get no
reply. Work that is not started yet keeps its place in the order of the next
pass.
"""

import dataclasses

# Enough for the widest gangs of today in one round trip.
INITIAL_LIMIT = 96.0
MIN_LIMIT = 16.0
MAX_LIMIT = 512.0
# The widest gangs that the system is designed for.
MAX_STARTED_TOGETHER = 256
# A start that takes longer than this is slow; round trips between regions take
# 25 ms.
SLOW_START_S = 0.25
DECREASE_FACTOR = 0.7
# The bound shrinks at most once in this time, because the starts of one burst
# are slow together.
DECREASE_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True)
class StartWindow:
    """Starts in flight and their current bound.

    Attributes:
        limit: how many starts may be in flight.
        in_flight: how many are.
        decreased_s: when the bound last shrank.
        exhausted: the last pass left work waiting because of the bound.
    """

    limit: float = INITIAL_LIMIT
    in_flight: int = 0
    decreased_s: float = float("-inf")
    exhausted: bool = False

    def has_room(self) -> bool:
        """Returns whether another start may be sent."""
        return self.in_flight < self.limit

    def room_for(self, tasks: int, is_gang: bool) -> int:
        """Returns how many tasks of a step may be started now.

        The members of a gang are started together, even beyond the bound, so
        that a gang that is wider than the bound can start. So are the tasks of
        a step that is no wider than the gangs that the system is designed for:
        if they were divided, other work would take the room that was freed for
        them.
        """
        if is_gang:
            return tasks
        room = max(MAX_STARTED_TOGETHER, self.limit - self.in_flight)
        return int(min(tasks, room))

    def record_sent(self) -> None:
        """Records that a start was sent."""
        self.in_flight += 1

    def record_reply(self, now_s: float, seconds: float) -> None:
        """Records that a start got a reply after some seconds."""
        self.in_flight -= 1
        if seconds > SLOW_START_S:
            self._shrink(now_s)
        else:
            self.limit = min(MAX_LIMIT, self.limit + 1.0 / self.limit)

    def record_failure(self, now_s: float) -> None:
        """Records that a start got no reply."""
        self.in_flight -= 1
        self._shrink(now_s)

    def _shrink(self, now_s: float) -> None:
        if now_s - self.decreased_s < DECREASE_INTERVAL_S:
            return
        self.decreased_s = now_s
        self.limit = max(MIN_LIMIT, DECREASE_FACTOR * self.limit)
