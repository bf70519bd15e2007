"""Takes over as the scheduler: reads the jobs, then lists every target.

Nothing is started before every reachable target was listed under the new epoch.
From then on, no earlier scheduler can start anything there, and what it started
is known. A task of a job that was accepted earlier and that was not found may
be running on a target that could not be listed; see takeover_holds.
"""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import evacuations
from dandelionpick.batch import job_intake
from dandelionpick.batch import job_memory
from dandelionpick.batch import polling
from dandelionpick.batch import roster
from dandelionpick.batch import run_time_store
from dandelionpick.batch import schedule_state
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import watches
from dandelionpick.batch import watching

# The calls of the watch bound when a target wrote its entry at the earliest.
# Two of them and a heartbeat are less than the three heartbeats after which an
# entry expires.
TARGETS_WATCH_S = 1.0
# Each reply also confirms that the scheduler's key is unchanged.
INTAKE_WATCH_S = 0.5
# Targets that have not been listed by then are treated as unreachable;
# reachable ones answer within 30 ms.
FENCING_TIMEOUT_S = 0.4


def begin(
    state: state_lib.State, step: dispatch.Step, epoch: ids.Epoch
) -> None:
    """Starts to read the state in the store."""
    now_s = step.moment.now_s
    state.schedule = schedule_state.Schedule(
        epoch,
        now_s,
        state.features,
        memory=job_memory.Ledger(
            job_memory.budget_bytes(state.limits.memory_mb)
        ),
    )
    # Progress is read first: a job without progress would start from the
    # beginning.
    watching.start(
        state, step, watches.ProgressWatch(state_lib.PROGRESS_PREFIX, 0.0)
    )
    watching.start(
        state,
        step,
        watches.TargetsWatch(state.formats.targets_prefix, TARGETS_WATCH_S),
    )
    evacuations.start(state, step)
    roster.read(state, step)
    run_time_store.read(state, step)


def abandon(state: state_lib.State) -> None:
    """Discards the state that only the scheduler has."""
    state.schedule = None
    for kind in (
        watches.ProgressWatch,
        watches.TargetsWatch,
        watches.EvacuationsWatch,
        watches.IntakeWatch,
    ):
        watching.stop(state, kind)


@watching.apply_listed.register
def _(
    watch: watches.ProgressWatch, state: state_lib.State, step: dispatch.Step
) -> None:
    watching.start(
        state,
        step,
        watches.IntakeWatch(state_lib.INTAKE_PREFIX, INTAKE_WATCH_S),
    )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Advances the takeover to its next stage when it is due."""
    schedule = state.schedule
    if schedule is None:
        return
    if schedule.stage is stages.Stage.READING:
        _finish_reading(schedule, state, step)
    elif schedule.stage is stages.Stage.FENCING:
        _finish_fencing(schedule, state, step)


def _finish_reading(
    schedule: schedule_state.Schedule,
    state: state_lib.State,
    step: dispatch.Step,
) -> None:
    needed = [
        watches.ProgressWatch,
        watches.TargetsWatch,
        watches.IntakeWatch,
    ]
    if evacuations.is_watched(state):
        needed.append(watches.EvacuationsWatch)
    listed = all(
        kind in state.watches and state.watches[kind].listed for kind in needed
    )
    if not (listed and schedule.roster_read):
        return
    schedule.stage = stages.Stage.FENCING
    schedule.fencing_started_s = step.moment.now_s
    job_intake.end_completed_jobs(state, step)
    polling.tick(state, step)


def _finish_fencing(
    schedule: schedule_state.Schedule,
    state: state_lib.State,
    step: dispatch.Step,
) -> None:
    now_s = step.moment.now_s
    unlisted = [
        target.id
        for target in schedule.targets.values()
        if target.is_unlisted()
    ]
    if unlisted and now_s - schedule.fencing_started_s < FENCING_TIMEOUT_S:
        return
    schedule.stage = stages.Stage.READY
    schedule.dirty = True
    step.note(
        effects.Component.SCHEDULER,
        f"took over in {now_s - schedule.began_s:.2f} s with"
        f" {len(schedule.jobs)} jobs and {len(schedule.targets)} targets,"
        f" of which {len(unlisted)} could not be listed",
    )
