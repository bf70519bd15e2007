"""Maps guaranteed shapes onto the workers of a failure domain.

The plan depends only on its arguments, so that every instance that holds the
same configuration and worker list computes the same plan.
"""

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

from dandelionpick import ids
from dandelionpick import list_messages
from dandelionpick import tree_state


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedPart:
    """The accelerators of one worker that a shape is planned on."""

    worker: ids.InstanceId
    accelerators: tuple[int, ...]
    tasks: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShapeName:
    """Names one of the shapes that a guarantee asks for.

    Attributes:
        guarantee: name of the guarantee in the organisation's settings.
        number: from 0 to the guarantee's count, exclusive.
    """

    organisation: ids.OrganisationId
    guarantee: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedShape:
    """A guaranteed shape and where it is planned."""

    name: ShapeName
    parts: tuple[PlannedPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Where every guaranteed shape of a failure domain goes.

    Attributes:
        shapes: shapes that fit.
        unplaced: shapes that don't fit on the workers.
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
        The plan, equal for equal arguments whatever their order.
    """
    wanted = _wanted(organisations, failure_domain)
    free = {
        entry.id: list(range(entry.accelerators))
        for entry in sorted(workers, key=lambda entry: entry.id)
        if entry.failure_domain == failure_domain
    }
    shapes = []
    unplaced = []
    for name, guarantee in wanted:
        parts = _place(guarantee, free)
        if parts is None:
            unplaced.append(name)
        else:
            shapes.append(PlannedShape(name, parts))
    return Plan(tuple(shapes), tuple(unplaced))


def _wanted(
    organisations: Mapping[ids.OrganisationId, tree_state.Organisation],
    failure_domain: ids.FailureDomain,
) -> list[tuple[ShapeName, tree_state.Guarantee]]:
    """Returns all shapes of the failure domain, the largest first."""
    wanted = [
        (ShapeName(organisation_id, name, number), guarantee)
        for organisation_id, organisation in organisations.items()
        for name, guarantee in organisation.guarantees.items()
        for number in range(guarantee.count)
        if guarantee.failure_domain == failure_domain
    ]
    return sorted(
        wanted,
        key=lambda item: (
            -item[1].accelerators * item[1].tasks,
            -item[1].accelerators,
            dataclasses.astuple(item[0]),
        ),
    )


def _place(
    guarantee: tree_state.Guarantee, free: dict[ids.InstanceId, list[int]]
) -> tuple[PlannedPart, ...] | None:
    """Takes accelerators from `free` for a whole shape, or takes none."""
    parts = []
    missing = guarantee.tasks
    for worker, accelerators in free.items():
        tasks = min(missing, len(accelerators) // guarantee.accelerators)
        if tasks:
            taken = accelerators[: tasks * guarantee.accelerators]
            parts.append(PlannedPart(worker, tuple(taken), tasks))
            missing -= tasks
    if missing:
        return None
    for part in parts:
        del free[part.worker][: len(part.accelerators)]
    return tuple(parts)
