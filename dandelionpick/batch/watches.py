"""Watches of prefixes of the store, as data."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Watch:
    """A prefix whose items this instance follows.

    Attributes:
        wait_s: longest wait of one call; bounds how long a silent connection
            goes unnoticed.
        serial: rises when the watch starts anew; replies to older calls are
            ignored.
        pending: a call is in progress.
        retry_s: no call before this time.
        listed: all pages of the first listing were read.
        page_after: last key of the pages read so far.
        first_revision: the store's revision at the first page.
        seen: keys of the pages read so far.
        known: revision of each item.
        revision: changes up to this one are known.
        confirmed_s: what is known was complete at this time.
    """

    prefix: str
    wait_s: float
    serial: int = 0
    pending: bool = False
    retry_s: float = float("-inf")
    listed: bool = False
    page_after: str = ""
    first_revision: int = 0
    seen: set[str] = dataclasses.field(default_factory=set)
    known: dict[str, int] = dataclasses.field(default_factory=dict)
    revision: int = 0
    confirmed_s: float = float("-inf")


class CatalogWatch(Watch):
    """Follows the operators' configuration."""


class SchedulerWatch(Watch):
    """Follows who the scheduler is."""


class TargetsWatch(Watch):
    """Follows the targets' entries."""


class IntakeWatch(Watch):
    """Follows accepted jobs and cancellations."""


class ProgressWatch(Watch):
    """Reads the progress of jobs once, at takeover."""
