"""What the scheduler has observed of evacuations."""

import dataclasses
from collections.abc import Mapping

from dandelionpick import ids


@dataclasses.dataclass(slots=True)
class Evacuation:
    """An evacuation of a failure domain.

    Attributes:
        since_ms: Unix milliseconds at which this scheduler learnt of it.
        targets: targets that were registered in the domain and may still run
            something.
        runs: number of runs there, by target, without targets that have none.
        announced: its begin was logged.
        is_empty: nothing ran there when it was last looked at.
    """

    since_ms: int
    targets: set[ids.TargetId] = dataclasses.field(default_factory=set)
    runs: Mapping[ids.TargetId, int] = dataclasses.field(default_factory=dict)
    announced: bool = False
    is_empty: bool = False


@dataclasses.dataclass(slots=True)
class Evacuations:
    """The evacuations in progress.

    Attributes:
        by_domain: the evacuations, by failure domain.
        covers_all: no target is outside of the evacuated domains.
        is_outdated: the store serves other calls, but has not told about
            evacuations for too long.
    """

    by_domain: dict[ids.FailureDomain, Evacuation] = dataclasses.field(
        default_factory=dict
    )
    covers_all: bool = False
    is_outdated: bool = False

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of evacuations, by metric."""
        return {
            "evacuated_domains": len(self.by_domain),
            "evacuated_runs": sum(
                sum(evacuation.runs.values())
                for evacuation in self.by_domain.values()
            ),
        }
