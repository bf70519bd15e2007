"""Plays mutants of the program until a seed breaks a promise.

A promise that breaks shows that the soak would notice the fault. The same seeds
have to hold without the mutant.
"""

import asyncio
import dataclasses
import pathlib
from collections.abc import Callable
from collections.abc import Iterable

from soak import ledger as ledger_lib
from soak import run
from soak import scenarios

# Names of mutants in `tests.mutants`.
NAMES = (
    "stop_at_once",
    "keep_first_configuration",
    "answer_for_another_job",
    "use_evacuated",
    "start_unread_tasks",
    "lose_cut_off_runs",
    "forget_unresolved",
    "acknowledge_unstored_ends",
    "keep_life",
    "overcommit",
    "accept_unstored",
    "ignore_fences",
    "use_draining",
    "preempt_nothing",
    "serve_strangers",
)

# Random faults seldom leave the scheduler alone for as long as these need, and
# the pool is seldom full.
SCENARIOS = {
    "use_draining": scenarios.Scenario.LEAVING_TARGETS,
    "preempt_nothing": scenarios.Scenario.FULL_POOL,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a mutant was caught.

    Attributes:
        name: the mutant.
        seed: the first seed that broke a promise; None if none did.
        promises: the promises that it broke.
    """

    name: str
    seed: int | None
    promises: tuple[ledger_lib.Promise, ...] = ()


def play(
    name: str,
    seeds: Iterable[int],
    build_options: Callable[[int, pathlib.Path], run.Options],
    folder: pathlib.Path,
) -> Verdict:
    """Plays a mutant with one seed after the other until one catches it.

    A mutant in `SCENARIOS` is played with that scenario in place of the faults
    of the seeds.

    Args:
        name: the mutant.
        seeds: the seeds to try.
        build_options: returns the options of a run for a seed and its folder.
        folder: for the output of the runs, which stays.

    Raises:
        RuntimeError: the processes did not start.
    """
    for seed in seeds:
        options = dataclasses.replace(
            build_options(seed, folder / name / f"seed-{seed}"), mutant=name
        )
        if name in SCENARIOS:
            options = scenarios.apply(SCENARIOS[name], options)
        soak = run.Soak(options)
        ledger = asyncio.run(run.play_until_signal(soak))
        if ledger.violations:
            promises = dict.fromkeys(it for it, _ in ledger.violations)
            return Verdict(name, seed, tuple(promises))
    return Verdict(name, None)
