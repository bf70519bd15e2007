"""What can keep work from starting; the values are for log lines."""

import enum


class Obstacle(enum.Enum):
    """What keeps tasks from starting.

    The first ones hold back all work, the next ones a step, and those from
    PLANNED on a task that has a run which does not work.
    """

    READING = "the takeover still reads the store"
    FENCING = "the takeover still lists targets"
    UNCONFIRMED_LEADERSHIP = "nothing shows that there is no other scheduler"
    SUSPENDED = "the lease was not renewed since the process was suspended"
    UNKNOWN_EVACUATIONS = "evacuations are not known"
    LEAVING = "this instance is shutting down"
    ISOLATED = "its job causes an error"
    UNLISTED_TARGETS = "it may be running on targets that were not listed"
    UNSTORED = "its start has to be stored, and the store does not serve"
    STARTS_IN_FLIGHT = "too many other starts are in progress"
    ROOM = "no target has room for it"
    PLANNED = "its start is being stored"
    UNRESOLVED = "its start got no reply"
    STOPPING = "its run is being stopped"
    SILENT_TARGET = "the target of its run does not answer"


class TargetObstacle(enum.Enum):
    """What keeps work from starting on a target, apart from its room."""

    UNREGISTERED = "not registered"
    DRAINING = "draining"
    UNLISTED = "not listed yet"
    SILENT = "not answering"
    OUTDATED_ENTRY = "entry of an earlier incarnation"
    EXCEEDED = "over its capacity"
    BACKED_OFF = "refused or lost a start"
    QUARANTINED = "in quarantine"
    UNKNOWN_RUNS = "running unknown work"
    NOT_IN_ROSTER = "not in the roster"
    EVACUATED = "in an evacuated domain"
    ON_PROBATION = "out of use or on probation"
