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
        is_cold: the target works slowly for now.
        sensitive_penalty: added to it for work that loses much if a target is
            unsound or slow.
        other_penalty: added to it for other work.
    """

    target: ids.TargetId
    rack: ids.Rack
    free: model.Resources
    max_tasks: int = UNLIMITED_TASKS
    penalty: float = 0.0
    labels: frozenset[str] = frozenset()
    is_cold: bool = False
    sensitive_penalty: float = 0.0
    other_penalty: float = 0.0

    def count_fitting(self, needs: model.Resources, label: str) -> int:
        """Returns how many tasks fit, 0 if the target lacks the label."""
        if label and label not in self.labels:
            return 0
        return min(self.max_tasks, needs.count_fitting_in(self.free))

    def total_penalty(self, is_sensitive: bool) -> float:
        """Returns the penalty for work that loses much, or for other work."""
        if is_sensitive:
            return self.penalty + self.sensitive_penalty
        return self.penalty + self.other_penalty


class Rack:
    """The candidates of one rack.

    Attributes:
        counts: how many tasks fit, by needs and label; filled on demand.
        preferred_counts: how many of them fit on targets without a penalty
            for sensitive work.
        has_penalties: a target has such a penalty.
    """

    __slots__ = ("candidates", "counts", "has_penalties", "preferred_counts")

    def __init__(self, candidates: list[Candidate]):
        self.candidates = candidates
        self.counts: dict[tuple[model.Resources, str], int] = {}
        self.preferred_counts: dict[tuple[model.Resources, str], int] = {}
        self.has_penalties = any(
            candidate.sensitive_penalty for candidate in candidates
        )

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

    def count_fitting_warm(self, needs: model.Resources, label: str) -> int:
        """Returns how many tasks fit on targets that aren't cold."""
        cold = sum(
            candidate.count_fitting(needs, label)
            for candidate in self.candidates
            if candidate.is_cold
        )
        return self.count_fitting(needs, label) - cold

    def count_preferred(self, needs: model.Resources, label: str) -> int:
        """Returns how many tasks fit without a penalty for sensitive work."""
        if not self.has_penalties:
            return self.count_fitting(needs, label)
        key = needs, label
        count = self.preferred_counts.get(key)
        if count is None:
            count = sum(
                candidate.count_fitting(needs, label)
                for candidate in self.candidates
                if not candidate.sensitive_penalty
            )
            self.preferred_counts[key] = count
        return count

    def clear_counts(self) -> None:
        """Forgets the counts, because what is free has changed."""
        self.counts.clear()
        self.preferred_counts.clear()

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
        rack.has_penalties |= candidate.sensitive_penalty > 0
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
            self.racks[candidate.rack].clear_counts()

    def remove(self, target: ids.TargetId) -> None:
        """Removes a target, if it is a candidate."""
        candidate = self.by_target.pop(target, None)
        if candidate is not None:
            rack = self.racks[candidate.rack]
            rack.candidates.remove(candidate)
            rack.clear_counts()

    def put_back(self, target: ids.TargetId, amount: model.Resources) -> None:
        """Adds an amount."""
        candidate = self.by_target.get(target)
        if candidate is not None:
            candidate.free = candidate.free.plus(amount)
            self.racks[candidate.rack].clear_counts()
