"""Table of contract cases that every worker implementation must pass."""

import dataclasses
from collections.abc import Callable
from typing import Any

from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import worker_messages as messages

State = kinds.PartState
Refusal = kinds.PartRefusal
LONG_S = 30.0
SHORT_S = 0.4


def gang_id(name: str) -> ids.GangId:
    """Returns a gang id."""
    return ids.GangId(f"gang-{name}")


def labels(worker: str = "worker") -> messages.PartLabels:
    """Builds labels of a part."""
    return messages.PartLabels(
        ids.OrganisationId("ward"),
        ids.ClassName("scan"),
        ids.RequestKey("key"),
        1,
        [ids.InstanceId(worker)],
    )


def hold(name: str, accelerators: list[int], **fields: Any) -> Any:
    """Builds a hold."""
    defaults = {"tasks": 1, "cores": 1, "memory_gb": 1, "hold_s": LONG_S}
    return messages.HoldPart(
        gang_id(name), labels(), accelerators, **{**defaults, **fields}
    )


def start(name: str, run_s: float = LONG_S, **fields: Any) -> Any:
    """Builds a start."""
    defaults = {"lease_s": LONG_S, "payload": f'{{"run_s": {run_s}}}'}
    return messages.StartPart(gang_id(name), **{**defaults, **fields})


def renew(name: str, lease_s: float = LONG_S) -> Any:
    """Builds a message that confirms a part or renews its lease."""
    return messages.RenewLeases([gang_id(name)], lease_s)


def stop(name: str, checkpoint: bool = False) -> Any:
    """Builds a stop."""
    return messages.StopPart(gang_id(name), checkpoint)


@dataclasses.dataclass(frozen=True)
class Wait:
    """Lets time pass."""

    seconds: float


@dataclasses.dataclass(frozen=True)
class Control:
    """Injects a fault or changes an option."""

    changes: dict[str, Any]


Expected = kinds.PartState | kinds.PartRefusal | Callable[[Any], bool] | None


@dataclasses.dataclass(frozen=True)
class Case:
    """A sequence of actions, each with the expected reply.

    Attributes:
        guards: the failure that the case guards against.
        steps: pairs of an action and the state, refusal or predicate that the
            reply must match; None accepts any reply.
    """

    name: str
    guards: str
    steps: tuple[tuple[Any, Expected], ...]


def reports_part(name: str, state: State | None, **fields: Any) -> Callable:
    """Returns a predicate that expects a part in a report.

    Args:
        name: name of the part's gang.
        state: the expected state; None if the report must not list the part.
        **fields: other expected fields of the part.
    """

    def check(report: messages.WorkerReport) -> bool:
        found = [part for part in report.parts if part.gang_id == gang_id(name)]
        if state is None:
            return not found
        return (
            len(found) == 1
            and found[0].state is state
            and all(
                getattr(found[0], field) == value
                for field, value in fields.items()
            )
        )

    return check


LIST_PARTS = messages.RenewLeases([], LONG_S)

CASES = (
    Case(
        "runs_a_part_to_its_result",
        "a part that ends without a result",
        (
            (hold("a", [0, 1]), State.HELD),
            (start("a", SHORT_S), State.STARTING),
            (renew("a"), reports_part("a", State.RUNNING, ran=True)),
            (Wait(SHORT_S + 0.2), None),
            (
                LIST_PARTS,
                reports_part("a", State.FINISHED, result=f"done {SHORT_S:g}"),
            ),
        ),
    ),
    Case(
        "refuses_accelerators_that_are_taken",
        "two gangs on one accelerator",
        (
            (hold("a", [0, 1]), State.HELD),
            (hold("b", [1, 2]), Refusal.ACCELERATORS_TAKEN),
            (LIST_PARTS, reports_part("b", None)),
            (hold("b", [2, 3]), State.HELD),
        ),
    ),
    Case(
        "refuses_more_than_it_has",
        "overcommitted memory, cores or accelerators",
        (
            (hold("a", [8]), Refusal.ACCELERATORS_TAKEN),
            (hold("b", [0], cores=65), Refusal.ACCELERATORS_TAKEN),
            (hold("c", [0], memory_gb=129), Refusal.ACCELERATORS_TAKEN),
            (hold("d", [0], memory_gb=128), State.HELD),
            (hold("e", [1], memory_gb=1), Refusal.ACCELERATORS_TAKEN),
        ),
    ),
    Case(
        "a_hold_lapses",
        "accelerators that stay reserved after their scheduler crashed",
        (
            (hold("a", [0], hold_s=SHORT_S), State.HELD),
            (Wait(SHORT_S + 0.2), None),
            (LIST_PARTS, reports_part("a", None)),
            (start("a"), Refusal.UNKNOWN_PART),
            (hold("b", [0]), State.HELD),
        ),
    ),
    Case(
        "an_unconfirmed_start_lapses",
        "a part that waits at its barrier forever",
        (
            (hold("a", [0]), State.HELD),
            (start("a", lease_s=SHORT_S), State.STARTING),
            (Wait(SHORT_S + 0.2), None),
            (renew("a"), reports_part("a", State.STOPPED, ran=False)),
        ),
    ),
    Case(
        "an_unrenewed_part_ends",
        "a part that keeps running although no scheduler drives its gang",
        (
            (hold("a", [0]), State.HELD),
            (start("a"), State.STARTING),
            (renew("a", SHORT_S), reports_part("a", State.RUNNING)),
            (Wait(SHORT_S + 0.2), None),
            (LIST_PARTS, reports_part("a", State.STOPPED, ran=True)),
            (renew("a"), reports_part("a", State.STOPPED)),
        ),
    ),
    Case(
        "a_renewal_lengthens_the_lease",
        "a part that ends although its lease is renewed",
        (
            (hold("a", [0]), State.HELD),
            (start("a"), State.STARTING),
            (renew("a", 2 * SHORT_S), reports_part("a", State.RUNNING)),
            (renew("a", LONG_S), reports_part("a", State.RUNNING)),
            (Wait(2 * SHORT_S + 0.2), None),
            (LIST_PARTS, reports_part("a", State.RUNNING)),
        ),
    ),
    Case(
        "holds_and_starts_are_repeatable",
        "a retried message that starts a second part",
        (
            (hold("a", [0]), State.HELD),
            (hold("a", [0]), State.HELD),
            (start("a"), State.STARTING),
            (start("a"), State.STARTING),
            (hold("a", [0]), State.STARTING),
        ),
    ),
    Case(
        "a_stop_before_the_hold_leaves_a_tombstone",
        "a late hold that takes accelerators after the release",
        (
            (stop("a"), Refusal.UNKNOWN_PART),
            (hold("a", [0]), Refusal.TOMBSTONED),
            (start("a"), Refusal.TOMBSTONED),
        ),
    ),
    Case(
        "a_stopped_hold_never_starts",
        "a late start of a gang that was released",
        (
            (hold("a", [0]), State.HELD),
            (stop("a"), lambda reply: not reply.part.ran),
            (start("a"), Refusal.TOMBSTONED),
            (hold("b", [0]), State.HELD),
        ),
    ),
    Case(
        "a_stop_takes_a_checkpoint",
        "work that is lost when a gang is preempted",
        (
            (hold("a", [0]), State.HELD),
            (start("a", checkpoint="2.0"), State.STARTING),
            (renew("a"), reports_part("a", State.RUNNING)),
            (
                stop("a", checkpoint=True),
                lambda reply: (
                    reply.part.ran and float(reply.part.checkpoint) >= 2.0
                ),
            ),
        ),
    ),
    Case(
        "a_stop_tells_that_a_part_had_finished",
        "a finished gang that is treated as lost",
        (
            (hold("a", [0]), State.HELD),
            (start("a", 0.0), State.STARTING),
            (renew("a"), reports_part("a", State.FINISHED)),
            (stop("a"), State.FINISHED),
        ),
    ),
    Case(
        "resumes_from_a_checkpoint",
        "a run that repeats the work before its checkpoint",
        (
            (hold("a", [0]), State.HELD),
            (start("a", checkpoint=str(LONG_S)), State.STARTING),
            (renew("a"), reports_part("a", State.FINISHED)),
        ),
    ),
    Case(
        "a_failing_worker_fails_what_it_starts",
        "a broken worker that is mistaken for a busy one",
        (
            (Control({"fails": True}), None),
            (hold("a", [0]), State.HELD),
            (start("a"), State.STARTING),
            (renew("a"), reports_part("a", State.FAILED, ran=True)),
        ),
    ),
    Case(
        "a_throttled_worker_takes_longer",
        "a straggler that is mistaken for finished",
        (
            (Control({"speed": 0.01}), None),
            (hold("a", [0]), State.HELD),
            (start("a", SHORT_S), State.STARTING),
            (renew("a"), reports_part("a", State.RUNNING)),
            (Wait(SHORT_S + 0.2), None),
            (LIST_PARTS, reports_part("a", State.RUNNING)),
        ),
    ),
    Case(
        "a_restart_forgets_and_is_told_apart",
        "a message for the previous incarnation that takes effect",
        (
            (hold("a", [0]), State.HELD),
            (Control({"restart": True}), None),
            (LIST_PARTS, reports_part("a", None)),
            (start("a"), Refusal.UNKNOWN_PART),
            (hold("b", [0], incarnation="former"), Refusal.WRONG_INCARNATION),
        ),
    ),
    Case(
        "a_leaving_worker_refuses_new_holds_only",
        "running gangs that a planned stop interrupts",
        (
            (hold("a", [0]), State.HELD),
            (Control({"leaving": True}), None),
            (hold("b", [1]), Refusal.LEAVING),
            (start("a"), State.STARTING),
            (renew("a"), lambda report: report.leaving),
            (LIST_PARTS, reports_part("a", State.RUNNING)),
        ),
    ),
    Case(
        "reports_usage_with_a_lag",
        "a scheduler that assumes that reported usage is current",
        (
            (hold("a", [0, 1, 2, 3]), State.HELD),
            (LIST_PARTS, lambda report: report.usage == 0.0),
        ),
    ),
)
