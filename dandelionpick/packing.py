"""Spreads equal tasks over workers: one worker, else one rack, else more."""

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

from dandelionpick import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Bin:
    """Room on one worker.

    Attributes:
        tasks: how many of the tasks fit.
        free: free accelerators; what they leave over decides the best fit.
    """

    worker: ids.InstanceId
    rack: str
    tasks: int
    free: int


def pack(
    tasks: int, bins: Iterable[Bin], tie: Callable[[str], Any]
) -> dict[ids.InstanceId, int] | None:
    """Spreads tasks over as few workers and racks as possible.

    Args:
        tasks: number of tasks.
        bins: the workers with room, in any order.
        tie: orders equally good workers or racks by name.

    Returns:
        Tasks by worker, or None if there is not enough room.
    """
    usable = [item for item in bins if item.tasks]
    if sum(item.tasks for item in usable) < tasks:
        return None
    single = [item for item in usable if item.tasks >= tasks]
    if single:
        best = min(single, key=lambda item: (item.free, tie(item.worker)))
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
        spreads = {rack: _fill(tasks, racks[rack], tie) for rack in fitting}
        best_rack = min(
            fitting,
            key=lambda rack: (
                len(spreads[rack]),
                sum(item.free for item in racks[rack]),
                tie(rack),
            ),
        )
        return spreads[best_rack]
    return _fill_racks(tasks, racks, tie)


def _fill_racks(
    tasks: int, racks: dict[str, list[Bin]], tie: Callable[[str], Any]
) -> dict[ids.InstanceId, int]:
    """Fills whole racks, the roomiest first."""
    room = {
        rack: sum(item.tasks for item in items) for rack, items in racks.items()
    }
    spread: dict[ids.InstanceId, int] = {}
    for rack in sorted(racks, key=lambda rack: (-room[rack], tie(rack))):
        wanted = min(tasks, room[rack])
        if wanted:
            spread |= _fill(wanted, racks[rack], tie)
        tasks -= wanted
    return spread


def _fill(
    tasks: int, items: Sequence[Bin], tie: Callable[[str], Any]
) -> dict[ids.InstanceId, int]:
    """Fills the roomiest workers; the last one is the best fit."""
    left = sorted(items, key=lambda item: (-item.tasks, tie(item.worker)))
    spread = {}
    while tasks:
        enough = [item for item in left if item.tasks >= tasks]
        if enough:
            item = min(enough, key=lambda item: (item.tasks, tie(item.worker)))
        else:
            item = left[0]
        left.remove(item)
        spread[item.worker] = min(tasks, item.tasks)
        tasks -= spread[item.worker]
    return spread


def adjacent(free: Iterable[int], count: int) -> list[int]:
    """Picks accelerators of one worker, adjacent ones if possible.

    Args:
        free: indices to choose from, at least `count`.
        count: how many are wanted.

    Returns:
        The start of the shortest run that is long enough, else of the longest
        runs together.
    """
    runs: list[list[int]] = []
    for index in sorted(free):
        if runs and runs[-1][-1] == index - 1:
            runs[-1].append(index)
        else:
            runs.append([index])
    enough = [run for run in runs if len(run) >= count]
    if enough:
        return min(enough, key=len)[:count]
    runs.sort(key=len, reverse=True)
    picked = [index for run in runs for index in run]
    return sorted(picked[:count])
