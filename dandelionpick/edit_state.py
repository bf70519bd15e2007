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
        retry_s: earliest time of the next attempt.
        attempt: number of the current attempt; replies to calls of an earlier
            one are ignored.
        read_version: version of the store's key that this attempt read.
        unanswered: peers whose revision is still being compared.
        wrote: whether a write was sent in any attempt.
        maybe_version: the version that a write expected whose effect is not
            known; None if there is no such write.
    """

    exchange_id: ids.ExchangeId
    message: operator_messages.EditTree
    deadline_s: float
    trace: str = ""
    phase: Phase = Phase.WAITING
    retry_s: float = float("-inf")
    attempt: int = 0
    read_version: int = 0
    unanswered: set[ids.InstanceId] = dataclasses.field(default_factory=set)
    wrote: bool = False
    maybe_version: int | None = None


@dataclasses.dataclass(slots=True)
class AcceptedEdit:
    """An accepted edit that is answered when all known instances have it.

    Attributes:
        answer_s: monotonic seconds at which it is answered anyway.
    """

    exchange_id: ids.ExchangeId
    edit_id: ids.EditId
    revision: int
    answer_s: float
    repeated: bool


@dataclasses.dataclass(slots=True)
class Edits:
    """Edits of one instance; the head of the queue is being worked on."""

    queue: list[PendingEdit] = dataclasses.field(default_factory=list)
    accepted: list[AcceptedEdit] = dataclasses.field(default_factory=list)
