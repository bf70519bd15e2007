"""Preempts work of a lower priority to make room for urgent work.

This happens when an organisation claims its guarantee while others use the
resources, for example with a burst of urgent gangs on a full pool. The rack
where the least work is lost is chosen, gangs are stopped as a whole, and the
freed resources are reserved for the urgent step. The cost of preempting a task
rises with each preemption, because a step that is preempted repeatedly would
never finish.
"""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import guarantees
from dandelionpick.batch import model
from dandelionpick.batch import orders
from dandelionpick.batch import placement
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib

# How long resources stay reserved for the step after the victims were told to
# stop; a stop takes at most 0.9 s, and its end is listed soon after.
RESERVATION_S = 2.0
# Cost factor between work of one priority and the next higher one.
PRIORITY_WEIGHT = 4.0
# Seconds of work that each preemption costs in any case: the start of the next
# attempt.
RESTART_S = 1.0
# How many processor cores an accelerator counts as when costs are compared.
CORES_PER_ACCELERATOR = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """Runs that are preempted together: those of a gang or of one task.

    Attributes:
        resources: what the runs occupy, by target.
        cost: weighted work that is lost by stopping them, in core seconds.
    """

    runs: tuple[schedule_state.Run, ...]
    resources: dict[ids.TargetId, model.Resources]
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """Victims to stop, and the targets where the urgent tasks start then."""

    victims: tuple[Victim, ...]
    targets: tuple[ids.TargetId, ...]

    @property
    def cost(self) -> float:
        """Weighted work that is lost, in core seconds."""
        return sum(victim.cost for victim in self.victims)


def preempt_for(
    state: state_lib.State,
    step: dispatch.Step,
    unit: Any,
    demand: placement.Demand,
    candidates: Sequence[placement.Candidate],
) -> None:
    """Stops runs of a lower rank so that a unit fits, if that is possible."""
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    if unit.key in schedule.reservations:
        return
    rank = guarantees.rank(schedule, unit.job)
    plan = choose_victims(
        demand, candidates, _find_victims(schedule, rank, now_s)
    )
    if plan is None:
        return
    counts = collections.Counter(plan.targets)
    schedule.reservations[unit.key] = schedule_state.Reservation(
        {target: demand.needs.times(counts[target]) for target in counts},
        now_s + RESERVATION_S,
    )
    for victim in plan.victims:
        for run in victim.runs:
            step.count("preemptions_total")
            orders.stop(state, step, run)
            task = schedule.task_of(run.task)
            if task is not None:
                task.preemptions += 1
    step.note(
        effects.Component.SCHEDULER,
        f"stopping {sum(len(victim.runs) for victim in plan.victims)} runs"
        f" at a cost of {plan.cost:.0f} core seconds for {unit.job.id} of"
        f" rank {rank}",
    )


def choose_victims(
    demand: placement.Demand,
    candidates: Sequence[placement.Candidate],
    victims: Sequence[Victim],
) -> PreemptionPlan | None:
    """Returns the cheapest plan that makes the demand fit, or None."""
    racks: Iterable[Sequence[placement.Candidate]] = [candidates]
    if demand.one_rack or demand.data_rack:
        by_rack: dict[ids.Rack, list[placement.Candidate]] = {}
        for candidate in candidates:
            by_rack.setdefault(candidate.rack, []).append(candidate)
        racks = by_rack.values()
    plans = (_cheapest_plan(demand, members, victims) for members in racks)
    return min(
        (plan for plan in plans if plan is not None),
        key=lambda plan: plan.cost,
        default=None,
    )


def _cheapest_plan(
    demand: placement.Demand,
    candidates: Sequence[placement.Candidate],
    victims: Sequence[Victim],
) -> PreemptionPlan | None:
    """Adds the cheapest victims until the demand fits, then drops the unneeded.

    Unneeded victims are dropped in order of falling cost.
    """
    members = {candidate.target for candidate in candidates}
    taken: list[Victim] = []
    placed: list[ids.TargetId] = []
    for victim in sorted(victims, key=lambda victim: victim.cost):
        if members.isdisjoint(victim.resources):
            continue
        taken.append(victim)
        placed = _place_without(demand, candidates, taken)
        if placed:
            break
    if not placed:
        return None
    for victim in sorted(taken, key=lambda victim: -victim.cost):
        fewer = [other for other in taken if other is not victim]
        without = _place_without(demand, candidates, fewer)
        if without:
            taken, placed = fewer, without
    return PreemptionPlan(tuple(taken), tuple(placed))


def _place_without(
    demand: placement.Demand,
    candidates: Sequence[placement.Candidate],
    victims: Sequence[Victim],
) -> list[ids.TargetId]:
    free = {candidate.target: candidate.free for candidate in candidates}
    for victim in victims:
        for target, occupied in victim.resources.items():
            if target in free:
                free[target] = free[target].plus(occupied)
    freed = [
        dataclasses.replace(candidate, free=free[candidate.target])
        for candidate in candidates
    ]
    placed = placement.choose_targets(demand, freed)
    return placed if len(placed) == demand.count else []


def _find_victims(
    schedule: schedule_state.Schedule, rank: float, now_s: float
) -> list[Victim]:
    victims = []
    for job in schedule.jobs.values():
        rank_gap = guarantees.rank(schedule, job) - rank
        if rank_gap <= 0 or job.ended:
            continue
        for step_run in job.steps.values():
            for tasks in _preemption_groups(step_run):
                victim = _make_victim(step_run, tasks, rank_gap, now_s)
                if victim is not None:
                    victims.append(victim)
    return victims


def _preemption_groups(
    step_run: schedule_state.StepRun,
) -> list[list[schedule_state.Task]]:
    if step_run.spec.gang:
        return [step_run.tasks]
    return [[task] for task in step_run.tasks]


def _make_victim(
    step_run: schedule_state.StepRun,
    tasks: Sequence[schedule_state.Task],
    rank_gap: float,
    now_s: float,
) -> Victim | None:
    runs = [run for task in tasks for run in task.runs.values()]
    if not runs or any(
        run.state is not schedule_state.RunState.RUNNING for run in runs
    ):
        return None
    resources: dict[ids.TargetId, model.Resources] = {}
    for run in runs:
        earlier = resources.get(run.target, model.Resources())
        resources[run.target] = earlier.plus(run.needs)
    weight = 1 + max(task.preemptions for task in tasks)
    lost = sum(_lost_core_seconds(step_run.spec, run, now_s) for run in runs)
    cost = lost * weight / PRIORITY_WEIGHT ** (rank_gap - 1)
    return Victim(tuple(runs), resources, cost)


def _lost_core_seconds(
    spec: model.StepSpec, run: schedule_state.Run, now_s: float
) -> float:
    """Returns the core seconds of work that are lost if a run is stopped."""
    cores = (
        run.needs.cpu_millis / 1_000
        + run.needs.accelerators * CORES_PER_ACCELERATOR
    )
    worked_s = 0.0 if spec.checkpoints else now_s - run.ordered_s
    return cores * (worked_s + RESTART_S)
