"""Views of the capacity of pools that last for longer than a pass."""

import dataclasses

from dandelionpick import ids
from dandelionpick.batch import model
from dandelionpick.batch import target_api


@dataclasses.dataclass(slots=True)
class Reservation:
    """Resources that are being freed for a step.

    Attributes:
        resources: what is reserved, by target.
    """

    resources: dict[ids.TargetId, model.Resources]
    expires_s: float


@dataclasses.dataclass(slots=True)
class PoolView:
    """Cached view of what the targets of a pool can hold.

    Attributes:
        expires_s: when it has to be rebuilt.
        entries_by_rack: targets that take work, by rack.
        idle_since_s: since when the pool has been idle; inf if it isn't.
        task_capacity: how many tasks of a shape a rack can hold; filled on
            demand.
    """

    expires_s: float
    entries_by_rack: dict[ids.Rack, list[target_api.TargetEntry]]
    idle_since_s: float
    task_capacity: dict[tuple[ids.Rack, model.Resources, str], int] = (
        dataclasses.field(default_factory=dict)
    )

    def max_tasks_in(self, spec: model.StepSpec, rack: ids.Rack) -> int:
        """Returns how many tasks of a step an empty rack can hold."""
        key = rack, spec.needs, spec.required_label
        if key not in self.task_capacity:
            self.task_capacity[key] = sum(
                spec.needs.count_fitting_in(entry.capacity)
                for entry in self.entries_by_rack.get(rack, ())
                if not spec.required_label
                or spec.required_label in entry.labels
            )
        return self.task_capacity[key]
