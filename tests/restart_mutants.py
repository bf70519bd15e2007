"""Mutants of the mechanisms around restarted targets and late writes."""

from dandelionpick.batch import abandoned_starts
from dandelionpick.batch import departures
from dandelionpick.batch import exits
from dandelionpick.batch import incarnations
from dandelionpick.batch import reducer
from dandelionpick.batch import roster
from dandelionpick.batch import schedule_state
from dandelionpick.batch import start_repetition
from tests import mutant

RESTARTS = ("tests.test_batch_restarts",)
LOST_STARTS = ("tests.test_batch_lost_starts",)
LATE_WRITES = ("tests.test_batch_late_writes",)


def lose_all_runs() -> None:
    """Takes every run for lost when its target has restarted."""
    incarnations.has_ended_with = lambda run, started_ms: True


def trust_all_replies() -> None:
    """Takes each reply for one of the known incarnation."""
    incarnations.origin_of_reply = lambda snapshot, clock_ms, now_s: (
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


def acknowledge_at_any_time() -> None:
    """Acknowledges ends however long ago the target has answered."""
    incarnations.may_acknowledge = lambda target, now_s: target.listed


def forget_abandoned_starts() -> None:
    """Relies on stops that an earlier incarnation has confirmed."""
    abandoned_starts.stop_all = lambda state, step, target: None


def stop_incomplete_starts() -> None:
    """Stops a gang as soon as one of its starts got no reply."""
    start_repetition.repeat = lambda state, step, target, run: False


def forget_repeated_starts() -> None:
    """Forgets the first order of a start that was repeated."""
    abandoned_starts.record_order = lambda target, run: None


def stay_on_leaving_targets() -> None:
    """Lets work run on targets that are about to leave."""
    departures.tick = lambda state, step: None
    reducer.TICK_HANDLERS = tuple(
        handler
        for handler in reducer.TICK_HANDLERS
        if handler.__module__ != departures.__name__
    )


def ignore_expiry() -> None:
    """Takes an entry that may have expired for a sign of an exit."""
    exits.HEARTBEATS_BEFORE_EXPIRY = 1e6


def settle_lost_writes() -> None:
    """Takes a write of the roster without a reply for one that failed."""

    def forget_write(schedule, context):
        schedule.unsettled_rosters.clear()

    may_use = roster.may_use

    def may_use_stored(schedule, target):
        schedule.unsettled_rosters.clear()
        return may_use(schedule, target)

    roster._forget_write = forget_write
    roster.may_use = may_use_stored


MUTANTS = (
    mutant.Mutant(
        "work is moved off targets before they leave",
        stay_on_leaving_targets,
        ("tests.test_batch_departures",),
    ),
    mutant.Mutant(
        "a start without a reply is repeated while its gang waits",
        stop_incomplete_starts,
        LOST_STARTS,
    ),
    mutant.Mutant(
        "the first order of a repeated start is stopped after a restart",
        forget_repeated_starts,
        LOST_STARTS,
    ),
    mutant.Mutant(
        "starts that were given up are stopped again after a restart",
        forget_abandoned_starts,
        RESTARTS,
    ),
    mutant.Mutant(
        "an exit is proved by an entry that goes before it can expire",
        ignore_expiry,
        ("tests.test_batch_draining",),
    ),
    mutant.Mutant(
        "ends are acknowledged right after the target has answered",
        acknowledge_at_any_time,
        RESTARTS,
    ),
    mutant.Mutant(
        "a roster whose write has no reply is not forgotten",
        settle_lost_writes,
        LATE_WRITES,
    ),
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
