"""What runs have shown about targets and steps, in the scheduler's memory."""

import dataclasses

from dandelionpick import ids
from dandelionpick.batch import model

# A step of an occurrence of a job.
StepKey = tuple[ids.JobId, int, int]
RunKey = tuple[model.TaskKey, ids.Attempt]
# Steps that evidence is kept for. Those of ended jobs are dropped first.
MAX_STEPS = 1_000


@dataclasses.dataclass(slots=True)
class TargetEvidence:
    """What runs have shown about one incarnation of a target.

    Attributes:
        strikes: how often it was taken out of use, each time soon after it was
            back.
        failed_s: when a run last failed early there; -inf if none did.
        suspect: the step of that run.
        out_until_s: nothing starts there before this time.
        on_probation: from `out_until_s` on, it has to prove itself.
        survived_s: when the latest run was ordered that has outlived the time
            in which runs fail early.
        speed: estimated speed, relative to other targets.
        speed_samples: how many samples the estimate has.
        sampled_s: when the last of them was taken.
        is_slow: it was much slower than the usual target of its pool then.
        marks: percentage and time of the last sample, by run.
    """

    strikes: int = 0
    failed_s: float = float("-inf")
    suspect: StepKey | None = None
    out_until_s: float = float("-inf")
    on_probation: bool = False
    survived_s: float = float("-inf")
    speed: float = 1.0
    speed_samples: int = 0
    sampled_s: float = float("-inf")
    is_slow: bool = False
    marks: dict[RunKey, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class StepEvidence:
    """What the runs of a step have shown.

    Attributes:
        failed_on: when a run of it failed early, by target.
        is_at_fault: it has failed early on a target that proved sound.
        rates: latest progress in percent per second, by target.
    """

    failed_on: dict[ids.TargetId, float] = dataclasses.field(
        default_factory=dict
    )
    is_at_fault: bool = False
    rates: dict[ids.TargetId, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Evidence:
    """What runs have shown so far under one epoch.

    Attributes:
        usual_speeds: median speed of a pool's targets, and when it was
            computed.
    """

    targets: dict[ids.TargetId, TargetEvidence] = dataclasses.field(
        default_factory=dict
    )
    steps: dict[StepKey, StepEvidence] = dataclasses.field(default_factory=dict)
    usual_speeds: dict[ids.PoolName, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )

    def of_target(self, target: ids.TargetId) -> TargetEvidence:
        """Returns the evidence about a target, which may be none so far."""
        evidence = self.targets.get(target)
        if evidence is None:
            evidence = self.targets[target] = TargetEvidence()
        return evidence

    def forget_target(self, target: ids.TargetId) -> None:
        """Forgets a target that has restarted or is gone."""
        self.targets.pop(target, None)

    def slow_targets(self) -> int:
        """Returns how many targets are known to be slow."""
        return sum(evidence.is_slow for evidence in self.targets.values())


def new_field() -> Evidence:
    """Returns a field of a dataclass that begins without evidence."""
    return dataclasses.field(default_factory=Evidence)
