"""The request queue of an instance: lanes, worth, fair shares and deadlines.

Within a lane the highest worth is served first. Organisations with requests of
the same worth are served by weighted virtual time (start-time fair queueing),
and the requests of one organisation by earliest deadline. Push and pop take
O(log n). Removal is lazy: an item is marked, and the heaps drop it later.
"""

import dataclasses
import enum
import heapq

from dandelionpick import ids

# The heaps are rebuilt when the removed items outnumber the queued ones by more
# than this.
REMOVED_ITEMS_MARGIN = 64


class Lane(enum.Enum):
    """The lane of a queued request: short work or all other work."""

    SHORT = "short"
    NORMAL = "normal"


RequestName = tuple[ids.OrganisationId, ids.RequestKey]


@dataclasses.dataclass(slots=True)
class Item:
    """A queued request.

    Attributes:
        share: weight of the organisation in fair queueing.
        cost_s: expected run time in seconds; 0 if nothing was observed yet.
        charge: service charged to the organisation for a start, in its
            accounting unit.
        never_sent: whether no start was ever sent to a target, so that the
            request can still be refused as not run.
        number: arrival order; breaks ties.
    """

    name: RequestName
    lane: Lane
    worth: float
    deadline_s: float
    share: float = 1.0
    cost_s: float = 0.0
    charge: float = 1.0
    never_sent: bool = True
    number: int = 0
    queued: bool = True

    @property
    def organisation(self) -> ids.OrganisationId:
        """Returns the organisation that submitted the request."""
        return self.name[0]


@dataclasses.dataclass(slots=True)
class Backlog:
    """Queued requests of one organisation with the same worth in a lane.

    Attributes:
        heap: items by deadline.
        work_s: expected run time of the items, by the whole second of their
            deadline.
    """

    share: float
    heap: list[tuple[float, int, Item]] = dataclasses.field(
        default_factory=list
    )
    work_s: dict[int, float] = dataclasses.field(default_factory=dict)

    def add_work(self, item: Item, sign: int) -> None:
        """Adds (1) or subtracts (-1) an item's expected run time."""
        second = int(item.deadline_s)
        work_s = self.work_s.get(second, 0.0) + sign * item.cost_s
        if work_s > 1e-9:
            self.work_s[second] = work_s
        else:
            self.work_s.pop(second, None)

    def work_until(self, deadline_s: float) -> float:
        """Returns the expected run time of the items due by deadline_s."""
        last = int(deadline_s)
        return sum(w for second, w in self.work_s.items() if second <= last)

    def head(self) -> Item | None:
        """Returns the queued item with the earliest deadline."""
        while self.heap and not self.heap[0][2].queued:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None


@dataclasses.dataclass(slots=True)
class Level:
    """Queued requests with the same worth in a lane.

    Attributes:
        turns: heap of the organisations with a backlog, by virtual time.
    """

    backlogs: dict[ids.OrganisationId, Backlog] = dataclasses.field(
        default_factory=dict
    )
    turns: list[tuple[float, ids.OrganisationId]] = dataclasses.field(
        default_factory=list
    )


class LaneQueue:
    """The queue of one lane.

    Attributes:
        virtual_times: service received by each organisation, divided by its
            share.
        virtual_clock: virtual time of the last start; an organisation that was
            idle resumes from here, so that it can't accumulate credit.
        counts: number of queued items of each organisation.
        size: number of queued items.
        work_s: expected run time of the queued items.
    """

    def __init__(self) -> None:
        self.levels: dict[float, Level] = {}
        self.virtual_times: dict[ids.OrganisationId, float] = {}
        self.virtual_clock = 0.0
        self.counts: dict[ids.OrganisationId, int] = {}
        self.size = 0
        self.work_s = 0.0

    def push(self, item: Item) -> None:
        """Adds an item."""
        organisation = item.organisation
        self.size += 1
        self.work_s += item.cost_s
        level = self.levels.setdefault(item.worth, Level())
        if not self.counts.get(organisation):
            virtual_time = self.virtual_times.get(organisation, 0.0)
            self.virtual_times[organisation] = max(
                virtual_time, self.virtual_clock
            )
        self.counts[organisation] = self.counts.get(organisation, 0) + 1
        backlog = level.backlogs.get(organisation)
        if backlog is None:
            backlog = level.backlogs[organisation] = Backlog(item.share)
            turn = (self.virtual_times[organisation], organisation)
            heapq.heappush(level.turns, turn)
        backlog.share = item.share
        backlog.add_work(item, 1)
        heapq.heappush(backlog.heap, (item.deadline_s, item.number, item))

    def subtract_from_totals(self, item: Item) -> None:
        """Subtracts an item that is no longer queued from the totals."""
        self.size -= 1
        self.work_s = self.work_s - item.cost_s if self.size else 0.0
        self.counts[item.organisation] -= 1
        if self.counts[item.organisation] == 0:
            del self.counts[item.organisation]
        level = self.levels[item.worth]
        level.backlogs[item.organisation].add_work(item, -1)

    def head(self) -> Item | None:
        """Returns the next item to start, or None."""
        for worth in sorted(self.levels, reverse=True):
            item = self._head_of_level(self.levels[worth])
            if item is not None:
                return item
            del self.levels[worth]
        return None

    def _head_of_level(self, level: Level) -> Item | None:
        while level.turns:
            recorded, organisation = level.turns[0]
            item = level.backlogs[organisation].head()
            if item is None:
                heapq.heappop(level.turns)
                del level.backlogs[organisation]
            elif recorded < self.virtual_times[organisation]:
                turn = (self.virtual_times[organisation], organisation)
                heapq.heapreplace(level.turns, turn)
            else:
                return item
        return None

    def charge(self, item: Item) -> None:
        """Charges a start to the item's organisation."""
        virtual_time = self.virtual_times.get(item.organisation, 0.0)
        self.virtual_clock = max(self.virtual_clock, virtual_time)
        self.virtual_times[item.organisation] = (
            virtual_time + item.charge / item.share
        )

    def work_ahead(self, item: Item) -> float:
        """Returns the expected run time of the items that start before an item.

        Of the other organisations with the same worth, only the work that their
        share entitles them to in the same time is counted.
        """
        ahead_s = 0.0
        for worth, level in self.levels.items():
            if worth > item.worth:
                for backlog in level.backlogs.values():
                    ahead_s += sum(backlog.work_s.values())
            elif worth == item.worth:
                ahead_s += self._work_ahead_in_level(level, item)
        return ahead_s

    def _work_ahead_in_level(self, level: Level, item: Item) -> float:
        own = level.backlogs.get(item.organisation)
        own_s = own.work_until(item.deadline_s) if own else 0.0
        ahead_s = own_s
        for organisation, backlog in level.backlogs.items():
            if organisation == item.organisation:
                continue
            entitled_s = (own_s + item.cost_s) * backlog.share / item.share
            ahead_s += min(sum(backlog.work_s.values()), entitled_s)
        return ahead_s


class Queue:
    """All requests of this instance that wait for a slot."""

    def __init__(self) -> None:
        self.items: dict[RequestName, Item] = {}
        self.last_number = 0
        self._reset()

    def _reset(self) -> None:
        self.lanes = {lane: LaneQueue() for lane in Lane}
        self.victims: list[tuple[float, float, int, Item]] = []
        self.removed_count = 0

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, name: RequestName) -> bool:
        return name in self.items

    def push(self, item: Item) -> None:
        """Adds an item; the name must not be queued."""
        if not item.number:
            self.last_number += 1
            item.number = self.last_number
        self.items[item.name] = item
        self._insert(item)

    def _insert(self, item: Item) -> None:
        self.lanes[item.lane].push(item)
        if item.never_sent:
            victim = (item.worth, -item.deadline_s, -item.number, item)
            heapq.heappush(self.victims, victim)

    def head(self, lane: Lane) -> Item | None:
        """Returns the next item of a lane, or None."""
        return self.lanes[lane].head()

    def start(self, item: Item) -> None:
        """Removes an item that is started and charges its organisation."""
        self.lanes[item.lane].charge(item)
        self.remove(item.name)

    def remove(self, name: RequestName) -> Item | None:
        """Removes an item if it is queued."""
        item = self.items.pop(name, None)
        if item is None:
            return None
        item.queued = False
        self.lanes[item.lane].subtract_from_totals(item)
        self.removed_count += 1
        if self.removed_count > len(self.items) + REMOVED_ITEMS_MARGIN:
            self._rebuild()
        return item

    def _rebuild(self) -> None:
        """Drops removed items from the heaps."""
        before = self.lanes
        self._reset()
        for lane, rebuilt in self.lanes.items():
            rebuilt.virtual_times = before[lane].virtual_times
            rebuilt.virtual_clock = before[lane].virtual_clock
        for item in self.items.values():
            self._insert(item)

    def move(self, item: Item, lane: Lane) -> None:
        """Moves a queued item to another lane."""
        self.remove(item.name)
        # A new number, because the heaps may still hold the removed item.
        self.push(dataclasses.replace(item, lane=lane, queued=True, number=0))

    def least_valuable(self) -> Item | None:
        """Returns the item to displace first among those never sent."""
        while self.victims and not self.victims[0][3].queued:
            heapq.heappop(self.victims)
        return self.victims[0][3] if self.victims else None

    def work_ahead(self, item: Item) -> float:
        """Returns the expected run time ahead of an item in its lane."""
        return self.lanes[item.lane].work_ahead(item)


def is_worth_more(item: Item, other: Item) -> bool:
    """Returns whether an item has a higher worth, or an earlier deadline.

    The deadline decides between items of equal worth.
    """
    return (item.worth, -item.deadline_s) > (other.worth, -other.deadline_s)
