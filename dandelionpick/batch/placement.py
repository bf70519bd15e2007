"""Chooses targets for the tasks of a step.

Limits fragmentation with a best-fit policy: a task goes to the target that has
the least free resources, and a gang to the rack that it fills best.
"""

import dataclasses
from collections.abc import Sequence

from dandelionpick import ids
from dandelionpick.batch import model


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that can take tasks of the step.

    Attributes:
        max_tasks: how many more tasks the step's limit per target allows.
        penalty: targets with a lower penalty are preferred.
    """

    target: ids.TargetId
    rack: ids.Rack
    free: model.Resources
    max_tasks: int
    penalty: float = 0.0


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
        relax_locality: other racks are accepted, although work is slower there.
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


def capacity_for(needs: model.Resources, candidate: Candidate) -> int:
    """Returns how many tasks fit on a target."""
    return max(
        0, min(candidate.max_tasks, needs.count_fitting_in(candidate.free))
    )


def choose_targets(
    demand: Demand, candidates: Sequence[Candidate]
) -> list[ids.TargetId]:
    """Returns a target for each task that can be placed.

    Args:
        demand: the tasks to place.
        candidates: the targets that can be used.

    Returns:
        One target per task, possibly repeated; `demand.count` targets, or fewer
        unless the demand is all-or-nothing, in which case none if not all fit.
    """
    by_rack: dict[ids.Rack, list[Candidate]] = {}
    for candidate in candidates:
        by_rack.setdefault(candidate.rack, []).append(candidate)
    if demand.data_rack:
        in_data_rack = by_rack.get(ids.Rack(demand.data_rack), [])
        placed = _pack(demand, in_data_rack)
        if placed or not demand.relax_locality:
            return placed
    if demand.one_rack and demand.count > 1:
        return _pack_into_one_rack(demand, by_rack, candidates)
    return _pack(demand, candidates)


def _pack_into_one_rack(
    demand: Demand,
    by_rack: dict[ids.Rack, list[Candidate]],
    candidates: Sequence[Candidate],
) -> list[ids.TargetId]:
    best: list[Candidate] | None = None
    best_spare = 0
    for members in by_rack.values():
        fitting = sum(
            capacity_for(demand.needs, candidate) for candidate in members
        )
        spare = fitting - demand.count
        if spare >= 0 and (best is None or spare < best_spare):
            best, best_spare = members, spare
    if best is not None:
        return _pack(demand, best)
    return _pack(demand, candidates) if demand.relax_locality else []


def _pack(
    demand: Demand, candidates: Sequence[Candidate]
) -> list[ids.TargetId]:
    needs = demand.needs
    fitting = [
        (capacity_for(needs, candidate), candidate)
        for candidate in candidates
        if needs.fits_in(candidate.free) and candidate.max_tasks > 0
    ]
    if (
        demand.all_or_nothing
        and sum(fits for fits, _ in fitting) < demand.count
    ):
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
    for fits, candidate in fitting:
        placed.extend(
            [candidate.target] * min(fits, demand.count - len(placed))
        )
        if len(placed) == demand.count:
            break
    return placed
