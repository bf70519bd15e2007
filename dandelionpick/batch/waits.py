"""What the scheduler has observed of steps that wait."""

import collections
import dataclasses

from dandelionpick import ids
from dandelionpick.batch import obstacles

StepKey = tuple[ids.JobId, int, int]


@dataclasses.dataclass(slots=True)
class Wait:
    """A step of which not all open tasks are at work.

    Attributes:
        counts: how many tasks wait, by what they wait for.
        targets: the targets that they wait for, if any.
        since_s: when tasks were first seen to wait for the same.
        is_noted: it was logged.
    """

    counts: collections.Counter[obstacles.Obstacle]
    targets: tuple[ids.TargetId, ...]
    since_s: float
    is_noted: bool = False


@dataclasses.dataclass(slots=True)
class Waits:
    """The steps that wait, at the last review.

    Attributes:
        steps: the waits by job, occurrence and step.
        reviewed_s: when they were last reviewed.
        obstacle: what keeps everything from starting.
        obstacle_s: when that was first seen.
        is_noted: `obstacle` was logged.
    """

    steps: dict[StepKey, Wait] = dataclasses.field(default_factory=dict)
    reviewed_s: float = float("-inf")
    obstacle: obstacles.Obstacle | None = None
    obstacle_s: float = float("-inf")
    is_noted: bool = False

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of waits, by metric."""
        room = obstacles.Obstacle.ROOM
        return {
            "waiting_steps": len(self.steps),
            "held_back_steps": sum(
                wait.counts.keys() != {room} for wait in self.steps.values()
            ),
        }
