"""Mutants that disable the safety mechanisms around restarted targets."""

from dandelionpick.batch import incarnations
from dandelionpick.batch import schedule_state
from tests import mutant

RESTARTS = ("tests.test_batch_restarts",)


def lose_all_runs() -> None:
    """Takes every run for lost when its target has restarted."""
    incarnations.has_ended_with = lambda run, started_ms: True


def trust_all_replies() -> None:
    """Takes each reply for one of the known incarnation."""
    incarnations.origin_of_reply = lambda sighting, clock_ms, now_s: (
        incarnations.Origin.KNOWN
    )


def use_outdated_entries() -> None:
    """Starts work by the capacity of an earlier incarnation."""
    incarnations.is_described = lambda target: target.entry is not None


def forget_leases() -> None:
    """Records a restarted target as one on which everything has ended."""
    mark = schedule_state.Target.__setattr__

    def set_attribute(target, name, value):
        mark(target, name, value)
        if name == "announced_s" and value < float("inf"):
            mark(target, "lease_ends_s", float("-inf"))

    schedule_state.Target.__setattr__ = set_attribute


MUTANTS = (
    mutant.Mutant(
        "a restart ends only what an earlier incarnation has confirmed",
        lose_all_runs,
        RESTARTS,
    ),
    mutant.Mutant(
        "a reply counts for the incarnation that its clock shows",
        trust_all_replies,
        RESTARTS,
    ),
    mutant.Mutant(
        "an entry describes the incarnation that wrote it",
        use_outdated_entries,
        RESTARTS,
    ),
    mutant.Mutant(
        "a restarted target keeps the end of its leases",
        forget_leases,
        RESTARTS,
    ),
)
