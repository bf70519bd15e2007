"""Mutants of the mechanisms that keep work out of evacuated domains."""

from dandelionpick.batch import evacuations
from tests import mutant

EVACUATIONS = ("tests.test_batch_evacuations",)


def use_evacuated() -> None:
    """Starts work in failure domains that are being evacuated."""
    evacuations.is_closed = lambda schedule, target: False


def start_by_old_views() -> None:
    """Starts work however long ago the evacuations were read."""
    evacuations.is_view_current = lambda state, now_s: True


MUTANTS = (
    mutant.Mutant(
        "nothing starts in an evacuated domain", use_evacuated, EVACUATIONS
    ),
    mutant.Mutant(
        "nothing starts by evacuations that were read too long ago",
        start_by_old_views,
        EVACUATIONS,
    ),
)
