"""Reduces the faults of a run to a few that still break a promise."""

import asyncio
import dataclasses
import math
import shutil
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from soak import ledger as ledger_lib
from soak import plan
from soak import run


def play(
    options: run.Options, faults: Sequence[plan.Fault], plays: int
) -> set[ledger_lib.Promise]:
    """Plays faults until they break a promise.

    The folder has the output of the last play.

    Args:
        options: the other options.
        faults: the faults.
        plays: how often to play them at most; what the processes make of them
            varies.

    Returns:
        The promises that were broken.

    Raises:
        RuntimeError: the processes did not start.
    """
    for _ in range(plays):
        shutil.rmtree(options.folder, ignore_errors=True)
        soak = run.Soak(dataclasses.replace(options, faults=tuple(faults)))
        ledger = asyncio.run(run.play_until_signal(soak))
        if ledger.violations:
            return {promise for promise, _ in ledger.violations}
    return set()


def shrink(
    faults: Sequence[plan.Fault],
    breaks: Callable[[list[plan.Fault]], bool],
    report: Callable[[str], None],
) -> list[plan.Fault]:
    """Leaves out faults, in ever smaller groups, as long as the run breaks.

    Args:
        faults: faults that break a promise.
        breaks: plays faults and returns whether they break it, too.
        report: is called with each progress line.

    Returns:
        Faults of which none can be left out, as far as the plays have shown.
    """
    kept = list(faults)
    if breaks([]):
        return []
    groups = 2
    while len(kept) > 1:
        groups = min(groups, len(kept))
        reduced = _find_reduction(kept, groups, breaks)
        if reduced is not None:
            kept = reduced
            groups = max(2, groups - 1)
            report(f"{len(kept)} of {len(faults)} faults are enough")
        elif groups == len(kept):
            break
        else:
            groups *= 2
    return kept


def _find_reduction(
    faults: list[plan.Fault],
    groups: int,
    breaks: Callable[[list[plan.Fault]], bool],
) -> list[plan.Fault] | None:
    """Returns the faults without a group that isn't needed, if there is one."""
    size = math.ceil(len(faults) / groups)
    candidates: Iterable[list[plan.Fault]] = (
        faults[:start] + faults[start + size :]
        for start in range(0, len(faults), size)
    )
    return next(filter(breaks, candidates), None)
