"""Tells when the process of the previous scheduler had ended.

A scheduler uses targets only after it has written a roster of its own, so that
the roster that its successor reads names the last process that may have started
or extended anything. An instance runs one process at a time: when another one
of that instance has started, the earlier one has ended.
"""

import dataclasses

from dandelionpick.batch import model


@dataclasses.dataclass(slots=True)
class Predecessor:
    """The process of the previous scheduler.

    Attributes:
        instance: its instance; "" if it is not known, or if runs of a scheduler
            before it may still be somewhere.
        incarnation: its process.
        ended_s: it had ended by then; inf if that is not known.
    """

    instance: str = ""
    incarnation: str = ""
    ended_s: float = float("inf")


def of_roster(roster: model.Roster) -> Predecessor:
    """Returns the writer of a roster that was read at a takeover."""
    if not roster.settled:
        return Predecessor()
    return Predecessor(roster.scheduler, roster.incarnation)


def record_process(
    predecessor: Predecessor,
    instance: str,
    incarnation: str,
    started_s: float,
) -> None:
    """Records that an instance runs a process that started at a time."""
    if instance == predecessor.instance != "" and (
        incarnation != predecessor.incarnation
    ):
        predecessor.ended_s = min(predecessor.ended_s, started_s)
