"""Decides which targets are listed next, and how often idle ones are."""

from dandelionpick.batch import schedule_state

# Interval between listings of a target that runs nothing, so that its clock is
# known and a dead target is found before work is sent to it.
IDLE_PERIOD_S = 3.0
# The same while the store does not confirm that there is no successor.
UNCONFIRMED_IDLE_PERIOD_S = 1.2
# Listings of targets that run nothing that may be in progress at the same time.
# Others wait, so that a scheduler with hundreds of targets does not keep its
# event loop busy with them.
MAX_IDLE_LISTINGS = 16
# The same for targets that a new scheduler lists for the first time, which it
# waits for.
MAX_FIRST_LISTINGS = 64


def list_idle_targets_sooner(schedule: schedule_state.Schedule) -> None:
    """Shortens the interval while the store does not confirm the scheduler."""
    for target in schedule.targets.values():
        if target.listed and not target.failed and not target.runs:
            due_s = target.obeyed_s + UNCONFIRMED_IDLE_PERIOD_S
            target.poll_at_s = min(target.poll_at_s, due_s)


def due_targets(
    schedule: schedule_state.Schedule, now_s: float
) -> list[schedule_state.Target]:
    """Returns the targets to list now: those whose runs need a lease first.

    Of the others, which run nothing, at most a few are listed at a time. Among
    those that were not listed so far, the one that was tried last comes last.
    """
    busy, first, idle = [], [], []
    listing_first = listing_idle = 0
    for target in schedule.targets.values():
        if target.poll_pending:
            listing_first += not target.listed
            listing_idle += target.listed and not target.runs
        elif now_s < target.poll_at_s:
            continue
        elif target.runs:
            busy.append(target)
        elif target.listed:
            idle.append(target)
        else:
            first.append(target)
    busy.sort(key=lambda target: target.lease_ends_s)
    first.sort(key=lambda target: target.poll_sent_s)
    idle.sort(key=lambda target: target.poll_at_s)
    first_room = max(0, MAX_FIRST_LISTINGS - listing_first)
    idle_room = max(0, MAX_IDLE_LISTINGS - listing_idle)
    return busy + first[:first_room] + idle[:idle_room]
