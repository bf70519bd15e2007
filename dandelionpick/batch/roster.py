"""Stores the roster: the targets that may run something.

The next scheduler lists each of them before it restarts a task that it did not
find. If a target can't be listed, such tasks wait until its leases must have
ended. To keep that wait short, the roster also records which targets have
fallen silent: their leases are not extended until the record is gone.

A write without a reply may take effect until another write has moved the
revision that both name. Until then, a target is used only if each roster that
the store may come to hold allows it, and the next write has the same condition.
"""

import dataclasses
from typing import Any

import msgspec

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import events
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import isolation
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import model
from dandelionpick.batch import schedule_state
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import target_registry
from dandelionpick.batch import target_release
from dandelionpick.batch import watches

RETRY_S = 0.2
# A target that has not answered for this long counts as silent.
SILENT_AFTER_S = 0.5
# How much the system clocks of two instances may differ.
MAX_CLOCK_SKEW_S = 1.0
# A record of when a silent target's leases end is kept if it is off by less.
RECORD_TOLERANCE_S = 0.1

_decoder = msgspec.json.Decoder(model.Roster)


@dataclasses.dataclass(frozen=True, slots=True)
class RosterContext:
    """Context of a read of the roster, or a write if `written` is set.

    Attributes:
        is_repeated: an earlier write of the same roster is not settled.
    """

    epoch: ids.Epoch
    written: model.Roster | None = None
    is_repeated: bool = False


def read(state: state_lib.State, step: dispatch.Step) -> None:
    """Reads the roster of the last scheduler."""
    schedule = state.schedule
    if schedule is None:
        return
    schedule.roster_pending = True
    context = RosterContext(schedule.epoch)
    state_lib.call_store(
        state, step, store_api.Read(state_lib.ROSTER_KEY), context
    )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Writes the roster when it has changed.

    A target is used only once the stored roster contains it.
    """
    schedule = state.schedule
    if (
        schedule is None
        or schedule.roster_pending
        or step.moment.now_s < schedule.roster_at_s
    ):
        return
    if not schedule.roster_read:
        read(state, step)
        return
    watch = state.watches.get(watches.TargetsWatch)
    if watch is None or not watch.listed:
        return
    desired = _build_roster(schedule, state, step)
    if desired == schedule.roster and not schedule.unsettled_rosters:
        return
    schedule.roster_pending = True
    is_repeated = desired in schedule.unsettled_rosters
    if not is_repeated:
        schedule.unsettled_rosters.append(desired)
    commit = store_api.Commit(
        (
            store_api.Condition(state_lib.SCHEDULER_KEY, schedule.epoch),
            store_api.Condition(state_lib.ROSTER_KEY, schedule.roster_revision),
        ),
        (store_api.Write(state_lib.ROSTER_KEY, msgspec.json.encode(desired)),),
    )
    context = RosterContext(schedule.epoch, desired, is_repeated)
    state_lib.call_store(state, step, commit, context)


def follow_up(state: state_lib.State, step: dispatch.Step) -> None:
    """Writes the roster at once if it lacks a target.

    Building the roster takes time in proportion to the targets, so that other
    changes wait for the next tick.
    """
    schedule = state.schedule
    if schedule is not None and (
        schedule.stage is not stages.Stage.READY
        or len(schedule.targets) > len(schedule.roster.addresses)
    ):
        tick(state, step)


def may_use(
    schedule: schedule_state.Schedule, target: schedule_state.Target
) -> bool:
    """Returns whether a successor would list a target, and wait for it.

    The stored roster has the target, and not as silent, whichever of the
    unsettled writes take effect.
    """
    return all(
        target.id in possible.addresses
        and target.id not in possible.silent_until_ms
        for possible in (schedule.roster, *schedule.unsettled_rosters)
    )


def _build_roster(
    schedule: schedule_state.Schedule,
    state: state_lib.State,
    step: dispatch.Step,
) -> model.Roster:
    desired = model.Roster(state.identity.instance)
    for target in schedule.targets.values():
        may_release = False
        with isolation.guard_target(step, target.id, "recording"):
            may_release = (
                target.entry is None or target.replaced
            ) and target_release.may_release(
                state, schedule, target, step.moment.now_s
            )
        if may_release:
            continue
        desired.addresses[target.id] = target.address
        _mark_silent(state, schedule, target, step.moment)
        if target.silent_until_ms:
            desired.silent_until_ms[target.id] = target.silent_until_ms
    return desired


def _mark_silent(
    state: state_lib.State,
    schedule: schedule_state.Schedule,
    target: schedule_state.Target,
    moment: events.Moment,
) -> None:
    """Sets when everything on a silent target must have ended."""
    now_s = moment.now_s
    if target.listed and not target.failed:
        target.silent_until_ms = 0
        return
    if not target.listed:
        # A target that has restarted may have got work before it is listed.
        ends_s = max(
            target.lease_ends_s,
            leadership_bounds.unlisted_until_s(state, schedule, target),
        )
    elif now_s - target.failing_since_s > SILENT_AFTER_S:
        ends_s = target.lease_ends_s
    else:
        return
    # The wait for an unlisted target changes with its entry. A successor is to
    # wait for what is left of it, not for the whole of it once more. A step of
    # the system clock is no change.
    has_changed = (
        not target.listed
        and ends_s > now_s
        and abs(ends_s - target.silent_until_s) > RECORD_TOLERANCE_S
    )
    if not target.silent_until_ms or has_changed:
        left_s = max(0.0, ends_s - now_s)
        target.silent_until_ms = int(moment.unix_ms + left_s * 1_000)
        target.silent_until_s = ends_s


@dispatch.on_reply.register
def _(
    context: RosterContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    schedule = state.schedule
    if schedule is None or schedule.epoch != context.epoch:
        return
    schedule.roster_pending = False
    if isinstance(reply, store_api.Item):
        _apply_item(schedule, state, step, reply)
    elif isinstance(reply, store_api.Committed) and context.written:
        schedule.roster = context.written
        schedule.roster_revision = reply.revision
        schedule.unsettled_rosters.clear()
        schedule.dirty = True
    else:
        # A conflict may be due to an earlier write whose reply was lost, so the
        # roster is read again.
        schedule.roster_read &= not isinstance(reply, store_api.Conflict)
        if isinstance(reply, store_api.Refused):
            _forget_write(schedule, context)
        schedule.roster_at_s = step.moment.now_s + RETRY_S


@dispatch.on_failure.register
def _(
    context: RosterContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    schedule = state.schedule
    if schedule is not None and schedule.epoch == context.epoch:
        schedule.roster_pending = False
        schedule.roster_at_s = step.moment.now_s + RETRY_S
        if failure is kinds.CallFailure.NOT_SENT:
            _forget_write(schedule, context)


def _forget_write(
    schedule: schedule_state.Schedule, context: RosterContext
) -> None:
    """Settles a write that the store has not carried out and never will."""
    if context.is_repeated:
        return
    if context.written in schedule.unsettled_rosters:
        schedule.unsettled_rosters.remove(context.written)


def _apply_item(
    schedule: schedule_state.Schedule,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    schedule.roster_read = True
    if item.revision != schedule.roster_revision:
        schedule.unsettled_rosters.clear()
    schedule.roster_revision = item.revision
    if not item.revision:
        return
    try:
        schedule.roster = _decoder.decode(item.value)
    except msgspec.DecodeError as error:
        step.note(
            effects.Component.SCHEDULER,
            f"the stored roster can't be decoded: {error}",
            warning=True,
        )
        return
    for target_id, address in schedule.roster.addresses.items():
        target_registry.add_unregistered(schedule, target_id, address)
    if schedule.stage is stages.Stage.READING:
        _set_unlisted_deadlines(schedule, state, step)


def _set_unlisted_deadlines(
    schedule: schedule_state.Schedule,
    state: state_lib.State,
    step: dispatch.Step,
) -> None:
    """Sets until when each target may run an earlier scheduler's tasks."""
    lease_s = state.limits.run_lease_s * leadership_bounds.CLOCK_DRIFT_FACTOR
    # Whoever wrote the roster, another scheduler may have come after it and
    # have used the targets without writing one of its own.
    latest_s = (
        schedule.began_s
        + leadership_bounds.LEADERSHIP_WITHOUT_STORE_S
        + lease_s
    )
    for target_id in schedule.roster.addresses:
        target = schedule.targets[target_id]
        target.unlisted_until_s = latest_s
        silent_ms = schedule.roster.silent_until_ms.get(target_id, 0)
        if silent_ms:
            target.silent_until_ms = silent_ms
            target.silent_revision = schedule.roster_revision
            left_s = (silent_ms - step.moment.unix_ms) / 1_000
            target.unlisted_until_s = min(
                latest_s, step.moment.now_s + left_s + MAX_CLOCK_SKEW_S
            )
            target.silent_until_s = target.unlisted_until_s
