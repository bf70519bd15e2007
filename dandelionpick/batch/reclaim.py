"""Frees room for urgent work by stopping work of a lower priority.

Answers a guarantee that is claimed while others use the idle room: the runs
that lose the least work are stopped, whole gangs at a time, and what they
leave is kept for the urgent step.
"""

import collections
import dataclasses
from collections.abc import Sequence
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import model
from dandelionpick.batch import orders
from dandelionpick.batch import placement
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib

# How long room is kept for the step after its runs were told to stop; a stop
# takes at most 0.9 s, and its end is listed soon after.
KEPT_S = 2.0


@dataclasses.dataclass(slots=True)
class Victim:
    """Runs that are stopped together: a gang, or one task.

    Attributes:
        priority: of its queue; the highest number goes first.
        lost: work that a stop throws away, in accelerator seconds.
    """

    runs: list[schedule_state.Run]
    priority: int
    lost: float


def free_room(
    state: state_lib.State,
    step: dispatch.Step,
    unit: Any,
    demand: placement.Demand,
    rooms: Sequence[placement.Room],
) -> None:
    """Stops less urgent runs so that a unit fits, if that is possible."""
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    if unit.key in schedule.reservations:
        return
    victims = _victims(schedule, unit.job.record.terms.priority, now_s)
    chosen = _enough(demand, rooms, victims)
    if chosen is None:
        return
    stopped, placed = chosen
    kept: dict[ids.TargetId, model.Resources] = {}
    for target_id, count in collections.Counter(placed).items():
        kept[target_id] = demand.needs.times(count)
    schedule.reservations[unit.key] = schedule_state.Reservation(
        kept, now_s + KEPT_S
    )
    for victim in stopped:
        for run in victim.runs:
            step.count("preemptions_total")
            run.preempted = True
            orders.stop(state, step, run)
    step.note(
        effects.Part.SCHEDULER,
        f"stopping {sum(len(victim.runs) for victim in stopped)} runs for"
        f" {unit.job.id} of priority {unit.job.record.terms.priority}",
    )


def _victims(
    schedule: schedule_state.Schedule, priority: int, now_s: float
) -> list[Victim]:
    victims = []
    for job in schedule.jobs.values():
        if job.record.terms.priority <= priority:
            continue
        for step_run in job.steps.values():
            groups = (
                [step_run.tasks]
                if step_run.spec.gang
                else [[task] for task in step_run.tasks]
            )
            for tasks in groups:
                found = [
                    run
                    for task in tasks
                    for run in task.runs.values()
                    if run.state is schedule_state.RunState.RUNNING
                ]
                if found:
                    lost = sum(_lost(step_run, run, now_s) for run in found)
                    victims.append(
                        Victim(found, job.record.terms.priority, lost)
                    )
    return sorted(victims, key=lambda victim: (-victim.priority, victim.lost))


def _lost(
    step_run: schedule_state.StepRun,
    run: schedule_state.Run,
    now_s: float,
) -> float:
    """Returns the work that a stop throws away; a checkpoint saves it."""
    weight = run.needs.accelerators + run.needs.cpu_millis / 8_000
    if step_run.spec.checkpoints:
        return weight
    return weight * (1.0 + now_s - run.ordered_s)


def _enough(
    demand: placement.Demand,
    rooms: Sequence[placement.Room],
    victims: Sequence[Victim],
) -> tuple[list[Victim], list[ids.TargetId]] | None:
    """Returns the victims that make room, and where the unit then goes."""
    free = {room.target: dataclasses.replace(room) for room in rooms}
    taken: list[Victim] = []
    for victim in victims:
        useful = [run for run in victim.runs if run.target in free]
        if not useful:
            continue
        for run in useful:
            room = free[run.target]
            room.free = room.free.plus(run.needs)
        taken.append(victim)
        placed = placement.choose(demand, list(free.values()))
        if len(placed) == demand.count:
            used = set(placed)
            needed = [
                victim
                for victim in taken
                if any(run.target in used for run in victim.runs)
            ]
            return needed, placed
    return None
