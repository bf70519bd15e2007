"""Edits in progress on one instance."""

import dataclasses
import enum

from dandelionpick import ids
from dandelionpick import operator_messages


class Phase(enum.Enum):
    """What an edit waits for."""

    WAITING = "waiting"
    READING = "reading"
    COMPARING = "comparing"
    WRITING = "writing"
    CONFIRMING = "confirming"


@dataclasses.dataclass(slots=True)
class PendingEdit:
    """An edit that has not been answered.

    Attributes:
        deadline_s: monotonic seconds at which it is refused.
        next_attempt_s: earliest time of the next attempt.
        attempt: number of the current attempt; replies to calls of an earlier
            one are ignored.
        read_version: version of the store's key that this attempt read.
        pending_peers: peers whose revision is still being compared.
        write_sent: whether a write was sent in any attempt.
        unconfirmed_version: the version that a write expected whose effect
            is unknown; None if there is no such write.
    """

    exchange_id: ids.ExchangeId
    message: operator_messages.EditTree
    deadline_s: float
    trace: str = ""
    phase: Phase = Phase.WAITING
    next_attempt_s: float = float("-inf")
    attempt: int = 0
    read_version: int = 0
    pending_peers: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    write_sent: bool = False
    unconfirmed_version: int | None = None


@dataclasses.dataclass(slots=True)
class AcceptedEdit:
    """An accepted edit that is answered when all known instances have it.

    Attributes:
        reply_deadline_s: monotonic seconds at which it is answered even if
            some instances do not have it yet.
    """

    exchange_id: ids.ExchangeId
    edit_id: ids.EditId
    revision: int
    reply_deadline_s: float
    repeated: bool


@dataclasses.dataclass(slots=True)
class Edits:
    """Edits of one instance; the head of the queue is in progress."""

    queue: list[PendingEdit] = dataclasses.field(default_factory=list)
    accepted: list[AcceptedEdit] = dataclasses.field(default_factory=list)
