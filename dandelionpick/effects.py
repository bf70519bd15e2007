"""Effects: outputs of the reducer that the runtime performs."""

import dataclasses
import enum
from typing import Any

from dandelionpick import ids
from dandelionpick import kinds


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """The receiver of a call.

    Attributes:
        service: the interface that is called.
        name: id of the instance or target; "" for the platform's services.
        address: host and port, as in "127.0.0.1:8080".
    """

    service: kinds.Service
    name: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Sends a message; results in Returned or Failed within timeout_s."""

    call_id: ids.CallId
    destination: Destination
    message: Any
    timeout_s: float
    trace: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Respond:
    """Sends the response of a Received exchange, at most once each."""

    exchange_id: ids.ExchangeId
    message: Any


class Component(enum.Enum):
    """Components of the system; the value is the prefix of their log lines."""

    CLAIMS = "claims"
    CONFIGURATION = "configuration"
    DRAIN = "drain"
    JOBS = "jobs"
    MEMBERSHIP = "membership"
    ROUTING = "routing"
    STORE = "store"
    SCHEDULER = "scheduler"
    INTAKE = "intake"
    TARGETS = "targets"


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """Writes a log line.

    Attributes:
        fields: structured fields of the log line, by name.
    """

    component: Component
    text: str
    warning: bool = False
    fields: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Adds to a counter that is declared in `metrics`."""

    metric: str
    labels: tuple[str, ...] = ()
    amount: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Observe:
    """Records a value in a histogram that is declared in `metrics`."""

    metric: str
    value: float
    labels: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Exit:
    """Exits the process after a graceful shutdown."""


Effect = Call | Respond | Note | Count | Observe | Exit
