"""Decides whether a target that drained has exited.

Closed connections, listings without an answer and an entry that is gone may
each be due to a cut, and so may all of them together. A cut can't make the
store remove an entry early: it does so when the target has left, or after three
heartbeats without a report.
"""

import dataclasses

# A target that serves on without its entry answers a listing within this time.
EXIT_CHECK_S = 0.5
# An exiting target removes its entry as it stops answering. The listing that
# fails then was sent up to a second before, and the store may be slow to tell
# of the removal. An entry that expires goes later: two heartbeats after the
# target has fallen silent at the earliest.
MAX_EXIT_S = 2.0
# A reply may arrive this long after the target that sent it has left.
LAST_REPLY_S = 0.1
# An entry that goes within this many heartbeats of the last report has not
# expired. It is below three because heartbeats are approximate.
HEARTBEATS_BEFORE_EXPIRY = 2.5


@dataclasses.dataclass(slots=True)
class ExitEvidence:
    """What is known about the exit of a target.

    Attributes:
        departed: it was draining when its entry was removed, or when it
            reported its restart.
        reported_s: it has written its last entry after this time; -inf if that
            is not known.
        unregistered_s: when the removal of its entry was seen; inf before.
        stayed: it was silent long before the removal, or has answered since.
        closed_s: when its machine first closed a connection, or refused one,
            since it last answered; inf if it did not.
        unanswered_s: when the last listing that failed was sent.
    """

    departed: bool = False
    reported_s: float = float("-inf")
    unregistered_s: float = float("inf")
    stayed: bool = False
    closed_s: float = float("inf")
    unanswered_s: float = float("-inf")

    def record_report(self, after_s: float) -> None:
        """Records an entry that was written after a time."""
        self.departed = self.stayed = False
        self.reported_s = after_s
        self.unregistered_s = float("inf")

    def record_removal(
        self, now_s: float, is_draining: bool, silent_s: float
    ) -> None:
        """Records that the entry was removed.

        Args:
            now_s: when that was seen.
            is_draining: whether the target had reported that it drains.
            silent_s: how long it had not answered listings.
        """
        self.departed = is_draining
        self.stayed = silent_s > MAX_EXIT_S
        self.unregistered_s = now_s

    def record_answer(self, now_s: float) -> None:
        """Records that it has answered a listing."""
        self.closed_s = float("inf")
        self.stayed |= now_s > self.unregistered_s + LAST_REPLY_S

    def proves_exit(self, heartbeat_s: float) -> bool:
        """Returns whether a target that fails to answer has exited.

        Args:
            heartbeat_s: interval of its reports; 0 if unknown, in which case
                nothing shows an exit.
        """
        not_expired_s = self.reported_s + HEARTBEATS_BEFORE_EXPIRY * heartbeat_s
        return (
            self.departed
            and not self.stayed
            and self.unregistered_s < not_expired_s
            and self.unanswered_s > self.closed_s
            and self.unanswered_s > self.unregistered_s + EXIT_CHECK_S
        )
