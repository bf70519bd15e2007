"""Runs scheduling passes: starts the tasks that are ready, by priority."""

import dataclasses
from collections.abc import Iterator

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import guarantees
from dandelionpick.batch import headroom
from dandelionpick.batch import job_progress
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import locality
from dandelionpick.batch import model
from dandelionpick.batch import orders
from dandelionpick.batch import placement
from dandelionpick.batch import preemption
from dandelionpick.batch import roster
from dandelionpick.batch import runs
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import takeover
from dandelionpick.batch import target_api
from dandelionpick.batch import target_health

# Changes that arrive together, such as the ends of a gang's tasks, are
# handled by one pass.
PASS_PERIOD_S = 0.02
# Interval between passes while nothing changes; a pass also checks times, such
# as due occurrences.
IDLE_PASS_S = 0.25
# Penalty that places targets on which a task of the unit failed after all
# others.
AVOIDED_TARGET_PENALTY = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementUnit:
    """Tasks of a step that are placed together.

    Attributes:
        tasks: the tasks that have no run; for a gang, all of its tasks.
        urgency: sort key; lower is placed first.
    """

    job: schedule_state.Job
    step_run: schedule_state.StepRun
    tasks: list[schedule_state.Task]
    urgency: tuple[float, ...]

    @property
    def key(self) -> tuple[ids.JobId, int, int]:
        """Identifies the step: job, occurrence and number."""
        return self.job.id, self.step_run.occurrence, self.step_run.number

    @property
    def is_urgent(self) -> bool:
        """Whether the unit may preempt other work."""
        return self.job.record.terms.priority == guarantees.URGENT_PRIORITY


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Runs a scheduling pass if something has changed or the last is old."""
    schedule = state.schedule
    now_s = step.moment.now_s
    if (
        schedule is None
        or schedule.stage is not schedule_state.Stage.READY
        or not leadership_bounds.may_send_orders(state, now_s)
        or state.drain.requested_s is not None
    ):
        return
    since_s = now_s - schedule.last_pass_s
    if since_s < (PASS_PERIOD_S if schedule.dirty else IDLE_PASS_S):
        return
    schedule.dirty = False
    schedule.last_pass_s = now_s
    _drop_expired_reservations(schedule, now_s)
    schedule.over_guarantee = guarantees.jobs_over_guarantee(
        schedule, state.catalog.current
    )
    schedule.headroom = headroom.required_accelerators(
        schedule.jobs.values(), step.moment.unix_ms, state.limits.stop_s
    )
    unplaceable: set[placement.Demand] = set()
    for unit in sorted(
        _pending_units(state, step), key=lambda unit: unit.urgency
    ):
        demand = demand_of(schedule, unit, now_s)
        # Free resources only shrink during a pass, so a demand that did not fit
        # earlier in the pass doesn't fit now.
        if demand in unplaceable or place(state, step, unit, demand):
            continue
        # With a limit per target, the result also depends on where tasks of the
        # step already run, so it doesn't hold for other steps.
        if not demand.max_per_target:
            unplaceable.add(demand)


def _drop_expired_reservations(
    schedule: schedule_state.Schedule, now_s: float
) -> None:
    for key, reservation in list(schedule.reservations.items()):
        job = schedule.jobs.get(key[0])
        if now_s >= reservation.expires_s or job is None or job.ended:
            del schedule.reservations[key]


def _pending_units(
    state: state_lib.State, step: dispatch.Step
) -> Iterator[PlacementUnit]:
    schedule = state.schedule
    assert schedule is not None
    moment = step.moment
    unlisted = takeover.has_unlisted_targets(state, schedule, moment.now_s)
    for job in schedule.jobs.values():
        if job.ended:
            continue
        job_progress.open_steps(
            job, moment.now_s, moment.unix_ms, state.limits.early_s
        )
        # Jobs accepted under the current epoch were never seen by an earlier
        # scheduler, so they can't have runs on unlisted targets.
        if unlisted and job.accepted_revision <= schedule.epoch:
            continue
        for step_run in job.steps.values():
            tasks = _startable_tasks(step_run)
            if tasks:
                rank = guarantees.rank(schedule, job)
                yield PlacementUnit(
                    job, step_run, tasks, urgency(job, step_run, rank)
                )


def _startable_tasks(
    step_run: schedule_state.StepRun,
) -> list[schedule_state.Task]:
    if not step_run.open or not step_run.tasks_left:
        return []
    tasks = [task for task in step_run.tasks if not task.done and not task.runs]
    if step_run.spec.gang and len(tasks) < len(step_run.tasks):
        return []
    return tasks


def urgency(
    job: schedule_state.Job, step_run: schedule_state.StepRun, rank: float
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
    objective_s = (
        terms.objective_factor * step_run.spec.estimate_ms / 1_000
        + terms.objective_extra_s
    )
    due_s = started_ms / 1_000
    return (rank, due_s + objective_s, due_s)


def place(
    state: state_lib.State,
    step: dispatch.Step,
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
    candidates = candidates_for(schedule, unit, now_s)
    chosen = placement.choose_targets(demand, candidates)
    if not chosen:
        if unit.is_urgent:
            preemption.preempt_for(state, step, unit, demand, candidates)
            return True
        return False
    schedule.reservations.pop(unit.key, None)
    attempt = runs.next_attempt(schedule, unit.step_run)
    waited_s = step.moment.unix_ms / 1_000 - unit.urgency[2]
    if unit.job.first_start_s is None:
        unit.job.first_start_s = now_s
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
    for task, target_id in zip(unit.tasks, chosen, strict=False):
        orders.start(state, step, task, unit.step_run, target_id, attempt)
        target = schedule.targets[target_id]
        target.poll_at_s = min(target.poll_at_s, now_s)
    return True


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
        needs=runs.occupied_resources(spec),
        count=len(unit.tasks),
        all_or_nothing=spec.gang,
        one_rack=spec.gang and spec.one_rack,
        data_rack=spec.data_rack,
        relax_locality=locality.may_relax_locality(
            schedule, terms, unit.step_run, now_s
        ),
    )


def candidates_for(
    schedule: schedule_state.Schedule, unit: PlacementUnit, now_s: float
) -> list[placement.Candidate]:
    """Returns the targets that can take tasks of a unit."""
    spec = unit.step_run.spec
    avoided_targets = set.union(*(task.avoided_targets for task in unit.tasks))
    reserved = _reserved_for_others(schedule, unit)
    candidates = []
    for target in schedule.targets.values():
        if not roster.may_use(schedule, target):
            continue
        if not is_usable(target, unit, now_s):
            continue
        entry = target.entry
        assert entry is not None
        free = target.free()
        if target.id in reserved:
            free = free.minus(reserved[target.id])
        candidates.append(
            placement.Candidate(
                target.id,
                entry.rack,
                free,
                _max_tasks(unit, target, spec),
                target_health.penalty(target)
                + AVOIDED_TARGET_PENALTY * (target.id in avoided_targets),
            )
        )
    if unit.is_urgent:
        return candidates
    pool = unit.job.record.terms.pool
    return headroom.subtract_headroom(
        candidates, schedule.headroom.get(pool, 0)
    )


def is_usable(
    target: schedule_state.Target, unit: PlacementUnit, now_s: float
) -> bool:
    """Returns whether tasks of a unit can be started on a target."""
    entry = target.entry
    label = unit.step_run.spec.required_label
    return (
        entry is not None
        and entry.pool == unit.job.record.terms.pool
        and entry.state is target_api.TargetState.READY
        and (not label or label in entry.labels)
        and target.listed
        and not target.failed
        and now_s >= max(target.backoff_until_s, target.quarantined_until_s)
        and all(run.job_known for run in target.runs.values())
    )


def _max_tasks(
    unit: PlacementUnit, target: schedule_state.Target, spec: model.StepSpec
) -> int:
    if not spec.max_per_target:
        return spec.tasks
    running = sum(
        run.target == target.id
        for task in unit.step_run.tasks
        for run in task.runs.values()
    )
    return spec.max_per_target - running


def _reserved_for_others(
    schedule: schedule_state.Schedule, unit: PlacementUnit
) -> dict[ids.TargetId, model.Resources]:
    """Returns the resources that are reserved for other units, by target."""
    total: dict[ids.TargetId, model.Resources] = {}
    for key, reservation in schedule.reservations.items():
        if key == unit.key:
            continue
        for target_id, amount in reservation.resources.items():
            earlier = total.get(target_id, model.Resources())
            total[target_id] = earlier.plus(amount)
    return total
