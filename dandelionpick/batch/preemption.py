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
from dandelionpick.batch import capacity_views
from dandelionpick.batch import free_capacity
from dandelionpick.batch import guarantees
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import orders
from dandelionpick.batch import placement
from dandelionpick.batch import preemption_gain
from dandelionpick.batch import run_times
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import victim_choice

# How long resources stay reserved for a step after its victims should have
# stopped; their ends are listed within this time. Then the step is planned for
# again.
LISTED_MARGIN_S = 0.6
# A start without a reply may still take effect, and stops of its gang are on
# their way.
PREEMPTIBLE_STATES = (
    job_state.RunState.RUNNING,
    job_state.RunState.STOPPING,
)
# Cost factor between work of one priority and the next higher one.
PRIORITY_WEIGHT = 4.0
# Seconds of work that each preemption costs in any case: the start of the next
# attempt.
RESTART_S = 1.0


class VictimIndex:
    """The runs that may be preempted during one scheduling pass, by rank."""

    def __init__(self, schedule: schedule_state.Schedule, now_s: float):
        self.schedule = schedule
        self.now_s = now_s
        self.by_rank: dict[float, list[victim_choice.Victim]] = {}

    def of_rank(self, rank: float) -> list[victim_choice.Victim]:
        """Returns what work of a rank may preempt, the cheapest first.

        Runs that end soon come first and cost nothing.
        """
        if rank not in self.by_rank:
            victims = _find_victims(self.schedule, rank, self.now_s)
            victims.sort(key=lambda victim: victim.cost)
            self.by_rank[rank] = victims
        victims = self.by_rank[rank]
        soon_s = preemption_gain.NEAR_END_S
        ending = [
            dataclasses.replace(
                victim,
                cost=0.0,
                lost_core_s=0.0,
                remaining_s=_remaining_s(victim),
            )
            for victim in victims
            if _remaining_s(victim) <= soon_s
        ]
        return ending + [
            victim for victim in victims if _remaining_s(victim) > soon_s
        ]


def _remaining_s(victim: victim_choice.Victim) -> float:
    """Returns how long a victim lasts; 0 if it is being stopped."""
    if _is_stopping(victim.runs):
        return 0.0
    return victim.remaining_s


def _is_stopping(runs: Sequence[job_state.Run]) -> bool:
    """Returns whether all runs are being stopped already."""
    return bool(runs) and all(
        run.state is job_state.RunState.STOPPING for run in runs
    )


def preempt_for(
    state: state_lib.State,
    step: dispatch.Step,
    unit: Any,
    demand: placement.Demand,
    racks: free_capacity.Racks,
    index: VictimIndex,
) -> bool:
    """Reserves room for a unit, and stops runs of a lower rank for it.

    Args:
        state: the instance's state.
        step: the current step.
        unit: the urgent unit that does not fit.
        demand: its resources and constraints.
        racks: its candidates.
        index: the runs that may be preempted.

    Returns:
        Whether room was reserved for the unit.
    """
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    rank = guarantees.rank(schedule, unit.job)
    candidates = [
        candidate for rack in racks.values() for candidate in rack.candidates
    ]
    plan = victim_choice.choose_victims(demand, candidates, index.of_rank(rank))
    if plan is None:
        return False
    covered = unit.job.id not in schedule.over_guarantee
    if not covered and not preemption_gain.pays(
        plan.lost_core_s,
        unit.step_run.spec.needs,
        len(unit.tasks),
        run_times.expected_s(schedule, unit.job, unit.step_run),
    ):
        return False
    counts = collections.Counter(plan.targets)
    schedule.reservations[unit.key] = capacity_views.Reservation(
        {target: unit.needs.times(counts[target]) for target in counts},
        now_s + state.limits.stop_s + LISTED_MARGIN_S,
    )
    _stop_victims(state, step, unit, plan)
    return True


def _stop_victims(
    state: state_lib.State,
    step: dispatch.Step,
    unit: Any,
    plan: victim_choice.PreemptionPlan,
) -> None:
    """Stops the victims of a plan that don't end by themselves soon."""
    schedule = state.schedule
    assert schedule is not None
    stopped = [
        run
        for victim in plan.victims
        if victim.remaining_s > preemption_gain.NEAR_END_S
        for run in victim.runs
    ]
    for run in stopped:
        step.count("preemptions_total")
        orders.stop(state, step, run)
        task = schedule.task_of(run.task)
        if task is not None:
            task.preemptions += 1
    step.note(
        effects.Component.SCHEDULER,
        f"stopping {len(stopped)} runs for {unit.job.id}",
        cost_core_s=round(plan.cost),
        lost_core_s=round(plan.lost_core_s),
        covered=unit.job.id not in schedule.over_guarantee,
    )


def _find_victims(
    schedule: schedule_state.Schedule, rank: float, now_s: float
) -> list[victim_choice.Victim]:
    victims = []
    for key in _running_steps(schedule):
        job = schedule.jobs.get(key[0])
        step_run = job and job.steps.get(key[1:])
        if not job or not step_run:
            continue
        rank_gap = guarantees.rank(schedule, job) - rank
        for tasks in _preemption_groups(step_run):
            victim = _make_victim(schedule, step_run, tasks, rank_gap, now_s)
            if victim is not None:
                victims.append(victim)
    return victims


def _running_steps(
    schedule: schedule_state.Schedule,
) -> Iterable[tuple[ids.JobId, int, int]]:
    """Returns job, occurrence and number of the steps that have runs."""
    return dict.fromkeys(
        (task.job_id, task.occurrence, task.step)
        for target in schedule.targets.values()
        for task, _ in target.runs
    )


def _preemption_groups(
    step_run: job_state.StepRun,
) -> list[list[job_state.Task]]:
    if step_run.spec.gang:
        return [step_run.tasks]
    return [[task] for task in step_run.tasks]


def _make_victim(
    schedule: schedule_state.Schedule,
    step_run: job_state.StepRun,
    tasks: Sequence[job_state.Task],
    rank_gap: float,
    now_s: float,
) -> victim_choice.Victim | None:
    runs = [run for task in tasks for run in task.runs.values()]
    if _is_stopping(runs):
        return victim_choice.Victim(tuple(runs), _occupied(runs), 0.0, 0.0, 0.0)
    if (
        rank_gap <= 0
        or not runs
        or any(run.state not in PREEMPTIBLE_STATES for run in runs)
    ):
        return None
    weight = 1 + max(task.preemptions for task in tasks)
    lost = sum(_lost_core_seconds(step_run.spec, run, now_s) for run in runs)
    cost = lost * weight / PRIORITY_WEIGHT ** (rank_gap - 1)
    remaining_s = max(
        run_times.remaining_s(schedule, run, now_s) for run in runs
    )
    return victim_choice.Victim(
        tuple(runs), _occupied(runs), cost, lost, remaining_s
    )


def _occupied(
    runs: Sequence[job_state.Run],
) -> dict[ids.TargetId, model.Resources]:
    """Returns what runs occupy, by target."""
    resources: dict[ids.TargetId, model.Resources] = {}
    for run in runs:
        earlier = resources.get(run.target, model.Resources())
        resources[run.target] = earlier.plus(run.needs)
    return resources


def _lost_core_seconds(
    spec: model.StepSpec, run: job_state.Run, now_s: float
) -> float:
    """Returns the core seconds of work that are lost if a run is stopped."""
    worked_s = 0.0 if spec.checkpoints else now_s - run.ordered_s
    return preemption_gain.cores_of(run.needs) * (worked_s + RESTART_S)
