"""Tracks the targets that register themselves in the store."""

from returns import pipeline

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import departures
from dandelionpick.batch import incarnations
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import target_api
from dandelionpick.batch import target_release
from dandelionpick.batch import watches
from dandelionpick.batch import watching


def add_unregistered(
    schedule: schedule_state.Schedule, target_id: ids.TargetId, address: str
) -> None:
    """Adds a target that may run something although it has no entry."""
    if target_id not in schedule.targets:
        schedule.targets[target_id] = schedule_state.Target(
            target_id, address, None
        )


@watching.apply_item.register
def _(
    watch: watches.TargetsWatch,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    schedule = state.schedule
    if schedule is None:
        return
    decoded = state.formats.decode_target(item.key, item.value)
    if not pipeline.is_successful(decoded):
        step.note(
            effects.Component.TARGETS,
            f"entry {item.key} is not a valid target: {decoded.failure()}",
            warning=True,
        )
        # The target itself has not removed its entry.
        _remove_entry(schedule, step, item.key, may_have_left=False)
        return
    entry: target_api.TargetEntry = decoded.unwrap()
    target = schedule.targets.get(entry.id)
    if target is not None and not _names_pool(state, entry):
        step.note(
            effects.Component.TARGETS,
            f"entry {item.key} names no pool of the configuration",
            warning=True,
            pool=entry.pool,
        )
        # It is applied when it is listed under a configuration that names it.
        watch.revisions.pop(item.key, None)
        schedule.has_unnamed_pools = True
        _remove_entry(schedule, step, item.key, may_have_left=False)
        return
    if target is None:
        target = schedule_state.Target(entry.id, entry.address, entry)
        schedule.targets[entry.id] = target
    is_announced = incarnations.is_later(target, entry.started_ms)
    if is_announced or entry.address != target.address:
        _list_again(target, step.moment.now_s)
        target.address = entry.address
    before = target.entry
    was_draining = target.is_draining()
    target.exit_evidence.record_report(watch.confirmed_s)
    target.exit_evidence.departed = is_announced and was_draining
    target.entry = entry
    # A listed entry may have been written a heartbeat ago.
    max_age_s = 0.0 if watch.listed else state.limits.heartbeat_s
    departures.record(schedule, target, step.moment.now_s, max_age_s)
    target.cold_until_s = step.moment.now_s + entry.cold_remaining_s
    schedule.dirty = True
    if before is None or before.state is not entry.state:
        step.note(
            effects.Component.TARGETS,
            f"{entry.id} at {entry.address} is {entry.state.value}",
        )


def _names_pool(state: state_lib.State, entry: target_api.TargetEntry) -> bool:
    catalog = state.catalog.current
    return catalog is None or entry.pool in catalog.named_pools


def apply_catalog(state: state_lib.State, step: dispatch.Step) -> None:
    """Lists the entries again if one named no pool so far."""
    schedule = state.schedule
    watch = state.watches.get(watches.TargetsWatch)
    if schedule is None or watch is None or not schedule.has_unnamed_pools:
        return
    schedule.has_unnamed_pools = False
    watching.refresh(state, step, watch)


def _list_again(target: schedule_state.Target, now_s: float) -> None:
    """Lists a target that may have restarted.

    The listing decides: the incarnation that the entry tells of may have got
    work before, and the entry may be older than another one.
    """
    target.announced_s = min(target.announced_s, now_s)
    target.listed = False
    target.poll_serial += 1
    target.poll_pending = False
    target.poll_at_s = now_s


@watching.apply_removal.register
def _(
    watch: watches.TargetsWatch,
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
) -> None:
    if state.schedule is not None:
        _remove_entry(state.schedule, step, key, may_have_left=True)


def _remove_entry(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    key: str,
    may_have_left: bool,
) -> None:
    now_s = step.moment.now_s
    target = schedule.targets.get(ids.TargetId(key.rpartition("/")[2]))
    if target is not None and target.entry is not None:
        step.note(
            effects.Component.TARGETS,
            f"{target.id} is no longer registered",
            reported_s=round(now_s - target.exit_evidence.reported_s, 2),
        )
        target.exit_evidence.record_removal(
            now_s,
            may_have_left
            and target.entry.state is target_api.TargetState.DRAINING,
            now_s - target.failing_since_s if target.failed else 0.0,
        )
        target.entry = None


def drop_unregistered_targets(
    state: state_lib.State, schedule: schedule_state.Schedule, now_s: float
) -> None:
    """Removes targets without an entry on which nothing can still run."""
    for target in list(schedule.targets.values()):
        if target.entry is not None:
            continue
        ended = target.replaced or now_s > target.lease_ends_s
        if ended and target_release.may_release(state, schedule, target, now_s):
            del schedule.targets[target.id]
            schedule.evidence.forget_target(target.id)
