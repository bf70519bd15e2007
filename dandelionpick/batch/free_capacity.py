"""Indexes the free resources of a pool's targets during a scheduling pass.

At a crest hundreds of steps wait for room, and most of them ask for one of a
few shapes. How many tasks of a shape fit in a rack is therefore counted once,
and again only after the rack has changed, so that a step that does not fit
costs one comparison a rack instead of one a target.
"""

import dataclasses
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from dandelionpick import ids
from dandelionpick.batch import model

# Fits any number of tasks.
UNLIMITED_TASKS = 1 << 30


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that can take tasks.

    Attributes:
        max_tasks: how many more tasks the step's limit per target allows.
        penalty: targets with a lower penalty are preferred.
    """

    target: ids.TargetId
    rack: ids.Rack
    free: model.Resources
    max_tasks: int = UNLIMITED_TASKS
    penalty: float = 0.0
    labels: frozenset[str] = frozenset()

    def count_fitting(self, needs: model.Resources, label: str) -> int:
        """Returns how many tasks fit, 0 if the target lacks the label."""
        if label and label not in self.labels:
            return 0
        return min(self.max_tasks, needs.count_fitting_in(self.free))


class Rack:
    """The candidates of one rack.

    Attributes:
        counts: how many tasks fit, by needs and label; filled on demand.
    """

    __slots__ = ("candidates", "counts")

    def __init__(self, candidates: list[Candidate]):
        self.candidates = candidates
        self.counts: dict[tuple[model.Resources, str], int] = {}

    def count_fitting(self, needs: model.Resources, label: str) -> int:
        """Returns how many tasks fit in the rack."""
        key = needs, label
        count = self.counts.get(key)
        if count is None:
            count = sum(
                candidate.count_fitting(needs, label)
                for candidate in self.candidates
            )
            self.counts[key] = count
        return count

    def free_accelerators(self) -> int:
        """Returns how many accelerators are free in the rack."""
        return sum(candidate.free.accelerators for candidate in self.candidates)


Racks = dict[ids.Rack, Rack]


def group(candidates: Iterable[Candidate]) -> Racks:
    """Returns the candidates by rack."""
    racks: Racks = {}
    for candidate in candidates:
        rack = racks.get(candidate.rack)
        if rack is None:
            rack = racks[candidate.rack] = Rack([])
        rack.candidates.append(candidate)
    return racks


class FreeCapacity:
    """Free resources of a pool, kept up to date while tasks are placed.

    Attributes:
        racks: the candidates by rack.
        by_target: the candidates by target.
    """

    def __init__(self, candidates: Sequence[Candidate]):
        self.racks = group(candidates)
        self.by_target = {
            candidate.target: candidate for candidate in candidates
        }

    def candidates(self) -> Iterator[Candidate]:
        """Returns all candidates."""
        return iter(self.by_target.values())

    def racks_with(
        self, amounts: Mapping[ids.TargetId, model.Resources]
    ) -> Racks:
        """Returns the racks as if some amounts were free in addition."""
        if not amounts:
            return self.racks
        changed = {
            self.by_target[target].rack
            for target in amounts
            if target in self.by_target
        }
        racks = dict(self.racks)
        for name in changed:
            racks[name] = Rack(
                [
                    dataclasses.replace(
                        candidate,
                        free=candidate.free.plus(amounts[candidate.target]),
                    )
                    if candidate.target in amounts
                    else candidate
                    for candidate in self.racks[name].candidates
                ]
            )
        return racks

    def take(self, target: ids.TargetId, amount: model.Resources) -> None:
        """Subtracts an amount; what is reserved may exceed what is free."""
        candidate = self.by_target.get(target)
        if candidate is not None:
            candidate.free = candidate.free.minus(amount)
            self.racks[candidate.rack].counts.clear()

    def remove(self, target: ids.TargetId) -> None:
        """Removes a target, if it is a candidate."""
        candidate = self.by_target.pop(target, None)
        if candidate is not None:
            rack = self.racks[candidate.rack]
            rack.candidates.remove(candidate)
            rack.counts.clear()

    def put_back(self, target: ids.TargetId, amount: model.Resources) -> None:
        """Adds an amount."""
        candidate = self.by_target.get(target)
        if candidate is not None:
            candidate.free = candidate.free.plus(amount)
            self.racks[candidate.rack].counts.clear()
