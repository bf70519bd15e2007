"""Mutants that disable how targets are judged by their runs."""

from dandelionpick.batch import target_preference
from dandelionpick.batch import target_reliability
from dandelionpick.batch import target_speeds
from tests import mutant

RELIABILITY = ("tests.test_batch_target_reliability",)


def ignore_early_failures() -> None:
    """Waits for a second failure also if a run fails right after its start."""
    target_reliability._is_early = lambda schedule, step_run, run, now_s: False


def blame_only_targets() -> None:
    """Takes each target out of use on which a task fails early."""
    target_reliability._was_sound = lambda schedule, name, failed_s: False
    target_reliability.MAX_TARGETS_PER_STEP = 1_000


def skip_probation() -> None:
    """Gives full work to a target as soon as its time is over."""
    target_preference.TargetPreference.is_reserved_for_probes = (
        lambda preference, target: False
    )
    target_preference.TargetPreference.apply = (
        lambda preference, candidate, target: None
    )


def take_all_for_equally_fast() -> None:
    """Places gangs on slow targets."""
    target_speeds.sample = lambda *arguments: None


MUTANTS = (
    mutant.Mutant(
        "a target that fails a run right after its start gets no work",
        ignore_early_failures,
        RELIABILITY,
    ),
    mutant.Mutant(
        "a job that fails on sound targets takes none out of use",
        blame_only_targets,
        RELIABILITY,
    ),
    mutant.Mutant(
        "a target that was out of use starts with one task",
        skip_probation,
        RELIABILITY,
    ),
    mutant.Mutant(
        "gangs avoid slow targets",
        take_all_for_equally_fast,
        RELIABILITY,
    ),
)
