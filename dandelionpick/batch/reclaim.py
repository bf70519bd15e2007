"""Frees room for urgent work by stopping work of a lower priority.

Answers a guarantee that is claimed while others use the idle room, as in a
burst of urgent gangs on a full pool: of all racks, the one is freed where the
least work is lost, whole gangs at a time, and what they leave is kept for the
urgent step. A step that is preempted again and again would never end, so work
counts as more precious each time it was preempted.
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

# How long room is kept for the step after its runs were told to stop; a stop
# takes at most 0.9 s, and its end is listed soon after.
KEPT_S = 2.0
# Work of the next higher priority is this much more precious.
PRIORITY_WEIGHT = 4.0
# Seconds of work that every stop costs: the start of the next attempt.
RESTART_S = 1.0
# Accelerators in processor cores, for comparing what work occupies.
CORES_PER_ACCELERATOR = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """Runs that are stopped together: a gang, or one task.

    Attributes:
        rooms: what they occupy, by target.
        cost: weighted work that a stop throws away, in core seconds.
    """

    runs: tuple[schedule_state.Run, ...]
    rooms: dict[ids.TargetId, model.Resources]
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """What is stopped, and where the urgent tasks go then."""

    victims: tuple[Victim, ...]
    targets: tuple[ids.TargetId, ...]

    @property
    def cost(self) -> float:
        """Weighted work that is lost."""
        return sum(victim.cost for victim in self.victims)


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
    rank = guarantees.rank(schedule, unit.job)
    chosen = choose(demand, rooms, _victims(schedule, rank, now_s))
    if chosen is None:
        return
    counts = collections.Counter(chosen.targets)
    schedule.reservations[unit.key] = schedule_state.Reservation(
        {target: demand.needs.times(counts[target]) for target in counts},
        now_s + KEPT_S,
    )
    for victim in chosen.victims:
        for run in victim.runs:
            step.count("preemptions_total")
            orders.stop(state, step, run)
            task = schedule.task_of(run.task)
            if task is not None:
                task.preemptions += 1
    step.note(
        effects.Part.SCHEDULER,
        f"stopping {sum(len(victim.runs) for victim in chosen.victims)} runs"
        f" at a cost of {chosen.cost:.0f} core seconds for {unit.job.id} of"
        f" rank {rank}",
    )


def choose(
    demand: placement.Demand,
    rooms: Sequence[placement.Room],
    victims: Sequence[Victim],
) -> Choice | None:
    """Returns the cheapest way to make room, or None if there is none."""
    racks: Iterable[Sequence[placement.Room]] = [rooms]
    if demand.one_rack or demand.data_rack:
        by_rack: dict[ids.Rack, list[placement.Room]] = {}
        for room in rooms:
            by_rack.setdefault(room.rack, []).append(room)
        racks = by_rack.values()
    choices = (_enough(demand, members, victims) for members in racks)
    return min(
        (choice for choice in choices if choice is not None),
        key=lambda choice: choice.cost,
        default=None,
    )


def _enough(
    demand: placement.Demand,
    rooms: Sequence[placement.Room],
    victims: Sequence[Victim],
) -> Choice | None:
    """Takes the cheapest victims until the demand fits, and drops the rest."""
    members = {room.target for room in rooms}
    taken: list[Victim] = []
    placed: list[ids.TargetId] = []
    for victim in sorted(victims, key=lambda victim: victim.cost):
        if members.isdisjoint(victim.rooms):
            continue
        taken.append(victim)
        placed = _place(demand, rooms, taken)
        if placed:
            break
    if not placed:
        return None
    for victim in sorted(taken, key=lambda victim: -victim.cost):
        fewer = [other for other in taken if other is not victim]
        without = _place(demand, rooms, fewer)
        if without:
            taken, placed = fewer, without
    return Choice(tuple(taken), tuple(placed))


def _place(
    demand: placement.Demand,
    rooms: Sequence[placement.Room],
    victims: Sequence[Victim],
) -> list[ids.TargetId]:
    free = {room.target: room.free for room in rooms}
    for victim in victims:
        for target, occupied in victim.rooms.items():
            if target in free:
                free[target] = free[target].plus(occupied)
    freed = [
        dataclasses.replace(room, free=free[room.target]) for room in rooms
    ]
    placed = placement.choose(demand, freed)
    return placed if len(placed) == demand.count else []


def _victims(
    schedule: schedule_state.Schedule, rank: float, now_s: float
) -> list[Victim]:
    victims = []
    for job in schedule.jobs.values():
        above = guarantees.rank(schedule, job) - rank
        if above <= 0 or job.ended:
            continue
        for step_run in job.steps.values():
            for tasks in _groups(step_run):
                victim = _victim(step_run, tasks, above, now_s)
                if victim is not None:
                    victims.append(victim)
    return victims


def _groups(
    step_run: schedule_state.StepRun,
) -> list[list[schedule_state.Task]]:
    if step_run.spec.gang:
        return [step_run.tasks]
    return [[task] for task in step_run.tasks]


def _victim(
    step_run: schedule_state.StepRun,
    tasks: Sequence[schedule_state.Task],
    above: float,
    now_s: float,
) -> Victim | None:
    runs = [run for task in tasks for run in task.runs.values()]
    if not runs or any(
        run.state is not schedule_state.RunState.RUNNING for run in runs
    ):
        return None
    rooms: dict[ids.TargetId, model.Resources] = {}
    for run in runs:
        before = rooms.get(run.target, model.Resources())
        rooms[run.target] = before.plus(run.needs)
    times = 1 + max(task.preemptions for task in tasks)
    lost = sum(_lost(step_run.spec, run, now_s) for run in runs)
    cost = lost * times / PRIORITY_WEIGHT ** (above - 1)
    return Victim(tuple(runs), rooms, cost)


def _lost(spec: model.StepSpec, run: schedule_state.Run, now_s: float) -> float:
    """Returns the core seconds that a stop throws away."""
    cores = (
        run.needs.cpu_millis / 1_000
        + run.needs.accelerators * CORES_PER_ACCELERATOR
    )
    worked_s = 0.0 if spec.checkpoints else now_s - run.ordered_s
    return cores * (worked_s + RESTART_S)
