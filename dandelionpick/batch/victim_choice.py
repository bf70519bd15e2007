"""Chooses the runs to stop so that urgent work fits, at the least cost."""

import copy
import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence

from dandelionpick import ids
from dandelionpick.batch import free_capacity
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import placement


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """Runs that are preempted together: those of a gang or of one task.

    Attributes:
        resources: what the runs occupy, by target.
        cost: weighted work that is lost by stopping them, in core seconds.
        lost_core_s: the same without weights.
        remaining_s: how long they are expected to last.
    """

    runs: tuple[job_state.Run, ...]
    resources: dict[ids.TargetId, model.Resources]
    cost: float
    lost_core_s: float = 0.0
    remaining_s: float = float("inf")


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """Victims to stop, and the targets where the urgent tasks start then."""

    victims: tuple[Victim, ...]
    targets: tuple[ids.TargetId, ...]

    @property
    def cost(self) -> float:
        """Weighted work that is lost, in core seconds."""
        return sum(victim.cost for victim in self.victims)

    @property
    def lost_core_s(self) -> float:
        """Work that is lost, in core seconds."""
        return sum(victim.lost_core_s for victim in self.victims)


def choose_victims(
    demand: placement.Demand,
    candidates: Sequence[free_capacity.Candidate],
    victims: Sequence[Victim],
) -> PreemptionPlan | None:
    """Returns the cheapest plan that makes the demand fit, or None."""
    ordered = sorted(victims, key=lambda victim: victim.cost)
    if not demand.one_rack and not demand.data_rack:
        return _cheapest_plan(demand, candidates, ordered)
    racks = {
        name: rack.candidates
        for name, rack in free_capacity.group(candidates).items()
        if demand.relax_locality or demand.data_rack in ("", name)
    }
    by_rack = _victims_by_rack(racks, ordered)
    plans = (
        _cheapest_plan(demand, members, by_rack.get(name, []))
        for name, members in racks.items()
    )
    return min(
        (plan for plan in plans if plan is not None),
        key=lambda plan: plan.cost,
        default=None,
    )


def _victims_by_rack(
    racks: Mapping[ids.Rack, Sequence[free_capacity.Candidate]],
    victims: Sequence[Victim],
) -> dict[ids.Rack, list[Victim]]:
    """Returns the victims that occupy targets of each rack, in their order."""
    rack_of = {
        candidate.target: name
        for name, members in racks.items()
        for candidate in members
    }
    found: dict[ids.Rack, list[Victim]] = {}
    for victim in victims:
        for name in {rack_of.get(target) for target in victim.resources}:
            if name is not None:
                found.setdefault(name, []).append(victim)
    return found


class _Room:
    """Counts how many tasks fit while victims are added and dropped.

    Attributes:
        candidates: the targets, with the resources that the victims free.
        count: how many tasks fit.
    """

    def __init__(
        self,
        demand: placement.Demand,
        candidates: Sequence[free_capacity.Candidate],
    ):
        self.demand = demand
        self.candidates = {
            candidate.target: copy.copy(candidate) for candidate in candidates
        }
        self.count = sum(map(self._count, self.candidates.values()))

    def _count(self, candidate: free_capacity.Candidate) -> int:
        return candidate.count_fitting(self.demand.needs, self.demand.label)

    def add(self, victim: Victim) -> None:
        """Frees what a victim occupies."""
        for target, amount in victim.resources.items():
            self._change(target, amount)

    def drop(self, victim: Victim) -> None:
        """Undoes `add`."""
        for target, amount in victim.resources.items():
            self._change(target, amount.times(-1))

    def _change(self, target: ids.TargetId, amount: model.Resources) -> None:
        candidate = self.candidates.get(target)
        if candidate is not None:
            self.count -= self._count(candidate)
            candidate.free = candidate.free.plus(amount)
            self.count += self._count(candidate)


def _cheapest_plan(
    demand: placement.Demand,
    candidates: Sequence[free_capacity.Candidate],
    victims: Sequence[Victim],
) -> PreemptionPlan | None:
    """Adds the cheapest victims until the demand fits, then drops the unneeded.

    Unneeded victims are dropped in order of falling cost.

    Args:
        demand: what has to fit.
        candidates: the targets that may be used.
        victims: what may be stopped, by rising cost.
    """
    room = _Room(demand, candidates)
    taken: list[Victim] = []
    for victim in victims:
        if room.candidates.keys().isdisjoint(victim.resources):
            continue
        taken.append(victim)
        room.add(victim)
        if room.count >= demand.count:
            break
    if room.count < demand.count:
        return None
    for victim in reversed(list(taken)):
        room.drop(victim)
        if room.count >= demand.count:
            taken.remove(victim)
        else:
            room.add(victim)
    placed = placement.choose_targets(
        demand, free_capacity.group(room.candidates.values())
    )
    if len(placed) < demand.count:
        return None
    return PreemptionPlan(tuple(taken), tuple(placed))
