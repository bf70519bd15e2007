"""Fixed series of faults, most of them reported by operators."""

import dataclasses
import enum
import itertools
from collections.abc import Callable
from collections.abc import Iterator

from soak import plan
from soak import run

DURATION_S = 30.0
# The accelerators of a target of the platform's stand-in.
FLOOD_TASKS_PER_TARGET = 8
FLOOD_WORK_S = 8.0


class Scenario(enum.Enum):
    """What operators have reported, targets that leave, and a full pool."""

    SILENT_TARGETS = "silent-targets"
    HAND_OVERS = "hand-overs"
    PAUSED_SCHEDULER = "paused-scheduler"
    RESTARTS = "restarts"
    LOST_ANSWERS = "lost-answers"
    ODD_ENTRIES = "odd-entries"
    LEAVING_TARGETS = "leaving-targets"
    FULL_POOL = "full-pool"


def build(scenario: Scenario, instances: int, targets: int) -> list[plan.Fault]:
    """Returns the faults of a scenario in the order of their times.

    Args:
        scenario: the scenario.
        instances: number of instances.
        targets: number of targets.
    """
    faults = _BUILDERS[scenario](instances, targets)
    return sorted(faults, key=lambda fault: fault.at_s)


def apply(scenario: Scenario, options: run.Options) -> run.Options:
    """Returns options that play a scenario, and are as given otherwise."""
    faults = build(scenario, options.instances, options.targets)
    return dataclasses.replace(
        options,
        duration_s=DURATION_S,
        faults=tuple(faults),
        claims=scenario is Scenario.FULL_POOL,
    )


def _at_scheduler(
    at_s: float, for_s: float, action: plan.ProcessAction
) -> plan.ProcessFault:
    """Concerns the first instance if there is no scheduler at that time."""
    return plan.ProcessFault(
        at_s, for_s, action, plan.InstanceNumber(0), at_scheduler=True
    )


def _at_instance(
    at_s: float, for_s: float, action: plan.ProcessAction, number: int
) -> plan.ProcessFault:
    return plan.ProcessFault(
        at_s, for_s, action, plan.InstanceNumber(number), at_scheduler=False
    )


def _at_target(
    at_s: float, for_s: float, action: plan.TargetAction, number: int
) -> plan.TargetFault:
    return plan.TargetFault(at_s, for_s, action, plan.TargetNumber(number))


def _silence_targets(instances: int, targets: int) -> Iterator[plan.Fault]:
    """Half of the targets are silent or slow for a while, and come back."""
    for number in range(targets // 2):
        yield _at_target(4.0, 2.0, plan.TargetAction.SILENCE, number)
        yield _at_target(9.0, 5.0, plan.TargetAction.SLOW, number)
        yield _at_target(16.0, 6.0, plan.TargetAction.SILENCE, number)


def _hand_over(instances: int, targets: int) -> Iterator[plan.Fault]:
    """The role changes hands in every way, also twice in a row."""
    yield _at_scheduler(4.0, 3.0, plan.ProcessAction.PAUSE)
    yield _at_scheduler(9.0, 2.0, plan.ProcessAction.STOP)
    yield plan.StoreFault(13.0, 0.0, plan.StoreAction.END_LEASES)
    yield _at_scheduler(13.5, 2.0, plan.ProcessAction.PAUSE)
    yield _at_scheduler(17.0, 1.0, plan.ProcessAction.KILL)
    yield _at_scheduler(18.5, 1.0, plan.ProcessAction.KILL)
    yield plan.StoreFault(22.0, 0.0, plan.StoreAction.END_LEASES)


def _pause_scheduler(instances: int, targets: int) -> Iterator[plan.Fault]:
    """The scheduler is paused within and beyond the time of its lease."""
    for at_s, for_s in ((4.0, 0.8), (7.0, 2.0), (12.0, 5.0), (19.0, 3.0)):
        yield _at_scheduler(at_s, for_s, plan.ProcessAction.PAUSE)
    yield _at_target(12.5, 4.0, plan.TargetAction.SILENCE, 0)


def _restart(instances: int, targets: int) -> Iterator[plan.Fault]:
    """All instances restart after a key was withdrawn and targets have left."""
    yield plan.LinkFault(
        3.5, 9.0, plan.LinkAction.SILENCE, plan.InstanceNumber(instances - 1)
    )
    yield plan.Edit(4.0, 0.0, plan.EditAction.WITHDRAW_KEY)
    yield plan.Edit(4.2, 0.0, plan.EditAction.ADD_ROUTE)
    yield _at_target(4.0, 3.0, plan.TargetAction.DRAIN, 0)
    for number in range(instances):
        yield _at_instance(6.0, 0.5, plan.ProcessAction.KILL, number)
        yield _at_instance(13.0, 0.0, plan.ProcessAction.RELOAD, number)
        stop_s = 14.0 + 2.0 * (number % 5)
        yield _at_instance(stop_s, 0.5, plan.ProcessAction.STOP, number)
    yield _at_target(16.0, 3.0, plan.TargetAction.DRAIN, targets - 1)


def _lose_answers(instances: int, targets: int) -> Iterator[plan.Fault]:
    """Writes and orders take effect, at once or late, without an answer."""
    yield plan.StoreFault(4.0, 4.0, plan.StoreAction.LOST_REPLIES)
    yield plan.StoreFault(14.0, 4.0, plan.StoreAction.LATE_WRITES)
    actions = itertools.cycle(
        (plan.TargetAction.LOST_REPLIES, plan.TargetAction.LATE_ORDERS)
    )
    for number, action in zip(range(targets), actions, strict=False):
        yield _at_target(5.0, 4.0, action, number)
        yield _at_target(15.0, 4.0, action, number)
    for at_s in (7.0, 12.0, 17.0):
        yield _at_scheduler(at_s, 1.0, plan.ProcessAction.KILL)


def _add_odd_entries(instances: int, targets: int) -> Iterator[plan.Fault]:
    """Another writer leaves odd entries, which instances read at a start."""
    for number in range(targets):
        at_s = 4.0 + 0.5 * (number % 20)
        yield _at_target(at_s, 0.0, plan.TargetAction.ODD_ENTRY, number)
    yield _at_scheduler(6.0, 0.5, plan.ProcessAction.KILL)
    yield _at_scheduler(12.0, 0.5, plan.ProcessAction.STOP)
    for number in range(instances):
        yield _at_instance(20.0, 0.5, plan.ProcessAction.KILL, number)


def _drain_targets(instances: int, targets: int) -> Iterator[plan.Fault]:
    """A third of the targets leave, one after the other, as others crash."""
    for number in range(targets // 3):
        at_s = 4.0 + 8.0 * (number % 2)
        yield _at_target(at_s, 7.0, plan.TargetAction.DRAIN, number)
    yield _at_target(5.0, 3.0, plan.TargetAction.CRASH, targets - 1)


def _fill_pool(instances: int, targets: int) -> Iterator[plan.Fault]:
    """Work of the lowest priority needs all accelerators while keys change."""
    for at_s in (2.0, 10.0, 18.0):
        tasks = FLOOD_TASKS_PER_TARGET * targets
        yield plan.Flood(at_s, 0.0, tasks, FLOOD_WORK_S)
    yield plan.Edit(6.0, 0.0, plan.EditAction.ADD_ROUTE)
    yield plan.Edit(14.0, 0.0, plan.EditAction.WITHDRAW_KEY)


_BUILDERS: dict[Scenario, Callable[[int, int], Iterator[plan.Fault]]] = {
    Scenario.SILENT_TARGETS: _silence_targets,
    Scenario.HAND_OVERS: _hand_over,
    Scenario.PAUSED_SCHEDULER: _pause_scheduler,
    Scenario.RESTARTS: _restart,
    Scenario.LOST_ANSWERS: _lose_answers,
    Scenario.ODD_ENTRIES: _add_odd_entries,
    Scenario.LEAVING_TARGETS: _drain_targets,
    Scenario.FULL_POOL: _fill_pool,
}
