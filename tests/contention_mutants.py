"""Mutants that disable the rules for work that waits for capacity."""

from dandelionpick.batch import fair_shares
from dandelionpick.batch import free_capacity
from dandelionpick.batch import gang_reservations
from dandelionpick.batch import pass_capacity
from tests import mutant

SHARES = ("tests.test_batch_fair_shares",)
RESERVATIONS = ("tests.test_batch_gang_reservations",)


def ignore_use() -> None:
    """Orders work by objectives alone."""
    fair_shares.HEAVY_FACTOR = float("inf")


def hold_back_for_ever() -> None:
    """Holds work of a heavy organisation back without a bound."""
    fair_shares.MAX_HOLD_S = fair_shares.MAX_HOLD_PART = float("inf")


def reserve_nothing() -> None:
    """Lets every gang compete for each accelerator that becomes free."""
    gang_reservations._is_due = lambda *arguments: False


def give_reserved_away() -> None:
    """Starts other work in reserved capacity, however long it lasts."""
    gang_reservations.may_backfill = lambda schedule, unit, now_s: True


def leave_idle() -> None:
    """Keeps reserved capacity idle until the gang starts."""
    pass_capacity.PassCapacity.backfill_racks = lambda capacity, pool: {}


def keep_void_reservations() -> None:
    """Keeps reservations of targets that take no work."""
    gang_reservations._may_hold = lambda *arguments: True


def break_into_racks() -> None:
    """Lets single tasks go to the fullest target, in whatever rack."""
    free_capacity.Rack.free_accelerators = lambda rack: 0


MUTANTS = (
    mutant.Mutant("a peak comes after other work", ignore_use, SHARES),
    mutant.Mutant("no organisation waits for ever", hold_back_for_ever, SHARES),
    mutant.Mutant("wide gangs get reservations", reserve_nothing, RESERVATIONS),
    mutant.Mutant(
        "single tasks leave whole racks free", break_into_racks, RESERVATIONS
    ),
    mutant.Mutant(
        "reserved capacity is kept free", give_reserved_away, RESERVATIONS
    ),
    mutant.Mutant(
        "short work runs in reserved capacity", leave_idle, RESERVATIONS
    ),
    mutant.Mutant(
        "reservations of targets that fail are dropped",
        keep_void_reservations,
        RESERVATIONS,
    ),
)
