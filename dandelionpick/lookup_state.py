"""State of lookups for answers that this instance may not have."""

import dataclasses
import enum

from dandelionpick import caller_messages
from dandelionpick import ids


class Stage(enum.Enum):
    """What a lookup queries, or WAITING for the next round."""

    PEERS = "peers"
    EXECUTORS = "executors"
    CLAIM = "claim"
    WAITING = "waiting"


@dataclasses.dataclass(slots=True, eq=False)
class Lookup:
    """One lookup of an answer, for a fetch or a cancellation.

    Attributes:
        wait_until_s: monotonic seconds until which the caller waits.
        pending_calls: queries of the current stage without a reply.
        incomplete: whether a query failed, so that absence is not proved.
        best_answer: the answer of this round with the highest precedence.
        next_round_s: monotonic seconds of the next round in stage WAITING.
    """

    organisation: ids.OrganisationId
    key: ids.RequestKey
    exchange_id: ids.ExchangeId
    wait_until_s: float
    trace: str
    stage: Stage = Stage.PEERS
    pending_calls: int = 0
    incomplete: bool = False
    best_answer: caller_messages.Answer | None = None
    next_round_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Lookups:
    """All lookups in progress, by the exchange that each answers."""

    active: dict[ids.ExchangeId, Lookup] = dataclasses.field(
        default_factory=dict
    )
