"""Decides to which incarnation of a target a message or a run belongs.

A target may restart under its id and address. The new incarnation knows nothing
of what was sent before, and carries out whatever reaches it. Two signs tell it
from an earlier one: the start time that it reports, and its clock, which starts
anew. Listings have both; the reply to an order has the clock only.
"""

import dataclasses
import enum

from dandelionpick.batch import job_state
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import schedule_state

# Covers the rounding of clocks to milliseconds.
CLOCK_MARGIN_S = 0.005
# A target does not restart, get work and end it within this time.
MIN_RESTART_S = 0.05


class Origin(enum.Enum):
    """Which incarnation has replied to an order.

    KNOWN means the one that was known when the order was sent, and LATER one
    that has started since. If the reply does not tell, it is UNCERTAIN.
    """

    KNOWN = "known"
    LATER = "later"
    UNCERTAIN = "uncertain"


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """What was known of a target's incarnation when an order was sent.

    Attributes:
        started_ms: start of the incarnation in Unix milliseconds; 0 if unknown.
        clock_ms: its clock, as in the last listing.
        listing_sent_s: when that listing was sent.
        listed_s: when it was answered.
        ordered_s: when the order was sent.
    """

    started_ms: int
    clock_ms: int
    listing_sent_s: float
    listed_s: float
    ordered_s: float


def take_snapshot(target: schedule_state.Target, now_s: float) -> Snapshot:
    """Returns what is known of a target's incarnation now."""
    return Snapshot(
        target.started_ms if target.listed else 0,
        target.clock_ms,
        target.listing_sent_s,
        target.clock_s,
        now_s,
    )


def origin_of_reply(
    snapshot: Snapshot, clock_ms: int | None, now_s: float
) -> Origin:
    """Returns which incarnation has replied to an order.

    Args:
        snapshot: what was known when the order was sent.
        clock_ms: the clock in the reply; None if there is none.
        now_s: when the reply arrived.
    """
    if clock_ms is None or not snapshot.started_ms:
        return Origin.UNCERTAIN
    clock_s = clock_ms / 1_000
    drift = leadership_bounds.CLOCK_DRIFT_FACTOR
    # A later incarnation has started after the listing was sent.
    later_age_s = (now_s - snapshot.listing_sent_s) * drift
    if clock_s > later_age_s + CLOCK_MARGIN_S:
        return Origin.KNOWN
    elapsed_s = (snapshot.ordered_s - snapshot.listed_s) / drift
    if clock_s < snapshot.clock_ms / 1_000 + elapsed_s - CLOCK_MARGIN_S:
        return Origin.LATER
    return Origin.UNCERTAIN


def is_other(target: schedule_state.Target, started_ms: int) -> bool:
    """Returns whether a start time is not that of the known incarnation."""
    return 0 not in (target.started_ms, started_ms) and (
        target.started_ms != started_ms
    )


def is_later(target: schedule_state.Target, started_ms: int) -> bool:
    """Returns whether a start time is after that of the known incarnation."""
    return 0 < target.started_ms < started_ms


def is_described(target: schedule_state.Target) -> bool:
    """Returns whether the entry tells of the known incarnation.

    An earlier one may have had another capacity and other labels.
    """
    entry = target.entry
    return entry is not None and not (0 < entry.started_ms < target.started_ms)


def may_acknowledge(target: schedule_state.Target, now_s: float) -> bool:
    """Returns whether ends may be acknowledged to a target now.

    A later incarnation numbers its ends anew. It would forget those of its own
    up to the number, unseen.
    """
    return (
        target.listed
        and not target.failed
        and now_s - target.clock_s < MIN_RESTART_S
    )


def known_start_ms(target: schedule_state.Target) -> int:
    """Returns a target's last known start in Unix milliseconds, or 0."""
    if target.started_ms or target.entry is None:
        return target.started_ms
    return target.entry.started_ms


def start_ms_of(run: job_state.Run) -> int:
    """Returns the start of the incarnation that has a run, or may have it.

    Returns:
        Unix milliseconds; 0 if it is not known. If no incarnation is known to
        have the run, that of the one that it was sent to.
    """
    return run.confirmed_by_ms or run.sent_to_ms


def has_ended_with(run: job_state.Run, started_ms: int) -> bool:
    """Returns whether a run is gone when a later incarnation has started.

    The later one may have carried out a start that the earlier one has not
    confirmed, or may still do so.
    """
    if run.state is job_state.RunState.PLANNED:
        return True
    return 0 < run.confirmed_by_ms < started_ms


def precedes_restart(target: schedule_state.Target, run: job_state.Run) -> bool:
    """Returns whether a run was sent to, or ran on, an earlier incarnation."""
    return 0 < start_ms_of(run) < target.started_ms


def may_still_run(target: schedule_state.Target, recorded_ms: int) -> bool:
    """Returns whether the incarnation in a stored record may be at work.

    What is known of the target may be older than the record.
    """
    known_ms = known_start_ms(target)
    return 0 in (known_ms, recorded_ms) or known_ms <= recorded_ms
