"""Chooses accelerators for a job.

A job takes, in this order: a shape that its organisation is guaranteed and
does not use, free accelerators that no shape is planned on, those planned for
its own organisation, and, if it can be stopped and run again, any that are
free. Whatever else occupies a guaranteed shape that is claimed is stopped.

What holds when workers are lost: a shape is claimable while all workers that
it is planned on report. When one is lost, the plan is made anew from the
listed workers; shapes that no longer fit are unplaced and their organisation
borrows or waits. A job that can't be run again and occupies accelerators that
a new plan gives to another organisation is not stopped: that shape is
claimable when the job has ended.
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
    """The workers of a failure domain that may take parts now.

    Attributes:
        entries: usable workers.
        free: accelerators without a part.
        cores: free processor cores.
        memory_gb: free memory.
        occupants: the gang on each occupied accelerator; None if not known.
        planned: the shape that is planned on each planned accelerator.
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
    """Where a job goes.

    Attributes:
        allocation: accelerators and tasks by worker; None while victims are there.
        claimed: accelerators of the guaranteed shape that is claimed, if any.
        victims: gangs to stop first.
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
        snapshot: the usable workers.
        record: the job.
        excluded: accelerators that are kept for other jobs.
        claimed: accelerators of the shape that this job is waiting for, which
            is preferred; empty if there is none.

    Returns:
        The choice, or None if the job has to wait.
    """
    claim = _claim(snapshot, record, excluded, claimed)
    if claim is not None:
        return claim
    for pool in pools(snapshot, record):
        available = {
            worker: (snapshot.free[worker] & pool[worker])
            - excluded.get(worker, frozenset())
            for worker in pool
        }
        allocation = allocate(snapshot, record.job, available)
        if allocation is not None:
            return PlacementDecision(allocation)
    return None


def pools(
    snapshot: ClusterSnapshot, record: job_state.JobRecord
) -> list[dict[ids.InstanceId, set[int]]]:
    """Returns the accelerators that a job may use, the preferred ones first."""
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
    """Spreads a job over accelerators, or returns None."""
    bins = [
        packing.Bin(
            worker,
            snapshot.entries[worker].rack,
            job_shapes.tasks_on(
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


def _claim(
    snapshot: ClusterSnapshot,
    record: job_state.JobRecord,
    excluded: AcceleratorsByWorker,
    claimed: AcceleratorsByWorker,
) -> PlacementDecision | None:
    """Chooses an unused guaranteed shape that the job fills more than half."""
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
    """Returns whether a gang is large enough to count as use of a shape.

    A smaller gang would leave most of the shape idle while the shape counts
    as used; it only borrows.
    """
    return 2 * tasks * accelerators > size_of(shape)


def _find_victims(
    snapshot: ClusterSnapshot,
    record: job_state.JobRecord,
    shape: plan_lib.PlannedShape,
    excluded: AcceleratorsByWorker,
) -> tuple[job_state.Gang, ...] | None:
    """Returns the gangs to stop for a claim, or None if it is impossible."""
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
        task_capacity += job_shapes.tasks_on(
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
    """Returns whether a gang has to make way for a claim of a shape."""
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
