"""State of the rules that apply while work waits for capacity.

It is kept in the scheduler's memory only; a new scheduler starts without it.
"""

import dataclasses
import math
from collections.abc import Mapping

from dandelionpick import ids
from dandelionpick.batch import model

# Use that ended this long ago counts about a third. Peaks of demand last for
# several seconds, and jobs for tens of seconds.
DECAY_S = 20.0

Sender = tuple[ids.PoolName, ids.OrganisationId]


@dataclasses.dataclass(slots=True)
class OrganisationUse:
    """What organisations have used lately, in processor cores.

    Attributes:
        averages: average use by pool and organisation; recent use counts more.
        sampled_s: when the last sample was taken.
        noted_s: no log line says before this time that an organisation's work
            comes later.
    """

    averages: dict[Sender, float] = dataclasses.field(default_factory=dict)
    sampled_s: float = float("-inf")
    noted_s: dict[Sender, float] = dataclasses.field(default_factory=dict)

    def add_sample(self, used: Mapping[Sender, float], now_s: float) -> None:
        """Includes what is in use now in the averages."""
        weight = -math.expm1((self.sampled_s - now_s) / DECAY_S)
        for sender in self.averages.keys() | used.keys():
            earlier = self.averages.get(sender, 0.0)
            current = used.get(sender, 0.0)
            self.averages[sender] = earlier + weight * (current - earlier)
        self.sampled_s = now_s


@dataclasses.dataclass(frozen=True, slots=True)
class GangReservation:
    """Capacity that is kept for a waiting gang.

    Attributes:
        resources: what is reserved, by target; part of it may be in use.
        starts_s: when all of it is expected to be free.
        expires_s: it is dropped at this time.
    """

    pool: ids.PoolName
    resources: dict[ids.TargetId, model.Resources]
    starts_s: float
    expires_s: float


@dataclasses.dataclass(slots=True)
class Contention:
    """State of the rules that apply while work waits for capacity.

    Attributes:
        reservations: capacity kept for gangs, by job, occurrence and step.
        earliest_start_s: when the first gang with a reservation is expected to
            start, by pool.
        plan_at_s: no reservation is planned before this time.
        retry_at_s: a gang that can't get a reservation is not looked at again
            before this time.
    """

    use: OrganisationUse = dataclasses.field(default_factory=OrganisationUse)
    reservations: dict[tuple[ids.JobId, int, int], GangReservation] = (
        dataclasses.field(default_factory=dict)
    )
    earliest_start_s: dict[ids.PoolName, float] = dataclasses.field(
        default_factory=dict
    )
    plan_at_s: float = float("-inf")
    retry_at_s: dict[tuple[ids.JobId, int, int], float] = dataclasses.field(
        default_factory=dict
    )
