"""Draws the faults of a run from its seed."""

import dataclasses
import enum
import random
from collections.abc import Callable
from typing import Any
from typing import NewType

import msgspec

from dandelionpick import ids

InstanceNumber = NewType("InstanceNumber", int)
TargetNumber = NewType("TargetNumber", int)

DOMAINS = tuple(map(ids.FailureDomain, "abc"))

# Faults come in series, so that their effects overlap.
MAX_SERIES = 4
SERIES_GAP_S = (0.0, 1.5)
PAUSE_BETWEEN_S = (2.0, 8.0)
# Longer than a withdrawn key may be accepted by an instance that is cut off.
LINK_FAULT_S = (0.5, 12.0)
# The first faults come once the instances serve; the last ones end early
# enough for their effects to be seen.
FIRST_S = 3.0
LAST_SHARE = 0.8


class ProcessAction(enum.Enum):
    """What happens to the process of an instance; it is started again."""

    KILL = "kill"
    PAUSE = "pause"
    STOP = "stop"
    RELOAD = "reload"


class LinkAction(enum.Enum):
    """What happens to the connections of an instance to the store."""

    RESET = "reset"
    SILENCE = "silence"
    DELAY = "delay"


class StoreAction(enum.Enum):
    """What happens to the store, for all callers.

    With LATE_WRITES, a share of the writes gets no reply and takes effect
    later; with LOST_REPLIES at once.
    """

    REFUSE = "refuse"
    SILENCE = "silence"
    LOST_REPLIES = "lost_replies"
    LATE_WRITES = "late_writes"
    FORGET_HISTORY = "forget_history"
    END_LEASES = "end_leases"


class TargetAction(enum.Enum):
    """What happens to a target.

    With LATE_ORDERS, orders get no reply and are carried out later; with
    LOST_REPLIES, all calls are carried out at once and get no reply. With
    DRAIN, the target announces that it leaves, and does so at the end of the
    fault. With ODD_ENTRY, another writer adds an entry that can't be read.
    """

    CRASH = "crash"
    SILENCE = "silence"
    SLOW = "slow"
    FAIL_RUNS = "fail_runs"
    LATE_ORDERS = "late_orders"
    LOST_REPLIES = "lost_replies"
    DRAIN = "drain"
    ODD_ENTRY = "odd_entry"


class EditAction(enum.Enum):
    """What an operator changes in the configuration."""

    ADD_ROUTE = "add_route"
    WITHDRAW_KEY = "withdraw_key"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault.

    Attributes:
        at_s: seconds from the start of the run.
        for_s: seconds until it ends; 0 for one that has no end.
    """

    at_s: float
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessFault(Fault):
    """A fault of an instance's process.

    Attributes:
        at_scheduler: concerns the scheduler of the moment, if there is one, in
            place of the instance.
    """

    action: ProcessAction
    instance: InstanceNumber
    at_scheduler: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFault(Fault):
    """A fault of an instance's connections to the store."""

    action: LinkAction
    instance: InstanceNumber


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFault(Fault):
    """A fault of the store."""

    action: StoreAction


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFault(Fault):
    """A fault of a target."""

    action: TargetAction
    target: TargetNumber


@dataclasses.dataclass(frozen=True, slots=True)
class Edit(Fault):
    """A change of the configuration."""

    action: EditAction


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation(Fault):
    """An operator evacuates a failure domain until the end of the fault."""

    domain: ids.FailureDomain


@dataclasses.dataclass(frozen=True, slots=True)
class Flood(Fault):
    """A caller submits a wide job of the lowest priority.

    Attributes:
        tasks: number of tasks, each of which needs one accelerator.
        work_s: work of each task in seconds.
    """

    tasks: int
    work_s: float


KINDS: dict[str, type[Fault]] = {
    kind.__name__: kind
    for kind in (
        ProcessFault,
        LinkFault,
        StoreFault,
        TargetFault,
        Edit,
        Evacuation,
        Flood,
    )
}


def draw(
    seed: int,
    duration_s: float,
    instances: int,
    targets: int,
    pace: float = 1.0,
) -> list[Fault]:
    """Draws the faults of a run; the same arguments give the same faults.

    Args:
        seed: the seed.
        duration_s: length of the run in seconds.
        instances: number of instances.
        targets: number of targets.
        pace: divides the pauses between series of faults.

    Returns:
        The faults in the order of their times.
    """
    chance = random.Random(seed)
    faults: list[Fault] = []
    at_s = FIRST_S
    while at_s < duration_s * LAST_SHARE:
        series_s = at_s
        for _ in range(chance.randint(1, MAX_SERIES)):
            faults.append(_draw_fault(chance, series_s, instances, targets))
            series_s += chance.uniform(*SERIES_GAP_S)
        at_s = series_s + chance.uniform(*PAUSE_BETWEEN_S) / pace
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_fault(
    chance: random.Random, at_s: float, instances: int, targets: int
) -> Fault:
    kinds: list[tuple[float, Callable[[], Fault]]] = [
        (4.0, lambda: _draw_process_fault(chance, at_s, instances)),
        (
            2.0,
            lambda: LinkFault(
                at_s,
                chance.uniform(*LINK_FAULT_S),
                chance.choice(list(LinkAction)),
                InstanceNumber(chance.randrange(instances)),
            ),
        ),
        (2.0, lambda: _draw_store_fault(chance, at_s)),
        (
            3.0,
            lambda: TargetFault(
                at_s,
                chance.uniform(0.5, 8.0),
                chance.choice(list(TargetAction)),
                TargetNumber(chance.randrange(targets)),
            ),
        ),
        (1.0, lambda: Edit(at_s, 0.0, chance.choice(list(EditAction)))),
        (
            0.5,
            lambda: Evacuation(
                at_s, chance.uniform(4.0, 15.0), chance.choice(DOMAINS)
            ),
        ),
    ]
    weights = [weight for weight, _ in kinds]
    _, build = chance.choices(kinds, weights)[0]
    return build()


def _draw_process_fault(
    chance: random.Random, at_s: float, instances: int
) -> ProcessFault:
    return ProcessFault(
        at_s,
        chance.uniform(0.2, 5.0),
        chance.choice(list(ProcessAction)),
        InstanceNumber(chance.randrange(instances)),
        at_scheduler=chance.random() < 0.4,
    )


def _draw_store_fault(chance: random.Random, at_s: float) -> StoreFault:
    action = chance.choice(list(StoreAction))
    has_end = action not in (
        StoreAction.FORGET_HISTORY,
        StoreAction.END_LEASES,
    )
    return StoreFault(
        at_s, chance.uniform(0.5, 5.0) if has_end else 0.0, action
    )


def to_record(fault: Fault) -> dict[str, Any]:
    """Returns a fault as it is written to the report."""
    return {
        "fault": type(fault).__name__,
        **{
            name: value.value if isinstance(value, enum.Enum) else value
            for name, value in dataclasses.asdict(fault).items()
        },
    }


def from_record(record: dict[str, Any]) -> Fault:
    """Returns the fault of a record.

    Raises:
        KeyError: the record names no known kind of fault.
        msgspec.ValidationError: a field is missing or has a wrong value.
    """
    fields = dict(record)
    return msgspec.convert(fields, KINDS[fields.pop("fault")])
