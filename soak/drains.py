"""Checks that targets that announce that they leave get no new work."""

import dataclasses
from collections.abc import Iterable

from soak import disturbances as disturbances_lib
from soak import ledger as ledger_lib
from soak import plan

# A scheduler in touch starts nothing on a target this long after its entry
# said that it leaves.
BOUND_S = 2.5
# After these, a scheduler may not know what the store has.
DISTURBING = (plan.ProcessFault, plan.LinkFault, plan.StoreFault)


@dataclasses.dataclass
class Drain:
    """A target that leaves.

    Attributes:
        target: the target.
        stored_s: when its entry said so, on the system's monotonic clock.
        ended_s: when it was gone; None if it still was there.
        starts_s: when the orders that started work there were sent.
    """

    target: str
    stored_s: float
    ended_s: float | None = None
    starts_s: list[float] = dataclasses.field(default_factory=list)


def check(
    drains: Iterable[Drain],
    disturbances: list[disturbances_lib.Disturbance],
    ledger: ledger_lib.Ledger,
) -> None:
    """Checks the starts before the first disturbance of each drain.

    Drains that were disturbed before the bound has passed are not checked.
    """
    for drain in drains:
        until_s = disturbances_lib.undisturbed_until_s(
            drain.stored_s, disturbances, DISTURBING
        )
        if drain.ended_s is not None:
            until_s = min(until_s, drain.ended_s)
        if until_s < drain.stored_s + BOUND_S:
            continue
        late = [
            f"{sent_s - drain.stored_s:.1f}"
            for sent_s in drain.starts_s
            if drain.stored_s + BOUND_S < sent_s < until_s
        ]
        ledger.check(
            ledger_lib.Promise.NOTHING_ON_LEAVING_TARGETS,
            not late,
            f"{drain.target} is sent work {', '.join(late)} s after its entry"
            " said that it leaves",
        )
