"""State of lookups of answers that this instance does not hold."""

import dataclasses
import enum

from dandelionpick import caller_messages
from dandelionpick import ids


class Stage(enum.Enum):
    """Whom a lookup is asking."""

    PEERS = "peers"
    EXECUTORS = "executors"
    CLAIM = "claim"
    WAITING = "waiting"


@dataclasses.dataclass(slots=True, eq=False)
class Lookup:
    """One fetch of an answer.

    Attributes:
        until_s: monotonic seconds until which the caller waits.
        calls: questions of the current stage without a reply.
        gap: whether some place could not be asked.
        found: the best answer so far that is not final.
        retry_s: monotonic seconds of the next round in stage WAITING.
    """

    organisation: ids.OrganisationId
    key: ids.RequestKey
    exchange_id: ids.ExchangeId
    until_s: float
    trace: str
    stage: Stage = Stage.PEERS
    calls: int = 0
    gap: bool = False
    found: caller_messages.Answer | None = None
    retry_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Lookups:
    """All lookups in progress, by the exchange that each answers."""

    active: dict[ids.ExchangeId, Lookup] = dataclasses.field(
        default_factory=dict
    )
