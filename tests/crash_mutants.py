"""Mutants that disable the budget of tasks that crash their targets."""

from dandelionpick.batch import crash_budget
from dandelionpick.batch import pass_capacity
from dandelionpick.batch import reducer
from dandelionpick.batch import run_endings
from tests import mutant

CRASHES = ("tests.test_batch_crash_budget",)


def count_no_crash() -> None:
    """Starts a task again however many targets have crashed under it."""
    crash_budget.end_if_exhausted = lambda state, step, job, tasks: False


def count_after_the_lease() -> None:
    """Records a crash only when the leases of the target have ended."""
    reducer.TICK_HANDLERS = tuple(
        handler
        for handler in reducer.TICK_HANDLERS
        if handler.__module__ != crash_budget.__name__
    )


def count_silence() -> None:
    """Counts each lost run as a crash of its target."""
    run_endings.CRASHES = tuple(run_endings.Loss)


def keep_suspicion() -> None:
    """Counts a silence although the target has answered again."""
    crash_budget.clear_suspicion = lambda schedule, target: None
    crash_budget.retract = lambda schedule, key, attempt: None


def mix_suspected_work() -> None:
    """Starts a task that may crash its target beside other work."""
    pass_capacity.SHARED_TARGET_PENALTY = 0.0


def admit_to_observed() -> None:
    """Starts other work beside a task that may crash its target."""
    crash_budget.observe = lambda schedule, target_id, now_s: None


def add_up_for_ever() -> None:
    """Counts the crashes under a task that has run for long."""
    crash_budget.PROVED_AFTER_S = float("inf")


MUTANTS = (
    mutant.Mutant(
        "a task that crashes targets is given up", count_no_crash, CRASHES
    ),
    mutant.Mutant(
        "a crash is recorded before a takeover can hide it",
        count_after_the_lease,
        CRASHES,
    ),
    mutant.Mutant("silence is not a crash", count_silence, CRASHES),
    mutant.Mutant(
        "a target that answers again has not crashed", keep_suspicion, CRASHES
    ),
    mutant.Mutant(
        "suspected tasks start apart from other work",
        mix_suspected_work,
        CRASHES,
    ),
    mutant.Mutant(
        "observed targets get no other work", admit_to_observed, CRASHES
    ),
    mutant.Mutant(
        "a lasting task that has run for long starts anew",
        add_up_for_ever,
        CRASHES,
    ),
)
