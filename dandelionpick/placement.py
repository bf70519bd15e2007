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

Accelerators = dict[ids.InstanceId, frozenset[int]]
Parts = dict[ids.InstanceId, tuple[list[int], int]]


@dataclasses.dataclass(slots=True)
class Site:
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
class Choice:
    """Where a job goes.

    Attributes:
        parts: accelerators and tasks by worker; None while victims are there.
        claims: accelerators of the guaranteed shape that is claimed, if any.
        victims: gangs to stop first.
    """

    parts: Parts | None
    claims: Accelerators | None = None
    victims: tuple[job_state.Gang, ...] = ()


def choose(
    site: Site,
    record: job_state.JobRecord,
    kept: Accelerators,
    claimed: Accelerators,
) -> Choice | None:
    """Chooses accelerators for a job.

    Args:
        site: the usable workers.
        record: the job.
        kept: accelerators that are kept for other jobs.
        claimed: accelerators of the shape that this job is waiting for, which
            is preferred; empty if there is none.

    Returns:
        The choice, or None if the job has to wait.
    """
    own = _claim(site, record, kept, claimed)
    if own is not None:
        return own
    for pool in pools(site, record):
        room = {
            worker: (site.free[worker] & pool[worker])
            - kept.get(worker, frozenset())
            for worker in pool
        }
        parts = place(site, record.job, room)
        if parts is not None:
            return Choice(parts)
    return None


def pools(
    site: Site, record: job_state.JobRecord
) -> list[dict[ids.InstanceId, set[int]]]:
    """Returns the accelerators that a job may use, the preferred ones first."""
    organisation = record.job.organisation
    unplanned, own, every = {}, {}, {}
    for worker, entry in site.entries.items():
        planned = site.planned.get(worker, {})
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


def place(
    site: Site,
    job: caller_messages.SubmitJob,
    room: dict[ids.InstanceId, set[int]],
) -> Parts | None:
    """Spreads a job over accelerators, or returns None."""
    bins = [
        packing.Bin(
            worker,
            site.entries[worker].rack,
            job_shapes.tasks_on(
                job,
                len(free),
                site.cores[worker],
                site.memory_gb[worker],
            ),
            len(free),
        )
        for worker, free in room.items()
    ]
    spread = packing.pack(job.tasks, bins, lambda name: name)
    if spread is None:
        return None
    return {
        worker: (
            packing.adjacent(room[worker], tasks * job.accelerators),
            tasks,
        )
        for worker, tasks in spread.items()
    }


def _claim(
    site: Site,
    record: job_state.JobRecord,
    kept: Accelerators,
    claimed: Accelerators,
) -> Choice | None:
    """Chooses an unused guaranteed shape that the job fills more than half."""
    best: tuple | None = None
    for shape in site.shapes:
        if shape.name.organisation != record.job.organisation:
            continue
        accelerators = accelerators_of(shape)
        victims = _victims(site, record, shape, kept)
        if victims is None:
            continue
        rank = (accelerators != claimed, len(victims), size_of(shape))
        if best is None or rank < best[0]:
            best = (rank, shape, accelerators, victims)
    if best is None:
        return None
    _, shape, accelerators, victims = best
    if victims:
        return Choice(None, accelerators, victims)
    room = {worker: set(indices) for worker, indices in accelerators.items()}
    parts = place(site, record.job, room)
    if parts is None:
        return None
    return Choice(parts, accelerators)


def accelerators_of(shape: plan_lib.PlannedShape) -> Accelerators:
    """Returns the accelerators of a planned shape by worker."""
    return {part.worker: frozenset(part.accelerators) for part in shape.parts}


def size_of(shape: plan_lib.PlannedShape) -> int:
    """Returns the number of accelerators of a planned shape."""
    return sum(len(part.accelerators) for part in shape.parts)


def fills(tasks: int, accelerators: int, shape: plan_lib.PlannedShape) -> bool:
    """Returns whether a gang is large enough to count as use of a shape.

    A smaller gang would leave most of the shape idle while the shape counts
    as used; it only borrows.
    """
    return 2 * tasks * accelerators > size_of(shape)


def _victims(
    site: Site,
    record: job_state.JobRecord,
    shape: plan_lib.PlannedShape,
    kept: Accelerators,
) -> tuple[job_state.Gang, ...] | None:
    """Returns the gangs to stop for a claim, or None if it is impossible."""
    job = record.job
    if not fills(job.tasks, job.accelerators, shape):
        return None
    room = 0
    victims: dict[ids.GangId, job_state.Gang] = {}
    for part in shape.parts:
        entry = site.entries.get(part.worker)
        if entry is None or kept.get(part.worker, frozenset()).intersection(
            part.accelerators
        ):
            return None
        room += job_shapes.tasks_on(
            job, len(part.accelerators), entry.cores, entry.memory_gb
        )
        occupants = site.occupants.get(part.worker, {})
        for index in part.accelerators:
            if index not in occupants:
                continue
            gang = occupants[index]
            if gang is None or not _is_victim(site, gang, shape):
                return None
            victims[gang.gang_id] = gang
    if room < job.tasks:
        return None
    return tuple(victims.values())


def _is_victim(
    site: Site, gang: job_state.Gang, shape: plan_lib.PlannedShape
) -> bool:
    """Returns whether a gang has to make way for a claim of a shape."""
    if gang.gang_id not in site.rerunnable and gang.stop is None:
        return False
    if gang.labels.organisation != shape.name.organisation:
        return True
    inside = accelerators_of(shape)
    used = 0
    for worker, part in gang.parts.items():
        used += len(part.accelerators)
        if not inside.get(worker, frozenset()).issuperset(part.accelerators):
            return True
    return 2 * used <= size_of(shape)
