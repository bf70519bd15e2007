"""When faults were in force, for checks that hold without them only."""

import dataclasses
from collections.abc import Iterable

from soak import plan

# A process counts as in touch if nothing has disturbed it for this long.
CONTACT_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault that is over.

    Attributes:
        began_s: when it began, on the system's monotonic clock.
        ended_s: when it ended.
    """

    fault: plan.Fault
    began_s: float
    ended_s: float


def undisturbed_until_s(
    since_s: float,
    disturbances: Iterable[Disturbance],
    kinds: tuple[type[plan.Fault], ...],
) -> float:
    """Returns until when no fault has disturbed what began at a given time.

    Args:
        since_s: the time.
        disturbances: all faults.
        kinds: kinds of faults that matter.

    Returns:
        When the first fault began that was not over `CONTACT_S` before the
        given time; this may be before it. inf if there was none.
    """
    return min(
        (
            disturbance.began_s
            for disturbance in disturbances
            if isinstance(disturbance.fault, kinds)
            and disturbance.ended_s > since_s - CONTACT_S
        ),
        default=float("inf"),
    )
