"""Scheduling policies that simulations compare.

The product's policy, and variants that replace one of its rules or switch on a
part of the scheduler.
"""

import dataclasses
import types
from collections.abc import Callable
from typing import Any

from dandelionpick.batch import features as features_lib
from dandelionpick.batch import free_capacity
from dandelionpick.batch import headroom
from dandelionpick.batch import locality
from dandelionpick.batch import placement
from dandelionpick.batch import preemption
from dandelionpick.batch import preemption_gain
from dandelionpick.batch import scheduling


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A scheduling policy.

    Attributes:
        apply: patches the loaded modules.
        features: the parts of the scheduler that are switched on.
        has_history: the store holds run times of an earlier day.
    """

    apply: Callable[[], None]
    features: features_lib.Features = features_lib.Features()
    has_history: bool = False


def _unchanged() -> None:
    """Keeps the product's policy as it is."""


def _early_remote_placement() -> None:
    """Lets a step run in the wrong rack after one estimated run time."""
    locality.BUSY_WAIT_FACTOR = locality.IDLE_WAIT_FACTOR


def _first_come_first_served() -> None:
    """Starts steps in the order in which their jobs were accepted."""
    urgency = scheduling.urgency

    def by_acceptance(
        schedule: Any, job: Any, step_run: Any, rank: float
    ) -> Any:
        due_s = urgency(schedule, job, step_run, rank)[-1]
        return (float(job.accepted_revision), due_s, due_s)

    scheduling.urgency = by_acceptance


def _first_fit() -> None:
    """Chooses targets by name instead of by the capacity left on them."""
    fill = placement._pack

    def first_fit(demand: Any, racks: Any) -> Any:
        candidates = [
            candidate for rack in racks for candidate in rack.candidates
        ]
        candidates.sort(key=lambda candidate: candidate.target)
        numbered = [
            dataclasses.replace(candidate, penalty=float(number))
            for number, candidate in enumerate(candidates)
        ]
        return fill(demand, [free_capacity.Rack(numbered)])

    placement._pack = first_fit


def _no_headroom() -> None:
    """Reserves no capacity for urgent work."""
    headroom.GANG_HEADROOM_FACTOR = 0.0


# Answers as without learnt run times.
_ESTIMATES = types.SimpleNamespace(
    expected_s=lambda schedule, job, step_run: step_run.spec.estimate_ms / 1e3,
    job_expected_s=lambda schedule, job: sum(
        spec.estimate_ms / 1e3 for spec in job.record.spec.steps
    ),
    remaining_s=lambda schedule, run, now_s: preemption_gain.remaining_s(
        run, now_s
    ),
)


def _by_estimates(module: types.ModuleType) -> Callable[[], None]:
    """Lets one module go by the callers' estimates."""

    def apply() -> None:
        vars(module)["run_times"] = _ESTIMATES

    return apply


LEARNING = features_lib.Features(learn_run_times=True, order_by_run_times=True)
POLICIES: dict[str, Policy] = {
    "product": Policy(_unchanged),
    "no-headroom": Policy(_no_headroom),
    "far-early": Policy(_early_remote_placement),
    "first-come": Policy(_first_come_first_served),
    "first-fit": Policy(_first_fit),
    "reliability": Policy(
        _unchanged,
        features_lib.Features(target_reliability=True, avoid_slow_targets=True),
    ),
    "fair-shares": Policy(_unchanged, features_lib.Features(fair_shares=True)),
    "gang-reservations": Policy(
        _unchanged, features_lib.Features(gang_reservations=True)
    ),
    "contention": Policy(
        _unchanged,
        features_lib.Features(fair_shares=True, gang_reservations=True),
    ),
    "learnt": Policy(_unchanged, LEARNING),
    "learnt-before": Policy(_unchanged, LEARNING, has_history=True),
    **{
        f"learnt-not-{name}": Policy(_by_estimates(module), LEARNING, True)
        for name, module in (
            ("order", scheduling),
            ("preemption", preemption),
            ("locality", locality),
            ("headroom", headroom),
        )
    },
}
