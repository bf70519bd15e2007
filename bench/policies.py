"""Scheduling policies that the simulations compare with the product's."""

import dataclasses
from collections.abc import Callable
from typing import Any

from dandelionpick.batch import features
from dandelionpick.batch import free_capacity
from dandelionpick.batch import locality
from dandelionpick.batch import scheduling


def _unchanged() -> None:
    """Keeps the product's policy as it is."""


def _early_remote_placement() -> None:
    """Lets a step run in the wrong rack after one estimated run time."""
    locality.BUSY_WAIT_FACTOR = locality.IDLE_WAIT_FACTOR


def _first_come_first_served() -> None:
    """Starts steps in the order in which their jobs were accepted."""
    urgency = scheduling.urgency

    def by_acceptance(job: Any, step_run: Any, rank: float) -> Any:
        due_s = urgency(job, step_run, rank)[-1]
        return (float(job.accepted_revision), due_s, due_s)

    scheduling.urgency = by_acceptance


def _first_fit() -> None:
    """Chooses targets by name instead of by the capacity left on them."""
    fill = scheduling.placement._pack

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

    scheduling.placement._pack = first_fit


def _no_headroom() -> None:
    """Reserves no capacity for urgent work."""
    scheduling.headroom.GANG_HEADROOM_FACTOR = 0.0


POLICIES: dict[str, Callable[[], None]] = {
    "product": _unchanged,
    "no-headroom": _no_headroom,
    "far-early": _early_remote_placement,
    "first-come": _first_come_first_served,
    "first-fit": _first_fit,
    "fair-shares": _unchanged,
    "gang-reservations": _unchanged,
    "contention": _unchanged,
}

# Optional parts of the scheduler that are on under a policy.
FEATURES = {
    "fair-shares": features.Features(fair_shares=True),
    "gang-reservations": features.Features(gang_reservations=True),
    "contention": features.Features(fair_shares=True, gang_reservations=True),
}
