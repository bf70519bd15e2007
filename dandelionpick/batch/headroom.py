"""Keeps room free for urgent work, so that it need not wait for stops.

Answers bursts of urgent gangs on a pool that other work would fill: a stop
takes up to a second, which short urgent work can't make up for. The room of one
typical urgent step is kept in the rack that has most room, and only while
urgent work comes. Work that has waited long may use it.
"""

from collections.abc import Sequence

from dandelionpick import ids
from dandelionpick.batch import model
from dandelionpick.batch import placement
from dandelionpick.batch import schedule_state

# Urgent steps that are remembered, and for how long after the last one.
REMEMBERED = 24
FORGOTTEN_AFTER_S = 10.0
# Share of the urgent steps that the kept room is enough for.
QUANTILE = 0.75
# Less urgent work uses the kept room after it has waited this long.
PATIENCE_S = 2.0


def note_urgent(
    schedule: schedule_state.Schedule, needs: model.Resources, now_s: float
) -> None:
    """Takes note of what an urgent step needs."""
    schedule.urgent_needs.append(needs)
    del schedule.urgent_needs[:-REMEMBERED]
    schedule.urgent_s = now_s


def wanted(
    schedule: schedule_state.Schedule, now_s: float
) -> model.Resources | None:
    """Returns the room to keep, or None if no urgent work has come lately."""
    needs = schedule.urgent_needs
    if not needs or now_s - schedule.urgent_s > FORGOTTEN_AFTER_S:
        return None
    index = min(len(needs) - 1, int(QUANTILE * len(needs)))
    return model.Resources(
        sorted(need.cpu_millis for need in needs)[index],
        sorted(need.memory_mb for need in needs)[index],
        sorted(need.accelerators for need in needs)[index],
    )


def kept_targets(
    needs: model.Resources, rooms: Sequence[placement.Room]
) -> set[ids.TargetId]:
    """Returns the targets whose room is kept, in the rack with most room."""
    by_rack: dict[ids.Rack, list[placement.Room]] = {}
    for room in rooms:
        by_rack.setdefault(room.rack, []).append(room)
    members = max(
        by_rack.values(),
        key=lambda rack: sum(room.free.accelerators for room in rack),
        default=[],
    )
    kept: set[ids.TargetId] = set()
    total = model.Resources()
    for room in sorted(members, key=lambda room: -room.free.accelerators):
        if needs.fits_in(total):
            break
        total = total.plus(room.free)
        kept.add(room.target)
    return kept
