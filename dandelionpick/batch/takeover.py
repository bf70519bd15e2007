"""Takes over as the scheduler: reads the jobs, then reads every target.

Nothing is started before every target that can be reached was read under the
new epoch. From then on no earlier scheduler can start anything there, and what
it has started is known. A task that was accepted earlier and was not found may
run on a target that could not be read; it waits until its lease must be over.
"""

import dataclasses
from typing import Any

import msgspec

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import job_intake
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import polling
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import target_registry
from dandelionpick.batch import watches
from dandelionpick.batch import watching

TARGETS_WATCH_S = 2.0
INTAKE_WATCH_S = 1.0
# Targets that have not been read by then are treated as unreachable; they
# answer within 30 ms when they can be reached.
FENCING_S = 0.4

_roster_decoder = msgspec.json.Decoder(dict[str, str])


@dataclasses.dataclass(frozen=True, slots=True)
class RosterContext:
    """The roster is read or written."""

    epoch: ids.Epoch
    writes: tuple[tuple[ids.TargetId, str], ...] = ()


def begin(
    state: state_lib.State, step: dispatch.Step, epoch: ids.Epoch
) -> None:
    """Starts to read what the store holds."""
    now_s = step.moment.now_s
    state.schedule = schedule_state.Schedule(epoch, now_s)
    # Progress comes first: a job without it starts from its beginning.
    watching.start(state, step, watches.ProgressWatch(state_lib.PROGRESS, 0.0))
    watching.start(
        state,
        step,
        watches.TargetsWatch(state.formats.targets_prefix, TARGETS_WATCH_S),
    )
    _read_roster(state, step)


def abandon(state: state_lib.State) -> None:
    """Forgets everything that only the scheduler knows."""
    state.schedule = None
    for kind in (
        watches.ProgressWatch,
        watches.TargetsWatch,
        watches.IntakeWatch,
    ):
        watching.stop(state, kind)


@watching.apply_listed.register
def _(
    watch: watches.ProgressWatch, state: state_lib.State, step: dispatch.Step
) -> None:
    watching.start(
        state, step, watches.IntakeWatch(state_lib.INTAKE, INTAKE_WATCH_S)
    )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Moves the takeover on."""
    schedule = state.schedule
    if schedule is None:
        return
    if not schedule.roster_read and not schedule.roster_pending:
        _read_roster(state, step)
    if schedule.stage is schedule_state.Stage.READING:
        _finish_reading(schedule, state, step)
    elif schedule.stage is schedule_state.Stage.FENCING:
        _finish_fencing(schedule, state, step)
    _save_roster(schedule, state, step)


def _finish_reading(
    schedule: schedule_state.Schedule,
    state: state_lib.State,
    step: dispatch.Step,
) -> None:
    needed = (
        watches.ProgressWatch,
        watches.TargetsWatch,
        watches.IntakeWatch,
    )
    listed = all(
        kind in state.watches and state.watches[kind].listed for kind in needed
    )
    if not (listed and schedule.roster_read):
        return
    schedule.stage = schedule_state.Stage.FENCING
    schedule.fencing_s = step.moment.now_s
    job_intake.build_all(state, step)
    polling.tick(state, step)


def _finish_fencing(
    schedule: schedule_state.Schedule,
    state: state_lib.State,
    step: dispatch.Step,
) -> None:
    now_s = step.moment.now_s
    unread = [
        target.id for target in schedule.targets.values() if not target.read
    ]
    if unread and now_s - schedule.fencing_s < FENCING_S:
        return
    schedule.stage = schedule_state.Stage.READY
    schedule.dirty = True
    if unread:
        schedule.unread_until_s = (
            schedule.began_s
            + leadership_bounds.AUTHORITY_WITHOUT_STORE_S
            + state.limits.run_lease_s * leadership_bounds.SLOW_CLOCK
        )
    step.note(
        effects.Part.SCHEDULER,
        f"took over in {now_s - schedule.began_s:.2f} s with"
        f" {len(schedule.jobs)} jobs and {len(schedule.targets)} targets,"
        f" of which {len(unread)} could not be read",
    )


def unread_targets(schedule: schedule_state.Schedule, now_s: float) -> bool:
    """Returns whether an earlier task may run on a target that was not read."""
    if now_s >= schedule.unread_until_s:
        return False
    return any(not target.read for target in schedule.targets.values())


def _read_roster(state: state_lib.State, step: dispatch.Step) -> None:
    schedule = state.schedule
    if schedule is None:
        return
    schedule.roster_pending = True
    state_lib.call_store(
        state,
        step,
        store_api.Read(state_lib.ROSTER),
        RosterContext(schedule.epoch),
    )


def _save_roster(
    schedule: schedule_state.Schedule,
    state: state_lib.State,
    step: dispatch.Step,
) -> None:
    """Writes the targets that may be used, before the first use of each."""
    if schedule.roster_pending or not schedule.roster_read:
        return
    if state.watches[watches.TargetsWatch].listed is False:
        return
    wanted = {
        target.id: target.address
        for target in schedule.targets.values()
        if target.entry is not None or target.runs or not target.read
    }
    if wanted == schedule.roster:
        return
    schedule.roster_pending = True
    value = msgspec.json.encode(wanted)
    commit = store_api.Commit(
        (
            store_api.Condition(state_lib.SCHEDULER, schedule.epoch),
            store_api.Condition(state_lib.ROSTER, schedule.roster_revision),
        ),
        (store_api.Write(state_lib.ROSTER, value),),
    )
    state_lib.call_store(
        state,
        step,
        commit,
        RosterContext(schedule.epoch, tuple(wanted.items())),
    )


@dispatch.returned.register
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
        _take_roster(schedule, state, step, reply)
    elif isinstance(reply, store_api.Committed):
        schedule.roster = dict(context.writes)
        schedule.roster_revision = reply.revision
        schedule.dirty = True
    elif isinstance(reply, store_api.Conflict):
        # The write of a lost reply took effect, or another scheduler wrote.
        schedule.roster_read = False


@dispatch.failed.register
def _(
    context: RosterContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    schedule = state.schedule
    if schedule is not None and schedule.epoch == context.epoch:
        schedule.roster_pending = False
        schedule.roster_read = False


def _take_roster(
    schedule: schedule_state.Schedule,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    schedule.roster_read = True
    schedule.roster_revision = item.revision
    if not item.revision:
        return
    try:
        used = _roster_decoder.decode(item.value)
    except msgspec.DecodeError as error:
        step.note(
            effects.Part.SCHEDULER, f"unreadable roster: {error}", warning=True
        )
        return
    schedule.roster = {ids.TargetId(key): used[key] for key in used}
    for target_id, address in schedule.roster.items():
        target_registry.remember(schedule, target_id, address)
