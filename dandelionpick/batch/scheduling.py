"""Runs scheduling passes: starts the tasks that are ready, by priority."""

import collections
import dataclasses
from collections.abc import Iterator
from collections.abc import Sequence

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import crash_budget
from dandelionpick.batch import fair_shares
from dandelionpick.batch import free_capacity
from dandelionpick.batch import gang_reservations
from dandelionpick.batch import guarantees
from dandelionpick.batch import headroom
from dandelionpick.batch import isolation
from dandelionpick.batch import job_progress
from dandelionpick.batch import job_state
from dandelionpick.batch import locality
from dandelionpick.batch import model
from dandelionpick.batch import orders
from dandelionpick.batch import pass_capacity
from dandelionpick.batch import placement
from dandelionpick.batch import planned_starts
from dandelionpick.batch import preemption
from dandelionpick.batch import run_time_records
from dandelionpick.batch import run_times
from dandelionpick.batch import runs
from dandelionpick.batch import schedule_state
from dandelionpick.batch import start_conditions
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import takeover_holds
from dandelionpick.batch import target_preference

# Changes that arrive together, such as the ends of a gang's tasks, are
# handled by one pass.
PASS_PERIOD_S = 0.02
# Added to the interval for each unit that the last pass left waiting. A pass
# takes about 0.1 ms for each on the weakest scheduler, so that passes use at
# most about a third of its processor however many units wait.
PASS_PERIOD_PER_UNIT_S = 0.000_3
# Longest interval between passes while something changes; urgent work has to
# start within seconds.
MAX_PASS_PERIOD_S = 0.2
# Steps that a pass tries to place for one job, and for the urgent and for the
# other jobs of one organisation. The next pass goes on with the others, so that
# the time of a pass is bounded however many wait.
MAX_UNITS_PER_JOB = 200
MAX_UNITS_PER_ORGANISATION = 1_000
# Members of a gang whose others are gone are stopped after this time, if their
# targets have not ended them by then.
INCOMPLETE_GANG_S = 5.0
# Interval between passes while nothing changes; a pass also checks times, such
# as due occurrences.
IDLE_PASS_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementUnit:
    """Tasks of a step that are placed together.

    Attributes:
        tasks: the tasks that have no run; for a gang, all of its tasks.
        urgency: sort key; lower is placed first.
    """

    job: job_state.Job
    step_run: job_state.StepRun
    tasks: Sequence[job_state.Task]
    urgency: tuple[float, ...]

    @property
    def key(self) -> tuple[ids.JobId, int, int]:
        """Identifies the step: job, occurrence and number."""
        return self.job.id, self.step_run.occurrence, self.step_run.number

    @property
    def needs(self) -> model.Resources:
        """What each task occupies on its target."""
        return runs.occupied_resources(self.step_run.spec)

    @property
    def is_urgent(self) -> bool:
        """Whether the unit may preempt other work."""
        return self.job.record.terms.priority == guarantees.URGENT_PRIORITY

    @property
    def is_suspected(self) -> bool:
        """Whether one of the tasks was lost with a target that may crash."""
        return any(task.records for task in self.tasks)


@dataclasses.dataclass(slots=True)
class SchedulingPass:
    """What one pass has found out so far.

    Attributes:
        capacity: the free capacity.
        victims: the runs that may be preempted.
        unplaceable: demands that did not fit.
        unreclaimable: urgent demands for which no preemption makes room, with
            their rank.
    """

    capacity: pass_capacity.PassCapacity
    victims: preemption.VictimIndex
    unplaceable: set[placement.Demand] = dataclasses.field(default_factory=set)
    unreclaimable: set[tuple[placement.Demand, float]] = dataclasses.field(
        default_factory=set
    )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Runs a scheduling pass if something has changed or the last is old."""
    schedule = state.schedule
    now_s = step.moment.now_s
    if (
        schedule is None
        or start_conditions.obstacle_to_all(state, schedule, now_s) is not None
    ):
        return
    since_s = now_s - schedule.last_pass_s
    if since_s < (pass_period_s(schedule) if schedule.dirty else IDLE_PASS_S):
        return
    schedule.dirty = False
    schedule.last_pass_s = now_s
    _drop_expired_reservations(schedule, now_s)
    crash_budget.drop_ended_observations(schedule, now_s)
    with isolation.Guard(step, "learning", "run times"):
        run_time_records.refresh(schedule, now_s)
    schedule.over_guarantee = guarantees.jobs_over_guarantee(
        schedule, step, state.catalog.current
    )
    schedule.headroom = headroom.required_accelerators(
        schedule, step, state.limits.stop_s
    )
    current = SchedulingPass(
        pass_capacity.PassCapacity(schedule, now_s),
        preemption.VictimIndex(schedule, now_s),
    )
    units = fair_shares.order(schedule, step, _pending_units(state, step))
    gang_reservations.update(schedule, step, units)
    schedule.waiting_units = len(units)
    window = schedule.starts
    window.exhausted = False
    for unit in units:
        if not window.has_room():
            window.exhausted = True
            break
        with schedule.isolation.guard_job(step, unit.job.id, "placing"):
            _try_to_place(state, step, current, unit)


def _try_to_place(
    state: state_lib.State,
    step: dispatch.Step,
    current: SchedulingPass,
    unit: PlacementUnit,
) -> None:
    """Places a unit, unless it is known that it doesn't fit."""
    schedule = state.schedule
    assert schedule is not None
    demand = demand_of(schedule, unit, step.moment.now_s)
    # Free resources only shrink during a pass, so a demand that did not fit
    # earlier in the pass doesn't fit now, unless capacity is kept for it.
    if (
        demand in current.unplaceable
        and unit.key not in schedule.contention.reservations
    ) or place(state, step, current, unit, demand):
        return
    # With a limit per target, the result also depends on where tasks of the
    # step already run, so it doesn't hold for other steps.
    if not demand.max_per_target:
        current.unplaceable.add(demand)


def pass_period_s(schedule: schedule_state.Schedule) -> float:
    """Returns the shortest interval between passes while something changes."""
    period_s = PASS_PERIOD_S + PASS_PERIOD_PER_UNIT_S * schedule.waiting_units
    return min(period_s, MAX_PASS_PERIOD_S)


def _drop_expired_reservations(
    schedule: schedule_state.Schedule, now_s: float
) -> None:
    for key, reservation in list(schedule.reservations.items()):
        job = schedule.jobs.get(key[0])
        if now_s >= reservation.expires_s or job is None or job.ended:
            del schedule.reservations[key]


def _pending_units(
    state: state_lib.State, step: dispatch.Step
) -> list[PlacementUnit]:
    """Returns the steps that this pass tries to place, in no order."""
    schedule = state.schedule
    assert schedule is not None
    units: list[PlacementUnit] = []
    holds = takeover_holds.find(state, schedule, step.moment.now_s)
    taken: collections.Counter[tuple[ids.OrganisationId, bool]] = (
        collections.Counter()
    )
    jobs = list(schedule.jobs.values())
    # Goes on where the last pass left out jobs of an organisation, and around.
    first, schedule.units_from = schedule.units_from, 0
    for number in range(first, first + len(jobs)):
        job = jobs[number % len(jobs)]
        if job.ended or schedule.isolation.holds(job.id, step.moment.now_s):
            continue
        terms = job.record.terms
        sender = (
            job.record.organisation,
            terms.priority == guarantees.URGENT_PRIORITY,
        )
        if taken[sender] >= MAX_UNITS_PER_ORGANISATION:
            schedule.units_from = schedule.units_from or number % len(jobs)
            continue
        with schedule.isolation.guard_job(step, job.id, "opening steps"):
            found = list(_units_of(state, step, holds, job))
            taken[sender] += len(found)
            units += found
    return units


def _units_of(
    state: state_lib.State,
    step: dispatch.Step,
    holds: takeover_holds.Holds,
    job: job_state.Job,
) -> Iterator[PlacementUnit]:
    """Opens the steps of a job, and yields those with tasks to place."""
    schedule = state.schedule
    assert schedule is not None
    moment = step.moment
    job_progress.open_steps(
        job, moment.now_s, moment.unix_ms, state.limits.early_s
    )
    active = list(job.active.values())
    first, job.units_from = job.units_from, 0
    units = 0
    for number in range(first, first + len(active)):
        if units == MAX_UNITS_PER_JOB:
            job.units_from = number % len(active)
            break
        step_run = active[number % len(active)]
        if not holds.covers(job):
            _stop_incomplete_gang(state, step, step_run)
        tasks = start_conditions.free_tasks(holds, job, step_run)
        if crash_budget.end_if_exhausted(state, step, job, tasks):
            break
        if tasks and not start_conditions.obstacle_to_placing(state, tasks):
            rank = guarantees.rank(schedule, job)
            key = urgency(schedule, job, step_run, rank)
            units += 1
            yield PlacementUnit(job, step_run, tasks, key)


def _stop_incomplete_gang(
    state: state_lib.State,
    step: dispatch.Step,
    step_run: job_state.StepRun,
) -> None:
    """Stops the members of a gang that has lost others before a takeover.

    Members that this scheduler loses are handled when they are lost.
    """
    if not step_run.spec.gang or not step_run.tasks_left:
        return
    members = [run for task in step_run.tasks for run in task.runs.values()]
    if not members or all(task.runs for task in step_run.tasks):
        return
    latest_s = max(run.ordered_s for run in members)
    waiting = all(run.state is job_state.RunState.RUNNING for run in members)
    if waiting and step.moment.now_s - latest_s >= INCOMPLETE_GANG_S:
        step.note(
            effects.Component.SCHEDULER,
            f"stopping {len(members)} members of an incomplete gang",
            job=members[0].task.job_id,
            targets=sorted({run.target for run in members}),
        )
        orders.stop_step(state, step, step_run)


def urgency(
    schedule: schedule_state.Schedule,
    job: job_state.Job,
    step_run: job_state.StepRun,
    rank: float,
) -> tuple[float, ...]:
    """Returns the sort key of a step: its job's rank, then its objective.

    Returns:
        Rank, the Unix time by which the step should be done, and the Unix time
        at which it was submitted or due, in seconds.
    """
    terms = job.record.terms
    started_ms = max(
        job.record.accepted_ms, job_progress.due_ms(job, step_run.occurrence)
    )
    if schedule.features.order_by_run_times:
        expected_s = run_times.expected_s(schedule, job, step_run)
    else:
        expected_s = step_run.spec.estimate_ms / 1_000
    objective_s = terms.objective_factor * expected_s + terms.objective_extra_s
    due_s = started_ms / 1_000
    return (rank, due_s + objective_s, due_s)


def place(
    state: state_lib.State,
    step: dispatch.Step,
    current: SchedulingPass,
    unit: PlacementUnit,
    demand: placement.Demand,
) -> bool:
    """Starts as many tasks of a unit as fit, or preempts other work for it.

    Returns:
        False if no other unit with the same demand can be placed in this pass.
    """
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    capacity = current.capacity
    racks = capacity.racks_for(unit)
    room = schedule.starts.room_for(demand.count, demand.all_or_nothing)
    if room < demand.count:
        schedule.starts.exhausted = True
        demand = dataclasses.replace(demand, count=room)
    chosen = placement.choose_targets(demand, racks)
    if not chosen and demand.backfill:
        racks = capacity.backfill_racks(demand.pool)
        chosen = placement.choose_targets(demand, racks)
    if not chosen:
        if unit.is_urgent:
            _preempt(state, step, current, unit, demand, racks)
            return True
        return False
    capacity.release(unit)
    schedule.reservations.pop(unit.key, None)
    schedule.contention.reservations.pop(unit.key, None)
    attempt = runs.next_attempt(schedule, unit.step_run)
    waited_s = step.moment.unix_ms / 1_000 - unit.urgency[2]
    if not unit.job.placed:
        unit.job.placed = True
        step.emit(
            effects.Observe(
                "queue_wait_seconds",
                max(0.0, waited_s),
                (unit.job.record.queue,),
            )
        )
    step.note(
        effects.Component.SCHEDULER,
        f"starting {len(chosen)} of {len(unit.tasks)} tasks",
        job=unit.job.id,
        step=f"{unit.step_run.occurrence}.{unit.step_run.number}",
        attempt=attempt,
        priority=unit.job.record.terms.priority,
        waited_s=round(waited_s, 2),
        targets=sorted(set(chosen)),
    )
    started = []
    for task, target_id in zip(unit.tasks, chosen, strict=False):
        capacity.take(unit, target_id)
        started.append(
            orders.add_run(
                schedule, task, unit.step_run, target_id, attempt, now_s
            )
        )
    if unit.is_suspected:
        planned_starts.plan(state, step, started)
        for target_id in set(chosen):
            crash_budget.observe(schedule, target_id, now_s)
            capacity.close(target_id)
    else:
        for run in started:
            orders.send_start(state, step, run)
    return True


def _preempt(
    state: state_lib.State,
    step: dispatch.Step,
    current: SchedulingPass,
    unit: PlacementUnit,
    demand: placement.Demand,
    racks: free_capacity.Racks,
) -> None:
    """Makes room for an urgent unit, unless that was tried in vain."""
    schedule = state.schedule
    assert schedule is not None
    rank = guarantees.rank(schedule, unit.job)
    if unit.key in schedule.reservations:
        return
    if (demand, rank) in current.unreclaimable:
        return
    if preemption.preempt_for(
        state, step, unit, demand, racks, current.victims
    ):
        current.capacity.reserve(unit)
    elif not demand.max_per_target:
        current.unreclaimable.add((demand, rank))


def demand_of(
    schedule: schedule_state.Schedule, unit: PlacementUnit, now_s: float
) -> placement.Demand:
    """Returns the resources and constraints of a unit."""
    spec = unit.step_run.spec
    terms = unit.job.record.terms
    return placement.Demand(
        pool=terms.pool,
        label=spec.required_label,
        max_per_target=spec.max_per_target,
        needs=unit.needs,
        count=len(unit.tasks),
        all_or_nothing=spec.gang,
        one_rack=spec.gang and spec.one_rack,
        data_rack=spec.data_rack,
        relax_locality=locality.may_relax_locality(
            schedule, unit.job, unit.step_run, now_s
        ),
        is_sensitive=schedule.features.target_reliability
        and target_preference.is_sensitive(unit),
        fill_racks=schedule.features.gang_reservations and not spec.gang,
        backfill=gang_reservations.may_backfill(schedule, unit, now_s),
    )
