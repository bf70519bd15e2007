"""Chooses targets for the tasks of a step.

Answers fragmentation: tasks go where they leave the least room over, and a
gang goes whole into the rack that it fills best.
"""

import dataclasses
from collections.abc import Sequence

from dandelionpick import ids
from dandelionpick.batch import model


@dataclasses.dataclass(slots=True)
class Room:
    """A target that may take tasks of the step.

    Attributes:
        most: tasks that may still be placed on it, by the step's limit.
        penalty: added to the preference; lower is better.
    """

    target: ids.TargetId
    rack: ids.Rack
    free: model.Resources
    most: int
    penalty: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What is to be placed.

    Attributes:
        count: tasks.
        pool: the targets that may be used.
        label: a label that they must have; "" if none.
        most_per_target: 0 if unlimited.
        whole: all tasks or none.
        one_rack: only into one rack, unless `far_allowed`.
        data_rack: only into this rack, unless `far_allowed`; "" if none.
        far_allowed: other racks are accepted although the work is slower.
    """

    needs: model.Resources
    count: int
    whole: bool
    one_rack: bool = False
    data_rack: str = ""
    far_allowed: bool = False
    pool: ids.PoolName = ids.PoolName("")
    label: str = ""
    most_per_target: int = 0


def capacity_for(needs: model.Resources, room: Room) -> int:
    """Returns how many tasks fit."""
    return max(0, min(room.most, needs.fitting_in(room.free)))


def choose(demand: Demand, rooms: Sequence[Room]) -> list[ids.TargetId]:
    """Returns a target for each task that can be placed.

    Args:
        demand: what is to be placed.
        rooms: the targets that may be used.

    Returns:
        Targets, with repetitions; as many as `demand.count` or, unless the
        demand is whole, fewer.
    """
    by_rack: dict[ids.Rack, list[Room]] = {}
    for room in rooms:
        by_rack.setdefault(room.rack, []).append(room)
    if demand.data_rack:
        near = by_rack.get(ids.Rack(demand.data_rack), [])
        placed = _fill(demand, near)
        if placed or not demand.far_allowed:
            return placed
    if demand.one_rack and demand.count > 1:
        return _in_one_rack(demand, by_rack, rooms)
    return _fill(demand, rooms)


def _in_one_rack(
    demand: Demand,
    by_rack: dict[ids.Rack, list[Room]],
    rooms: Sequence[Room],
) -> list[ids.TargetId]:
    best: list[Room] | None = None
    best_spare = 0
    for members in by_rack.values():
        fits = sum(capacity_for(demand.needs, room) for room in members)
        spare = fits - demand.count
        if spare >= 0 and (best is None or spare < best_spare):
            best, best_spare = members, spare
    if best is not None:
        return _fill(demand, best)
    return _fill(demand, rooms) if demand.far_allowed else []


def _fill(demand: Demand, rooms: Sequence[Room]) -> list[ids.TargetId]:
    needs = demand.needs
    fitting = [
        (capacity_for(needs, room), room)
        for room in rooms
        if needs.fits_in(room.free) and room.most > 0
    ]
    if demand.whole and sum(fits for fits, _ in fitting) < demand.count:
        return []
    fitting.sort(
        key=lambda pair: (
            pair[1].penalty,
            pair[1].free.accelerators,
            pair[1].free.cpu_millis,
            pair[1].target,
        )
    )
    placed: list[ids.TargetId] = []
    for fits, room in fitting:
        placed.extend([room.target] * min(fits, demand.count - len(placed)))
        if len(placed) == demand.count:
            break
    return placed
