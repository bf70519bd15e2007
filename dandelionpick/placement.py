"""Chooses accelerators for a job.

The candidates are tried in this order:

1. an unused shape that the job's organisation is guaranteed;
2. free accelerators that no shape is planned on;
3. also free accelerators that are planned for the job's own organisation;
4. any free accelerators, if the job can be stopped and run again.

When a guaranteed shape is claimed, the other gangs that occupy it are stopped.

A shape can be claimed while all workers that it is planned on report. When a
worker is lost, a new plan is made from the listed workers; shapes that no
longer fit are unplaced, and their organisation borrows or waits. A job that
can't be run again is not stopped if it occupies accelerators that a new plan
gives to another organisation: that shape can be claimed once the job has
ended.
"""

import dataclasses

from dandelionpick import caller_messages
from dandelionpick import ids
from dandelionpick import job_shapes
from dandelionpick import job_state
from dandelionpick import list_messages
from dandelionpick import packing
from dandelionpick import plan as plan_lib

AcceleratorsByWorker = dict[ids.InstanceId, frozenset[int]]
Allocation = dict[ids.InstanceId, tuple[list[int], int]]


@dataclasses.dataclass(slots=True)
class ClusterSnapshot:
    """Resources of the workers of a failure domain that may take parts now.

    It is updated as jobs are placed within a tick.

    Attributes:
        entries: the usable workers.
        free: accelerators without a part, by worker.
        cores: free processor cores, by worker.
        memory_gb: free memory, by worker.
        occupants: the gang on each occupied accelerator, by worker; None if the
            gang is not known here.
        planned: the guaranteed shape that each accelerator is planned for, by
            worker.
        shapes: all planned shapes.
        rerunnable: gangs that may be stopped and run again.
    """

    entries: dict[ids.InstanceId, list_messages.InstanceEntry]
    free: dict[ids.InstanceId, set[int]]
    cores: dict[ids.InstanceId, int]
    memory_gb: dict[ids.InstanceId, int]
    occupants: dict[ids.InstanceId, dict[int, job_state.Gang | None]]
    planned: dict[ids.InstanceId, dict[int, plan_lib.PlannedShape]]
    shapes: tuple[plan_lib.PlannedShape, ...]
    rerunnable: set[ids.GangId]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementDecision:
    """Where a job is placed, or which gangs have to be stopped for it.

    Attributes:
        allocation: accelerators and tasks by worker; None if victims have to be
            stopped first.
        claimed: accelerators of the guaranteed shape that is claimed, if any.
        victims: gangs to stop before the job can be placed.
    """

    allocation: Allocation | None
    claimed: AcceleratorsByWorker | None = None
    victims: tuple[job_state.Gang, ...] = ()


def choose(
    snapshot: ClusterSnapshot,
    record: job_state.JobRecord,
    excluded: AcceleratorsByWorker,
    claimed: AcceleratorsByWorker,
) -> PlacementDecision | None:
    """Chooses accelerators for a job.

    Args:
        snapshot: resources of the usable workers.
        record: the job.
        excluded: accelerators that are kept for other jobs.
        claimed: accelerators of the shape that the job has claimed and waits
            for; this shape is preferred. Empty if there is none.

    Returns:
        The decision, or None if the job has to wait.
    """
    claim = _claim_shape(snapshot, record, excluded, claimed)
    if claim is not None:
        return claim
    for pool in candidate_pools(snapshot, record):
        available = {
            worker: (snapshot.free[worker] & pool[worker])
            - excluded.get(worker, frozenset())
            for worker in pool
        }
        allocation = allocate(snapshot, record.job, available)
        if allocation is not None:
            return PlacementDecision(allocation)
    return None


def candidate_pools(
    snapshot: ClusterSnapshot, record: job_state.JobRecord
) -> list[dict[ids.InstanceId, set[int]]]:
    """Returns the sets of accelerators that a job may use, preferred first."""
    organisation = record.job.organisation
    unplanned, own, every = {}, {}, {}
    for worker, entry in snapshot.entries.items():
        planned = snapshot.planned.get(worker, {})
        every[worker] = set(range(entry.accelerators))
        unplanned[worker] = every[worker] - planned.keys()
        own[worker] = unplanned[worker] | {
            index
            for index, shape in planned.items()
            if shape.name.organisation == organisation
        }
    if record.idempotent or record.checkpointable:
        return [unplanned, own, every]
    return [unplanned, own]


def allocate(
    snapshot: ClusterSnapshot,
    job: caller_messages.SubmitJob,
    available: dict[ids.InstanceId, set[int]],
) -> Allocation | None:
    """Allocates accelerators to all tasks of a job; None if they do not fit."""
    bins = [
        packing.Bin(
            worker,
            snapshot.entries[worker].rack,
            job_shapes.max_tasks(
                job,
                len(free),
                snapshot.cores[worker],
                snapshot.memory_gb[worker],
            ),
            len(free),
        )
        for worker, free in available.items()
    ]
    tasks_by_worker = packing.pack(job.tasks, bins, lambda name: name)
    if tasks_by_worker is None:
        return None
    return {
        worker: (
            packing.pick_contiguous(
                available[worker], tasks * job.accelerators
            ),
            tasks,
        )
        for worker, tasks in tasks_by_worker.items()
    }


def _claim_shape(
    snapshot: ClusterSnapshot,
    record: job_state.JobRecord,
    excluded: AcceleratorsByWorker,
    claimed: AcceleratorsByWorker,
) -> PlacementDecision | None:
    """Claims a guaranteed shape of the job's organisation.

    Only a shape that the organisation does not use, and that the job fills by
    more than half, can be claimed. Shapes rank by whether the job already
    waits for them, then by the fewest victims, then by the smallest size.
    """
    best: tuple | None = None
    for shape in snapshot.shapes:
        if shape.name.organisation != record.job.organisation:
            continue
        accelerators = accelerators_of(shape)
        victims = _find_victims(snapshot, record, shape, excluded)
        if victims is None:
            continue
        rank = (accelerators != claimed, len(victims), size_of(shape))
        if best is None or rank < best[0]:
            best = (rank, shape, accelerators, victims)
    if best is None:
        return None
    _, shape, accelerators, victims = best
    if victims:
        return PlacementDecision(None, accelerators, victims)
    available = {
        worker: set(indices) for worker, indices in accelerators.items()
    }
    allocation = allocate(snapshot, record.job, available)
    if allocation is None:
        return None
    return PlacementDecision(allocation, accelerators)


def accelerators_of(shape: plan_lib.PlannedShape) -> AcceleratorsByWorker:
    """Returns the accelerators of a planned shape by worker."""
    return {part.worker: frozenset(part.accelerators) for part in shape.parts}


def size_of(shape: plan_lib.PlannedShape) -> int:
    """Returns the number of accelerators of a planned shape."""
    return sum(len(part.accelerators) for part in shape.parts)


def counts_as_use(
    tasks: int, accelerators: int, shape: plan_lib.PlannedShape
) -> bool:
    """Returns whether a gang fills more than half of a shape.

    A smaller gang does not count as use of the shape, because most of the
    shape would then be idle but unavailable to claims. It only borrows.
    """
    return 2 * tasks * accelerators > size_of(shape)


def _find_victims(
    snapshot: ClusterSnapshot,
    record: job_state.JobRecord,
    shape: plan_lib.PlannedShape,
    excluded: AcceleratorsByWorker,
) -> tuple[job_state.Gang, ...] | None:
    """Returns the gangs to stop for a claim of a shape.

    None if the shape can't be claimed for the job.
    """
    job = record.job
    if not counts_as_use(job.tasks, job.accelerators, shape):
        return None
    task_capacity = 0
    victims: dict[ids.GangId, job_state.Gang] = {}
    for part in shape.parts:
        entry = snapshot.entries.get(part.worker)
        if entry is None or excluded.get(part.worker, frozenset()).intersection(
            part.accelerators
        ):
            return None
        task_capacity += job_shapes.max_tasks(
            job, len(part.accelerators), entry.cores, entry.memory_gb
        )
        occupants = snapshot.occupants.get(part.worker, {})
        for index in part.accelerators:
            if index not in occupants:
                continue
            gang = occupants[index]
            if gang is None or not _is_victim(snapshot, gang, shape):
                return None
            victims[gang.gang_id] = gang
    if task_capacity < job.tasks:
        return None
    return tuple(victims.values())


def _is_victim(
    snapshot: ClusterSnapshot,
    gang: job_state.Gang,
    shape: plan_lib.PlannedShape,
) -> bool:
    """Returns whether a gang may be stopped for a claim of a shape.

    A gang that can't be run again is never a victim unless it is stopping
    anyway. A gang of the shape's own organisation is a victim only if it merely
    borrows: it extends beyond the shape or fills at most half of it.
    """
    if gang.gang_id not in snapshot.rerunnable and gang.stop is None:
        return False
    if gang.labels.organisation != shape.name.organisation:
        return True
    shape_accelerators = accelerators_of(shape)
    used = 0
    for worker, part in gang.parts.items():
        used += len(part.accelerators)
        if not shape_accelerators.get(worker, frozenset()).issuperset(
            part.accelerators
        ):
            return True
    return 2 * used <= size_of(shape)
