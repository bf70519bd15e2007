"""State of the watches of key prefixes in the store."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Watch:
    """A key prefix that is listed once and then watched for changes.

    Attributes:
        wait_s: longest wait of one call; bounds how long a dead connection goes
            undetected. If 0, the prefix is listed and not watched.
        relists: whether the prefix is listed again after a call that failed or
            was refused.
        generation: increases when the watch restarts; replies to calls of an
            earlier generation are ignored.
        pending: whether a call is in progress, or no further call is to be
            made.
        retry_at_s: no call is made before this time.
        listed: whether all pages of the listing were read.
        last_listed_key: last key of the pages read so far.
        listing_revision: the store's revision at the first page.
        listing_sent_s: when the call for the first page was sent.
        listed_keys: keys of the pages read so far.
        revisions: last applied revision of each key.
        revision: all changes up to this revision were applied.
        confirmed_s: the applied items were complete at this time.
    """

    prefix: str
    wait_s: float
    relists: bool = False
    generation: int = 0
    pending: bool = False
    retry_at_s: float = float("-inf")
    listed: bool = False
    last_listed_key: str = ""
    listing_revision: int = 0
    listing_sent_s: float = float("-inf")
    listed_keys: set[str] = dataclasses.field(default_factory=set)
    revisions: dict[str, int] = dataclasses.field(default_factory=dict)
    revision: int = 0
    confirmed_s: float = float("-inf")


class CatalogWatch(Watch):
    """Watches the operators' configuration."""


class SchedulerWatch(Watch):
    """Watches the scheduler's key."""


class TargetsWatch(Watch):
    """Watches the targets' entries."""


class EvacuationsWatch(Watch):
    """Watches the failure domains that operators evacuate."""


class IntakeWatch(Watch):
    """Watches accepted jobs and cancellations, and the scheduler's key."""


class ProgressWatch(Watch):
    """Lists the progress of jobs once, at takeover."""
