"""Reserves accelerators for a wide job that has waited long.

Jobs that can be stopped and run again may backfill the reserved accelerators
until the rest of the reservation is free; they are then stopped.
"""

from dandelionpick import cluster_snapshot
from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import gang_stops
from dandelionpick import gangs
from dandelionpick import job_state
from dandelionpick import placement
from dandelionpick import state as state_lib

MIN_WAIT_S = 60.0


def drop_stale(state: state_lib.State, names: set[job_state.JobName]) -> None:
    """Drops the reservation of a job that is no longer queued."""
    reservation = state.jobs.reservation
    if reservation is not None and reservation.name not in names:
        state.jobs.reservation = None


def excluded_for(
    state: state_lib.State, record: job_state.JobRecord
) -> tuple[placement.AcceleratorsByWorker, bool]:
    """Returns how the reservation restricts the placement of a job.

    Returns:
        The accelerators that the job may not use, and whether it would be
        backfill on the reserved ones.
    """
    reservation = state.jobs.reservation
    if reservation is None:
        return {}, False
    # A reservation that only waits for its backfill to stop takes no more.
    rerunnable = record.idempotent or record.checkpointable
    if cluster_snapshot.name_of(record) == reservation.name:
        return {}, False
    if rerunnable and not reservation.stopping_backfill:
        return {}, True
    return reservation.accelerators, False


def overlaps(state: state_lib.State, gang: job_state.Gang) -> bool:
    """Returns whether a gang occupies reserved accelerators."""
    reservation = state.jobs.reservation
    return reservation is not None and any(
        reservation.accelerators.get(worker, frozenset()).intersection(
            part.accelerators
        )
        for worker, part in gang.parts.items()
    )


def tick(
    state: state_lib.State,
    step: dispatch.Step,
    snapshot: placement.ClusterSnapshot,
    queue: list[job_state.JobRecord],
) -> None:
    """Makes a reservation, or places its job once only backfill is left."""
    now_s = step.moment.now_s
    reservation = state.jobs.reservation
    if reservation is None:
        placed = {gang.name for gang in state.jobs.gangs.values()}
        for record in queue:
            name = cluster_snapshot.name_of(record)
            waited_s = now_s - state.jobs.queued_since_s.get(name, now_s)
            if waited_s > MIN_WAIT_S and name not in placed:
                _reserve(state, step, snapshot, record)
                return
        return
    if not reservation.accelerators.keys() <= snapshot.entries.keys():
        state.jobs.reservation = None
        return
    records = {cluster_snapshot.name_of(record): record for record in queue}
    record = records.get(reservation.name)
    if record is not None:
        _place_reserved(state, step, snapshot, record, reservation)


def _reserve(
    state: state_lib.State,
    step: dispatch.Step,
    snapshot: placement.ClusterSnapshot,
    record: job_state.JobRecord,
) -> None:
    """Reserves accelerators for a job, whether or not they are free.

    Borrowed accelerators among them may be reclaimed from the job later, as
    from any other job.
    """
    excluded = cluster_snapshot.claimed_by_others(
        state, cluster_snapshot.name_of(record)
    )
    for pool in placement.candidate_pools(snapshot, record):
        available = {
            worker: indices - excluded.get(worker, frozenset())
            for worker, indices in pool.items()
        }
        allocation = placement.allocate(snapshot, record.job, available)
        if allocation is not None:
            accelerators = {
                worker: frozenset(indices)
                for worker, (indices, _) in allocation.items()
            }
            state.jobs.reservation = job_state.Reservation(
                cluster_snapshot.name_of(record), accelerators
            )
            step.note(
                effects.Component.JOBS,
                f"reserved accelerators for job {record.job.key}",
            )
            return


def _place_reserved(
    state: state_lib.State,
    step: dispatch.Step,
    snapshot: placement.ClusterSnapshot,
    record: job_state.JobRecord,
    reservation: job_state.Reservation,
) -> None:
    """Places the job of a reservation, or stops the backfill in its way."""
    occupants = {
        gang.gang_id if gang else None: gang
        for worker, indices in reservation.accelerators.items()
        for index, gang in snapshot.occupants[worker].items()
        if index in indices
    }
    if any(
        gang is None or not (gang.backfill or gang.stop is not None)
        for gang in occupants.values()
    ):
        return
    reservation.stopping_backfill = True
    if occupants:
        for gang in occupants.values():
            cause = job_state.StopCause.RECLAIMED
            gang_stops.stop(state, step, gang, cause)
        return
    available = {
        worker: set(indices)
        for worker, indices in reservation.accelerators.items()
    }
    allocation = placement.allocate(snapshot, record.job, available)
    state.jobs.reservation = None
    if allocation is not None:
        gang = gangs.create(state, step, record, allocation)
        cluster_snapshot.occupy(snapshot, gang, record)
