"""State of the calls by which instances detect a failed scheduler."""

import dataclasses

from dandelionpick import ids


@dataclasses.dataclass(frozen=True, slots=True)
class OpenMonitor:
    """A Monitor call of another instance that waits for its reply.

    Attributes:
        until_s: the time by which it has to be answered.
    """

    instance: ids.InstanceId
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may succeed this scheduler.

    Attributes:
        strength: its processor cores.
        called_s: when it last called.
        address: address at which other instances reach it.
        store_rtt_s: its shortest round trip to the store; 0 if unknown.
    """

    strength: float
    called_s: float
    region: ids.Region = ids.Region("")
    address: str = ""
    store_rtt_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Monitoring:
    """State of the Monitor calls, by which instances detect a failed scheduler.

    Attributes:
        monitors: open exchanges of the instances that monitor this scheduler.
        candidates: the instances that may succeed this scheduler.
        rank: how many instances should succeed the scheduler rather than this
            one, according to the scheduler.
        call_pending: whether the call of this instance to the scheduler is in
            progress.
        call_at_s: when to send the next call.
        last_replaced_s: when this instance last replaced a scheduler early.
    """

    monitors: dict[ids.ExchangeId, OpenMonitor] = dataclasses.field(
        default_factory=dict
    )
    candidates: dict[ids.InstanceId, Candidate] = dataclasses.field(
        default_factory=dict
    )
    rank: int = 0
    call_pending: bool = False
    call_at_s: float = float("-inf")
    last_replaced_s: float = float("-inf")
