"""Mutants of the mechanisms that keep jobs from standing still."""

from dandelionpick.batch import listing_order
from dandelionpick.batch import roster
from tests import mutant

STANDING = ("tests.test_batch_standing_jobs",)


def count_silent_listings() -> None:
    """Lets targets that don't answer keep others from being listed."""
    listing_order.SILENT_LISTING_S = float("inf")


def keep_first_records() -> None:
    """Keeps the first record of when a silent target's leases end."""
    roster.RECORD_TOLERANCE_MS = float("inf")


MUTANTS = (
    mutant.Mutant(
        "a silent target does not keep others from being listed",
        count_silent_listings,
        STANDING,
    ),
    mutant.Mutant(
        "a further takeover waits for what is left of the leases",
        keep_first_records,
        STANDING,
    ),
)
