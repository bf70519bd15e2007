"""Builds the snapshot of the workers that placement works on."""

import dataclasses

from dandelionpick import gang_parts
from dandelionpick import job_shapes
from dandelionpick import job_state
from dandelionpick import job_status
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import placement
from dandelionpick import state as state_lib
from dandelionpick import worker_views


def name_of(record: job_state.JobRecord) -> job_state.JobName:
    """Returns the name of a job."""
    return (record.job.organisation, record.job.key)


def build(state: state_lib.State, now_s: float) -> placement.ClusterSnapshot:
    """Builds the snapshot of all workers that may take new parts."""
    plan = job_shapes.plan_of(state, state.identity.failure_domain)
    entries = {
        entry.id: entry
        for entry in worker_views.listed_workers(state)
        if is_usable(state, entry, now_s)
    }
    snapshot = placement.ClusterSnapshot(
        entries=entries,
        free={
            worker: set(range(entry.accelerators))
            for worker, entry in entries.items()
        },
        cores={worker: entry.cores for worker, entry in entries.items()},
        memory_gb={
            worker: entry.memory_gb for worker, entry in entries.items()
        },
        occupants={worker: {} for worker in entries},
        planned={},
        shapes=plan.shapes,
        rerunnable=set(),
    )
    for shape in plan.shapes:
        for part in shape.parts:
            indices = snapshot.planned.setdefault(part.worker, {})
            indices.update(dict.fromkeys(part.accelerators, shape))
    _occupy_unadopted(state, snapshot)
    for gang in state.jobs.gangs.values():
        occupy(snapshot, gang, job_status.record_of(state, gang.name))
    return snapshot


def is_usable(
    state: state_lib.State, entry: list_messages.InstanceEntry, now_s: float
) -> bool:
    """Returns whether a worker may take new parts."""
    view = worker_views.view_of(state, entry.id)
    return (
        entry.state is kinds.Liveness.LIVE
        and view.report is not None
        and not view.report.leaving
        and worker_views.is_valid(state, view)
        and not worker_views.is_report_stale(view, now_s)
        and now_s >= view.quarantined_until_s
    )


def restrict_to_job(
    snapshot: placement.ClusterSnapshot,
    record: job_state.JobRecord,
    state: state_lib.State,
    now_s: float,
) -> placement.ClusterSnapshot:
    """Returns the snapshot restricted to workers that may run a job.

    A worker with recent failures runs only idempotent jobs until a part
    succeeds on it.
    """
    if record.idempotent:
        return snapshot
    entries = {
        worker: entry
        for worker, entry in snapshot.entries.items()
        if not worker_views.view_of(state, worker).failed_jobs
    }
    return dataclasses.replace(snapshot, entries=entries)


def _occupy_unadopted(
    state: state_lib.State, snapshot: placement.ClusterSnapshot
) -> None:
    """Marks the accelerators of reported parts whose gangs are not adopted."""
    for worker in snapshot.entries:
        for status in state.jobs.workers[worker].report.parts:
            if status.gang_id in state.jobs.gangs:
                continue
            if status.state in job_state.OCCUPYING_STATES:
                snapshot.free[worker].difference_update(status.accelerators)
                unknown = dict.fromkeys(status.accelerators)
                snapshot.occupants[worker].update(unknown)


def occupy(
    snapshot: placement.ClusterSnapshot,
    gang: job_state.Gang,
    record: job_state.JobRecord | None,
) -> None:
    """Marks the accelerators, cores and memory of a gang as occupied."""
    if record is not None and (record.idempotent or record.checkpointable):
        snapshot.rerunnable.add(gang.gang_id)
    for worker, part in gang.parts.items():
        if (
            worker not in snapshot.entries
            or not gang_parts.occupies_accelerators(part)
        ):
            continue
        snapshot.free[worker].difference_update(part.accelerators)
        snapshot.occupants[worker].update(
            dict.fromkeys(part.accelerators, gang)
        )
        if record is not None:
            tasks = len(part.accelerators) // record.job.accelerators
            snapshot.cores[worker] -= tasks * record.job.cores
            snapshot.memory_gb[worker] -= tasks * record.job.memory_gb


def union(
    one: placement.AcceleratorsByWorker, other: placement.AcceleratorsByWorker
) -> placement.AcceleratorsByWorker:
    """Returns the union of two sets of accelerators."""
    return {
        worker: one.get(worker, frozenset()) | other.get(worker, frozenset())
        for worker in one.keys() | other.keys()
    }


def claimed_by_others(
    state: state_lib.State, name: job_state.JobName
) -> placement.AcceleratorsByWorker:
    """Returns the accelerators that other jobs have claimed and wait for."""
    claimed: placement.AcceleratorsByWorker = {}
    for other, accelerators in state.jobs.reclaims.items():
        if other != name:
            claimed = union(claimed, accelerators)
    return claimed
