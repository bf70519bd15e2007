"""Chooses targets for the tasks of a step.

Limits fragmentation with a best-fit policy: a task goes to the target that has
the least free resources, and a gang to the rack that it fills best. Tasks that
need no rack of their own can be made to fill racks one after the other, so that
whole racks stay free for gangs while batch work of single tasks takes most of
the pool.
"""

import dataclasses
from collections.abc import Collection

from dandelionpick import ids
from dandelionpick.batch import free_capacity
from dandelionpick.batch import model


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Tasks to place, with their constraints.

    Attributes:
        needs: what each task occupies.
        count: number of tasks.
        pool: the pool whose targets may be used.
        label: a label that the targets must have; "" if none.
        max_per_target: 0 if unlimited.
        all_or_nothing: either all tasks are placed or none.
        one_rack: all tasks must be in one rack, unless `relax_locality`.
        data_rack: tasks must be in this rack, unless `relax_locality`; "" if
            none.
        fill_racks: targets in the rack with the fewest free accelerators come
            first.
        backfill: targets with reservations for gangs may be used.
        relax_locality: other racks are accepted, although work is slower there.
        is_sensitive: much is lost if a target is unsound or slow.
    """

    needs: model.Resources
    count: int
    all_or_nothing: bool
    one_rack: bool = False
    data_rack: str = ""
    relax_locality: bool = False
    pool: ids.PoolName = ids.PoolName("")
    label: str = ""
    max_per_target: int = 0
    is_sensitive: bool = False
    fill_racks: bool = False
    backfill: bool = False


def choose_targets(
    demand: Demand, racks: free_capacity.Racks
) -> list[ids.TargetId]:
    """Returns a target for each task that can be placed.

    Args:
        demand: the tasks to place.
        racks: the targets that can be used, by rack.

    Returns:
        One target per task, possibly repeated; `demand.count` targets, or fewer
        unless the demand is all-or-nothing, in which case none if not all fit.
    """
    if demand.data_rack:
        data_rack = racks.get(ids.Rack(demand.data_rack))
        placed = _pack(demand, [data_rack] if data_rack else [])
        if placed or not demand.relax_locality:
            return placed
    if demand.one_rack and demand.count > 1:
        return _pack_into_one_rack(demand, racks)
    return _pack(demand, racks.values())


def _pack_into_one_rack(
    demand: Demand, racks: free_capacity.Racks
) -> list[ids.TargetId]:
    needs, label, count = demand.needs, demand.label, demand.count
    best: free_capacity.Rack | None = None
    best_rank = (True, True, 0)
    # A gang is as slow as its slowest member. Racks where it needs an unsound
    # or slow target come last, and before them those where it needs a cold one.
    for rack in racks.values():
        spare = rack.count_fitting(needs, label) - count
        if spare < 0:
            continue
        rank = (
            demand.is_sensitive and rack.count_preferred(needs, label) < count,
            rack.count_fitting_warm(needs, label) < count,
            spare,
        )
        if best is None or rank < best_rank:
            best, best_rank = rack, rank
    if best is not None:
        return _pack(demand, [best])
    return _pack(demand, racks.values()) if demand.relax_locality else []


def _pack(
    demand: Demand, racks: Collection[free_capacity.Rack]
) -> list[ids.TargetId]:
    needs, label = demand.needs, demand.label
    total = sum(rack.count_fitting(needs, label) for rack in racks)
    if total < (demand.count if demand.all_or_nothing else 1):
        return []
    is_sensitive = demand.is_sensitive
    fitting = []
    for rack in racks:
        if not rack.count_fitting(needs, label):
            continue
        rack_free = rack.free_accelerators() if demand.fill_racks else 0
        for candidate in rack.candidates:
            if count := candidate.count_fitting(needs, label):
                fitting.append((rack_free, count, candidate))
    fitting.sort(
        key=lambda entry: (
            entry[2].total_penalty(is_sensitive),
            entry[0],
            entry[2].free.accelerators,
            entry[2].free.cpu_millis,
            entry[2].target,
        )
    )
    placed: list[ids.TargetId] = []
    for _, count, candidate in fitting:
        placed.extend(
            [candidate.target] * min(count, demand.count - len(placed))
        )
        if len(placed) == demand.count:
            break
    return placed
