"""Mutants of the mechanisms that keep jobs from standing still."""

from dandelionpick.batch import roster
from dandelionpick.batch import schedule_state
from tests import mutant

STANDING = ("tests.test_batch_standing_jobs",)


def repeat_silent_listings() -> None:
    """Lists targets that don't answer again before others were listed."""
    mark = schedule_state.Target.__setattr__

    def set_attribute(target, name, value):
        if name != "poll_sent_s" or value == float("-inf"):
            mark(target, name, value)

    schedule_state.Target.__setattr__ = set_attribute


def keep_first_records() -> None:
    """Keeps the first record of when a silent target's leases end."""
    roster.RECORD_TOLERANCE_MS = float("inf")


MUTANTS = (
    mutant.Mutant(
        "a silent target does not keep others from being listed",
        repeat_silent_listings,
        STANDING,
    ),
    mutant.Mutant(
        "a further takeover waits for what is left of the leases",
        keep_first_records,
        STANDING,
    ),
)
