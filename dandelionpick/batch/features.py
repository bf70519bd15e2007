"""Optional parts of the scheduler that settings switch on."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Features:
    """Optional parts of the scheduler that settings switch on.

    Attributes:
        target_reliability: judge targets by what their runs did.
        departures: move work off targets before they leave.
        avoid_slow_targets: with target_reliability, start urgent work and gangs
            on slow targets last.
        learn_run_times: expect run times from those of finished runs.
        order_by_run_times: with learn_run_times, order work by the run times
            that are expected in place of the callers' estimates.
        fair_shares: order waiting work by what its organisation uses.
        gang_reservations: keep capacity for gangs that have waited long.
    """

    target_reliability: bool = False
    departures: bool = False
    avoid_slow_targets: bool = False
    learn_run_times: bool = False
    order_by_run_times: bool = False
    fair_shares: bool = False
    gang_reservations: bool = False
