"""Packs equal tasks onto one worker, else one rack, else several racks."""

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

from dandelionpick import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Bin:
    """Free capacity of one worker.

    Attributes:
        tasks: how many of the tasks fit on the worker.
        free: number of free accelerators; the best fit leaves the fewest.
    """

    worker: ids.InstanceId
    rack: str
    tasks: int
    free: int


def pack(
    tasks: int, bins: Iterable[Bin], tie_break: Callable[[str], Any]
) -> dict[ids.InstanceId, int] | None:
    """Packs tasks onto as few workers and racks as possible.

    Args:
        tasks: number of tasks.
        bins: the free capacity of the workers, in any order.
        tie_break: sort key of a name; orders equally good workers or racks.

    Returns:
        Number of tasks by worker, or None if the tasks do not fit.
    """
    usable = [item for item in bins if item.tasks]
    if sum(item.tasks for item in usable) < tasks:
        return None
    sufficient = [item for item in usable if item.tasks >= tasks]
    if sufficient:
        best = min(
            sufficient, key=lambda item: (item.free, tie_break(item.worker))
        )
        return {best.worker: tasks}
    racks: dict[str, list[Bin]] = {}
    for item in usable:
        racks.setdefault(item.rack, []).append(item)
    fitting = [
        rack
        for rack, items in racks.items()
        if sum(item.tasks for item in items) >= tasks
    ]
    if fitting:
        by_rack = {
            rack: _fill(tasks, racks[rack], tie_break) for rack in fitting
        }
        best_rack = min(
            fitting,
            key=lambda rack: (
                len(by_rack[rack]),
                sum(item.free for item in racks[rack]),
                tie_break(rack),
            ),
        )
        return by_rack[best_rack]
    return _fill_racks(tasks, racks, tie_break)


def _fill_racks(
    tasks: int, racks: dict[str, list[Bin]], tie_break: Callable[[str], Any]
) -> dict[ids.InstanceId, int]:
    """Fills whole racks, those with the most capacity first."""
    capacity = {
        rack: sum(item.tasks for item in items) for rack, items in racks.items()
    }
    tasks_by_worker: dict[ids.InstanceId, int] = {}
    for rack in sorted(
        racks, key=lambda rack: (-capacity[rack], tie_break(rack))
    ):
        wanted = min(tasks, capacity[rack])
        if wanted:
            tasks_by_worker |= _fill(wanted, racks[rack], tie_break)
        tasks -= wanted
    return tasks_by_worker


def _fill(
    tasks: int, items: Sequence[Bin], tie_break: Callable[[str], Any]
) -> dict[ids.InstanceId, int]:
    """Fills the workers with the most capacity first.

    As soon as one worker can hold all remaining tasks, the smallest such
    worker gets them.
    """
    remaining = sorted(
        items, key=lambda item: (-item.tasks, tie_break(item.worker))
    )
    tasks_by_worker = {}
    while tasks:
        sufficient = [item for item in remaining if item.tasks >= tasks]
        if sufficient:
            item = min(
                sufficient,
                key=lambda item: (item.tasks, tie_break(item.worker)),
            )
        else:
            item = remaining[0]
        remaining.remove(item)
        tasks_by_worker[item.worker] = min(tasks, item.tasks)
        tasks -= tasks_by_worker[item.worker]
    return tasks_by_worker


def pick_contiguous(free: Iterable[int], count: int) -> list[int]:
    """Picks accelerators of one worker, with contiguous indices if possible.

    Args:
        free: indices to choose from; at least `count`.
        count: number of accelerators to pick.

    Returns:
        The first indices of the shortest contiguous run that is long enough.
        If no run is, indices from the longest runs.
    """
    runs: list[list[int]] = []
    for index in sorted(free):
        if runs and runs[-1][-1] == index - 1:
            runs[-1].append(index)
        else:
            runs.append([index])
    sufficient = [run for run in runs if len(run) >= count]
    if sufficient:
        return min(sufficient, key=len)[:count]
    runs.sort(key=len, reverse=True)
    picked = [index for run in runs for index in run]
    return sorted(picked[:count])
