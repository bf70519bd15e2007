"""Keeps capacity for gangs that have waited for long.

The load pattern is batch tasks with one accelerator each that take every
accelerator that becomes free, one at a time, so that wide gangs of a higher
rank wait for up to 30 s: they never find all their accelerators free at once.
A gang that has waited for a part of its slack gets a reservation of the targets
where it can start first by the expected ends of what runs there. Other work
starts there only if it is expected to end before the gang starts. Urgent work
is not restricted.
"""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import events
from dandelionpick import ids
from dandelionpick.batch import contention
from dandelionpick.batch import headroom
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import pass_capacity
from dandelionpick.batch import preemption_gain
from dandelionpick.batch import roster
from dandelionpick.batch import run_times
from dandelionpick.batch import schedule_state

# A gang gets a reservation when it has waited for this part of its slack.
# Estimates, and so the slack, are off by up to nine tenths.
WAIT_PART = 0.1
MIN_WAIT_S = 0.5
# At most this share of a pool is reserved at a time, or one rack if the pool is
# so small that a rack is more.
MAX_RESERVED_SHARE = 1 / 8
# How long a reservation lasts; then the gang is planned for again. Estimates
# are wrong: a reservation that ends when the gang should have started often
# loses what has become free to other work.
RESERVED_S = 10.0
# A gang that is expected to start later than this gets no reservation yet.
# Without this bound, batch work lost more than gangs gained in a pool that was
# over-full all the time.
MAX_AHEAD_S = 3.0
# At most one gang is planned for in this time, because a plan looks at all runs
# of a pool. One that can't get a reservation is looked at again after RETRY_S.
PLAN_PERIOD_S = 0.5
RETRY_S = 1.0
# Runs are expected to last for this many times their estimate when it is
# decided whether they end before a gang starts.
BACKFILL_MARGIN = 1.25


def remaining_s(
    schedule: schedule_state.Schedule, run: job_state.Run, now_s: float
) -> float:
    """Returns how long a run is expected to last."""
    if run.state is job_state.RunState.STOPPING:
        return 0.0
    rest_s = run_times.remaining_s(schedule, run, now_s)
    job = schedule.jobs.get(run.task.job_id)
    if rest_s < float("inf") or job is None:
        return rest_s
    worked_s = now_s - run.ordered_s
    estimate_s = run_times.expected_s(schedule, job, job.step_of(run.task))
    # A run that outlasts its estimate is expected to take half as long again.
    return max(estimate_s - worked_s, worked_s / 2)


def may_backfill(
    schedule: schedule_state.Schedule, unit: Any, now_s: float
) -> bool:
    """Returns whether a unit ends before any gang of its pool should start."""
    starts_s = schedule.contention.earliest_start_s.get(
        unit.job.record.terms.pool, float("-inf")
    )
    return (
        starts_s > now_s
        and not unit.is_urgent
        and not unit.is_suspected
        and now_s
        + BACKFILL_MARGIN
        * run_times.expected_s(schedule, unit.job, unit.step_run)
        <= starts_s
    )


def update(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    units: Sequence[Any],
) -> None:
    """Drops reservations that have become void, and makes new ones.

    Args:
        schedule: the scheduler's state.
        step: the current step.
        units: what waits, in the order in which it is placed.
    """
    if not schedule.features.gang_reservations:
        return
    state = schedule.contention
    _drop_void(schedule, step, units)
    _plan(schedule, step, units)
    state.earliest_start_s.clear()
    for reservation in state.reservations.values():
        state.earliest_start_s[reservation.pool] = min(
            reservation.starts_s,
            state.earliest_start_s.get(reservation.pool, float("inf")),
        )


def _plan(
    schedule: schedule_state.Schedule, step: dispatch.Step, units: Sequence[Any]
) -> None:
    """Reserves capacity for the first gang for which that is possible."""
    now_s = step.moment.now_s
    state = schedule.contention
    if now_s < state.plan_at_s:
        return
    state.retry_at_s = {
        key: at_s for key, at_s in state.retry_at_s.items() if now_s < at_s
    }
    bounds: dict[ids.PoolName, float] = {}
    for unit in units:
        if not _is_due(schedule, unit, step.moment):
            continue
        pool = unit.job.record.terms.pool
        if pool not in bounds:
            bounds[pool] = _unreserved_cores(schedule, pool, now_s)
        own = preemption_gain.cores_of(unit.needs.times(len(unit.tasks)))
        fits = own <= bounds[pool]
        if not fits or not _reserve(schedule, step, unit):
            state.retry_at_s[unit.key] = now_s + RETRY_S
        if fits:
            state.plan_at_s = now_s + PLAN_PERIOD_S
            return


def _is_due(
    schedule: schedule_state.Schedule, unit: Any, moment: events.Moment
) -> bool:
    """Returns whether capacity should be reserved for a unit."""
    waited_s = moment.unix_ms / 1_000 - unit.urgency[2]
    if not unit.step_run.spec.gang or waited_s < MIN_WAIT_S or unit.is_urgent:
        return False
    state = schedule.contention
    return (
        unit.key not in state.retry_at_s
        and unit.key not in state.reservations
        and waited_s >= WAIT_PART * headroom.slack_s(schedule, unit.job)
        and not unit.is_suspected
    )


def _drop_void(
    schedule: schedule_state.Schedule, step: dispatch.Step, units: Sequence[Any]
) -> None:
    state = schedule.contention
    reservations = state.reservations
    if not reservations:
        return
    waiting = {unit.key for unit in units}
    for key, reservation in list(reservations.items()):
        if key not in waiting:
            reason = "it does not wait any more"
        elif step.moment.now_s >= reservation.expires_s:
            reason = "its time is over"
        elif not all(
            _may_hold(schedule, target, reservation.pool, step.moment.now_s)
            for target in reservation.resources
        ):
            reason = "a target takes no work"
        else:
            continue
        del reservations[key]
        step.note(
            effects.Component.SCHEDULER,
            f"dropping the reservation of a gang: {reason}",
            job=key[0],
            targets=sorted(reservation.resources),
        )


def _may_hold(
    schedule: schedule_state.Schedule,
    target_id: ids.TargetId,
    pool: ids.PoolName,
    now_s: float,
) -> bool:
    target = schedule.targets.get(target_id)
    return (
        target is not None
        and roster.may_use(schedule, target)
        and pass_capacity.is_usable(target, pool, now_s)
        and target.entry is not None
        and target.entry.failure_domain not in schedule.closed_domains
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Room:
    """Tasks of a gang that fit on a target from a time on."""

    at_s: float
    target: ids.TargetId
    rack: ids.Rack
    tasks: int


def _reserve(
    schedule: schedule_state.Schedule, step: dispatch.Step, unit: Any
) -> bool:
    """Reserves the capacity where a gang can start first, if there is any."""
    now_s = step.moment.now_s
    pool = unit.job.record.terms.pool
    rooms = sorted(
        (
            room
            for target in schedule.targets.values()
            if _may_hold(schedule, target.id, pool, now_s)
            for room in _rooms_of(schedule, target, unit, now_s)
        ),
        key=lambda room: (room.at_s, -room.tasks, room.target),
    )
    starts_s, counts = _earliest(unit, rooms)
    if not counts or starts_s > now_s + MAX_AHEAD_S:
        return False
    schedule.contention.reservations[unit.key] = contention.GangReservation(
        pool,
        {
            target: unit.needs.times(count)
            for target, count in sorted(counts.items())
        },
        starts_s,
        now_s + RESERVED_S,
    )
    step.count("gang_reservations_total")
    step.note(
        effects.Component.SCHEDULER,
        f"reserving {len(counts)} targets for a gang",
        job=unit.job.id,
        starts_in_s=round(starts_s - now_s, 2),
        targets=sorted(counts),
    )
    return True


def _unreserved_cores(
    schedule: schedule_state.Schedule, pool: ids.PoolName, now_s: float
) -> float:
    """Returns how much more of a pool may be reserved, in cores."""
    by_rack: collections.Counter[str] = collections.Counter()
    for target in schedule.targets.values():
        if _may_hold(schedule, target.id, pool, now_s):
            assert target.entry is not None
            cores = preemption_gain.cores_of(target.entry.capacity)
            by_rack[target.entry.rack] += cores
    reserved = sum(
        preemption_gain.cores_of(amount)
        for reservation in schedule.contention.reservations.values()
        if reservation.pool == pool
        for amount in reservation.resources.values()
    )
    most = max(
        MAX_RESERVED_SHARE * sum(by_rack.values()),
        max(by_rack.values(), default=0.0),
    )
    return most - reserved


def _rooms_of(
    schedule: schedule_state.Schedule,
    target: schedule_state.Target,
    unit: Any,
    now_s: float,
) -> Iterable[_Room]:
    """Yields when how many more tasks of a unit fit on a target."""
    entry = target.entry
    assert entry is not None
    spec = unit.step_run.spec
    if spec.required_label and spec.required_label not in entry.labels:
        return
    free = target.free()
    for reserved in (
        *schedule.reservations.values(),
        *schedule.contention.reservations.values(),
    ):
        if target.id in reserved.resources:
            free = free.minus(reserved.resources[target.id])
    ends = sorted(
        (
            (now_s + remaining_s(schedule, run, now_s), run.needs)
            for run in target.runs.values()
        ),
        key=lambda end: end[0],
    )
    most = spec.max_per_target or spec.tasks
    fitting = 0
    for at_s, freed in [(now_s, model.Resources()), *ends]:
        if at_s == float("inf"):
            return
        free = free.plus(freed)
        count = min(most, unit.needs.count_fitting_in(free))
        if count > fitting:
            yield _Room(at_s, target.id, entry.rack, count - fitting)
            fitting = count


def _earliest(
    unit: Any, rooms: Iterable[_Room]
) -> tuple[float, collections.Counter[ids.TargetId]]:
    """Returns when a gang can start first, and its tasks by target.

    Args:
        unit: the gang.
        rooms: where its tasks fit, by rising time.

    Returns:
        No tasks if the gang never fits.
    """
    spec = unit.step_run.spec
    missing = collections.Counter[str]()
    chosen: dict[str, collections.Counter[ids.TargetId]] = {}
    for room in rooms:
        if spec.data_rack and room.rack != spec.data_rack:
            continue
        group = room.rack if spec.one_rack else ""
        if group not in chosen:
            chosen[group] = collections.Counter()
            missing[group] = len(unit.tasks)
        tasks = min(room.tasks, missing[group])
        chosen[group][room.target] += tasks
        missing[group] -= tasks
        if not missing[group]:
            return room.at_s, chosen[group]
    return float("inf"), collections.Counter()
