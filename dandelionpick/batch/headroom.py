"""Keeps room free of work that can wait, for urgent work that can't.

Answers urgent gangs that arrive all the time at a pool that is full of long
work. Where a stop takes longer than they can wait, stopping work for each of
them makes them late and throws work away. The room that they will ask for in
the near future is kept in one rack instead. Where stops are short, nothing is
kept, because the long work would wait for it in vain.
"""

import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Sequence

from dandelionpick import ids
from dandelionpick.batch import guarantees
from dandelionpick.batch import model
from dandelionpick.batch import placement
from dandelionpick.batch import schedule_state

# What urgent work asked for in this time is expected to come again; demand
# changes within seconds.
OBSERVED_S = 10.0
# Whole gangs fit only into more room than the average amount that is asked for
# while a stop takes.
GANG_ALLOWANCE = 6.0
# A job can wait for a stop if it has this many times as long to spare, because
# its tasks may run on slower targets.
SPARE_STOPS = 2.0


def wanted(
    jobs: Iterable[schedule_state.Job], unix_ms: int, stop_s: float
) -> dict[ids.PoolName, int]:
    """Returns the accelerators to keep free in each pool."""
    asked: collections.Counter[ids.PoolName] = collections.Counter()
    for job in jobs:
        terms = job.record.terms
        if (
            terms.priority == guarantees.URGENT_PRIORITY
            and job.record.accepted_ms > unix_ms - OBSERVED_S * 1_000
            and spare_s(job.record) < SPARE_STOPS * stop_s
        ):
            asked[terms.pool] += guarantees.accelerators_of(job)
    factor = GANG_ALLOWANCE * stop_s / OBSERVED_S
    return {pool: int(count * factor) for pool, count in asked.items()}


def spare_s(record: model.JobRecord) -> float:
    """Returns how long a job can wait before it misses its objective."""
    terms = record.terms
    chain_s = sum(step.estimate_ms for step in record.spec.steps) / 1_000
    return (terms.objective_factor - 1) * chain_s + terms.objective_extra_s


def without_kept(
    rooms: Sequence[placement.Room], accelerators: int
) -> list[placement.Room]:
    """Takes room out in the rack that has the most of it.

    Args:
        rooms: the targets that may be used.
        accelerators: how many are kept; fewer if the rack has fewer.

    Returns:
        The targets with the room that is left for work that can wait.
    """
    if accelerators <= 0 or not rooms:
        return list(rooms)
    free: collections.Counter[ids.Rack] = collections.Counter()
    for room in rooms:
        free[room.rack] += max(0, room.free.accelerators)
    rack = max(free, key=lambda name: (free[name], name))
    remaining = [room for room in rooms if room.rack != rack]
    left = accelerators
    for room in sorted(
        (room for room in rooms if room.rack == rack),
        key=lambda room: (-room.free.accelerators, room.target),
    ):
        kept = min(left, max(0, room.free.accelerators))
        left -= kept
        if not kept:
            remaining.append(room)
        elif kept < room.free.accelerators:
            less = room.free.minus(model.Resources(accelerators=kept))
            remaining.append(dataclasses.replace(room, free=less))
    return remaining
