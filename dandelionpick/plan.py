"""Plans guaranteed shapes on the workers of a failure domain.

The plan depends only on its arguments, so every instance with the same
configuration and worker list computes the same plan. Ties between workers are
broken by a hash of shape and worker. A worker that is added or removed
therefore moves few shapes: those that were planned on it, and those that they
displace.

When workers are lost and the guarantees no longer fit, the largest shapes are
planned first, and those that do not fit are listed as unplaced. An unplaced
shape can't be claimed until workers return; until then its organisation's jobs
borrow or wait like any others. Every planned shape stays reclaimable.
"""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

from dandelionpick import ids
from dandelionpick import list_messages
from dandelionpick import packing
from dandelionpick import tree_state


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedPart:
    """The accelerators of one worker that are planned for a shape."""

    worker: ids.InstanceId
    accelerators: tuple[int, ...]
    tasks: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShapeName:
    """Identifies one of the shapes that a guarantee asks for.

    Attributes:
        guarantee: name of the guarantee in the organisation's settings.
        number: index of the shape, from 0 to the guarantee's count - 1.
    """

    organisation: ids.OrganisationId
    guarantee: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedShape:
    """A guaranteed shape and the accelerators that are planned for it."""

    name: ShapeName
    parts: tuple[PlannedPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The plan of all guaranteed shapes of a failure domain.

    Attributes:
        shapes: the shapes that fit.
        unplaced: the shapes that do not fit on the workers.
    """

    shapes: tuple[PlannedShape, ...]
    unplaced: tuple[ShapeName, ...]


def make_plan(
    organisations: Mapping[ids.OrganisationId, tree_state.Organisation],
    workers: Iterable[list_messages.InstanceEntry],
    failure_domain: ids.FailureDomain,
) -> Plan:
    """Plans the guaranteed shapes of a failure domain.

    Args:
        organisations: all organisations with their guarantees.
        workers: all listed workers, of any failure domain, in any order.
        failure_domain: the failure domain to plan.

    Returns:
        The plan, which does not depend on the order of the arguments' items.
    """
    requested = _requested_shapes(organisations, failure_domain)
    listed = {
        entry.id: entry
        for entry in workers
        if entry.failure_domain == failure_domain
    }
    racks = {worker: listed[worker].rack for worker in sorted(listed)}
    free = {worker: set(range(listed[worker].accelerators)) for worker in racks}
    shapes = []
    unplaced = []
    for name, guarantee in requested:
        parts = _place_shape(name, guarantee, free, racks)
        if parts is None:
            unplaced.append(name)
        else:
            shapes.append(PlannedShape(name, parts))
    return Plan(tuple(shapes), tuple(unplaced))


def _requested_shapes(
    organisations: Mapping[ids.OrganisationId, tree_state.Organisation],
    failure_domain: ids.FailureDomain,
) -> list[tuple[ShapeName, tree_state.Guarantee]]:
    """Returns all guaranteed shapes of the failure domain, largest first."""
    requested = [
        (ShapeName(organisation_id, name, number), guarantee)
        for organisation_id, organisation in organisations.items()
        for name, guarantee in organisation.guarantees.items()
        for number in range(guarantee.count)
        if guarantee.failure_domain == failure_domain
    ]
    return sorted(
        requested,
        key=lambda item: (
            -item[1].accelerators * item[1].tasks,
            -item[1].accelerators,
            dataclasses.astuple(item[0]),
        ),
    )


def _place_shape(
    name: ShapeName,
    guarantee: tree_state.Guarantee,
    free: dict[ids.InstanceId, set[int]],
    racks: dict[ids.InstanceId, str],
) -> tuple[PlannedPart, ...] | None:
    """Plans a shape and removes its accelerators from `free`.

    Returns:
        The parts, or None if the whole shape does not fit; `free` is then
        unchanged.
    """
    seed = f"{name.organisation}/{name.guarantee}/{name.number}"
    bins = [
        packing.Bin(
            worker,
            racks[worker],
            len(accelerators) // guarantee.accelerators,
            len(accelerators),
        )
        for worker, accelerators in free.items()
    ]
    tasks_by_worker = packing.pack(
        guarantee.tasks,
        bins,
        lambda item: (xxhash.xxh64_intdigest(f"{seed}/{item}".encode()), item),
    )
    if tasks_by_worker is None:
        return None
    parts = []
    for worker in sorted(tasks_by_worker):
        count = tasks_by_worker[worker] * guarantee.accelerators
        taken = packing.pick_contiguous(free[worker], count)
        free[worker].difference_update(taken)
        parts.append(PlannedPart(worker, tuple(taken), tasks_by_worker[worker]))
    return tuple(parts)
