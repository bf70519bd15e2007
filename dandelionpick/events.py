"""Events: inputs of the reducer."""

import dataclasses
from typing import Any

from dandelionpick import ids
from dandelionpick import kinds


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """The time of an event and a random number for its handlers.

    Attributes:
        now_s: monotonic seconds.
        unix_ms: Unix time in milliseconds.
        random_value: a random number in [0, 1).
        lag_s: how late the event loop ran its last tick.
    """

    now_s: float
    unix_ms: int
    random_value: float
    lag_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message from a caller, operator or peer that expects a response.

    Attributes:
        exchange_id: identifies the exchange in the Respond effect.
        message: a struct of caller_, operator_ or peer_messages.
        trace: W3C traceparent of the exchange's span, or "".
    """

    moment: Moment
    exchange_id: ids.ExchangeId
    message: Any
    trace: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Returned:
    """An outgoing call returned a reply."""

    moment: Moment
    call_id: ids.CallId
    reply: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """An outgoing call failed without a reply."""

    moment: Moment
    call_id: ids.CallId
    failure: kinds.CallFailure


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event that drives all timeouts and periodic work."""

    moment: Moment


@dataclasses.dataclass(frozen=True, slots=True)
class Stalled:
    """The event loop did not run for stall_s seconds."""

    moment: Moment
    stall_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """A graceful shutdown was requested."""

    moment: Moment


Event = Received | Returned | Failed | Tick | Stalled | StopRequested
