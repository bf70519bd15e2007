"""Orders the targets in a scheduling pass by what their runs have shown.

Targets that are out of use get no work. One on probation gets one task at a
time, at first only work that loses little if it fails. Slow targets come last
for work that loses much.
"""

from typing import Any

from dandelionpick.batch import free_capacity
from dandelionpick.batch import guarantees
from dandelionpick.batch import schedule_state
from dandelionpick.batch import target_speeds

# How long a target on probation waits for work that loses little.
PROBATION_WAIT_S = 2.0
# They sum up to less than the penalty of a target that failed the unit itself.
PROBATION_PENALTY = 2.0
SLOW_PENALTY = 0.25


class TargetPreference:
    """How the evidence changes the order of targets in one pass.

    Attributes:
        evidence: what runs have shown, by target.
    """

    def __init__(self, schedule: schedule_state.Schedule, now_s: float):
        self.now_s = now_s
        self.evidence = schedule.evidence.targets

    def is_out(self, target: schedule_state.Target) -> bool:
        """Returns whether a target gets no work.

        That is also so on probation while it has a task to prove itself with.
        """
        evidence = self.evidence.get(target.id)
        if evidence is None or not evidence.on_probation:
            return False
        return self.now_s < evidence.out_until_s or any(
            run.ordered_s >= evidence.out_until_s
            for run in target.runs.values()
        )

    def is_reserved_for_probes(self, target: schedule_state.Target) -> bool:
        """Returns whether only work that loses little may start there."""
        evidence = self.evidence.get(target.id)
        return (
            evidence is not None
            and evidence.on_probation
            and self.now_s < evidence.out_until_s + PROBATION_WAIT_S
        )

    def apply(
        self,
        candidate: free_capacity.Candidate,
        target: schedule_state.Target,
    ) -> None:
        """Sets the limits and penalties that follow from the evidence."""
        evidence = self.evidence.get(target.id)
        if evidence is not None and evidence.on_probation:
            candidate.max_tasks = 1
            candidate.sensitive_penalty += PROBATION_PENALTY
            candidate.other_penalty -= PROBATION_PENALTY
        if (
            evidence is not None
            and evidence.is_slow
            and target_speeds.is_known(evidence, self.now_s)
        ):
            candidate.sensitive_penalty += SLOW_PENALTY


def is_sensitive(unit: Any) -> bool:
    """Returns whether a unit loses much if one of its targets is unsound.

    Urgent work, a gang and a job with one attempt left do.
    """
    terms = unit.job.record.terms
    return (
        unit.step_run.spec.gang
        or terms.priority == guarantees.URGENT_PRIORITY
        or terms.max_attempts <= 1
        or any(
            len(attempts) >= terms.max_attempts - 1
            for attempts in unit.job.progress.failures.values()
        )
    )


def may_probe(unit: Any) -> bool:
    """Returns whether a task of a unit may show that a target is sound.

    The first task goes to the target that comes first. One that has failed
    before might do so by its own fault.
    """
    return (
        not unit.step_run.spec.max_per_target
        and not is_sensitive(unit)
        and not unit.tasks[0].failures
    )
