"""Decides when a step may relax its locality constraints.

Such a step runs away from its data, or its gang spans racks. During a peak in
demand all racks may be full for a while. Non-local work takes three times as
long and occupies its resources for as long, so it misses its objective and
delays later work. A step therefore waits for a suitable rack, unless no rack
can ever hold it or the pool would be idle otherwise.
"""

from dandelionpick import ids
from dandelionpick.batch import capacity_views
from dandelionpick.batch import evacuations
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import run_times
from dandelionpick.batch import schedule_state
from dandelionpick.batch import target_api

# How long a step waits for a suitable rack, as a multiple of its estimated run
# time. Non-local work takes longer by twice the run time; estimates are off by
# up to nine tenths.
BUSY_WAIT_FACTOR = 8.0
IDLE_WAIT_FACTOR = 1.0
# A pool is idle if at most this share of each resource has been in use for
# IDLE_S; between the peaks of varying demand, use is that low for a shorter
# time.
IDLE_UTILISATION = 0.5
IDLE_S = 6.0
# How long a view of a pool is cached; what its racks can hold changes only with
# their targets.
VIEW_TTL_S = 1.0


def may_relax_locality(
    schedule: schedule_state.Schedule,
    job: job_state.Job,
    step_run: job_state.StepRun,
    now_s: float,
) -> bool:
    """Returns whether a step may start in another rack, or in several."""
    spec = step_run.spec
    if not spec.data_rack and not spec.one_rack:
        return True
    view = view_of(schedule, job.record.terms.pool, now_s)
    if spec.data_rack:
        fits = view.max_tasks_in(spec, ids.Rack(spec.data_rack)) > 0
    else:
        fits = any(
            view.max_tasks_in(spec, rack) >= spec.tasks
            for rack in view.entries_by_rack
        )
    if not fits:
        return True
    is_idle = now_s - view.idle_since_s >= IDLE_S
    wait_factor = IDLE_WAIT_FACTOR if is_idle else BUSY_WAIT_FACTOR
    waited_s = now_s - step_run.open_s
    return waited_s > wait_factor * run_times.expected_s(
        schedule, job, step_run
    )


def view_of(
    schedule: schedule_state.Schedule, pool: ids.PoolName, now_s: float
) -> capacity_views.PoolView:
    """Returns what a pool can hold and since when it is idle; cached."""
    view = schedule.pool_views.get(pool)
    if view is None or now_s >= view.expires_s:
        earlier, view = view, _build_view(schedule, pool, now_s)
        if earlier is not None and view.idle_since_s <= now_s:
            view.idle_since_s = min(earlier.idle_since_s, now_s)
        schedule.pool_views[pool] = view
    return view


def _build_view(
    schedule: schedule_state.Schedule, pool: ids.PoolName, now_s: float
) -> capacity_views.PoolView:
    entries_by_rack: dict[ids.Rack, list[target_api.TargetEntry]] = {}
    total = used = model.Resources()
    for target in schedule.targets.values():
        entry = target.entry
        if (
            entry is None
            or entry.pool != pool
            or entry.state is not target_api.TargetState.READY
            or target.failed
            or evacuations.is_closed(schedule, target)
        ):
            continue
        entries_by_rack.setdefault(entry.rack, []).append(entry)
        total = total.plus(entry.capacity)
        used = used.plus(target.used)
    is_idle = all(
        have <= IDLE_UTILISATION * most
        for have, most in zip(
            (used.accelerators, used.cpu_millis, used.memory_mb),
            (total.accelerators, total.cpu_millis, total.memory_mb),
            strict=True,
        )
    )
    return capacity_views.PoolView(
        now_s + VIEW_TTL_S, entries_by_rack, now_s if is_idle else float("inf")
    )
