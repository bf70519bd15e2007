"""Messages to targets, and their replies."""

import dataclasses
import enum

from dandelionpick import ids
from dandelionpick.batch import model


class TargetState(enum.Enum):
    """State that a target reports."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEntry:
    """A target as it registered itself.

    Attributes:
        started_ms: Unix milliseconds of its start; 0 if unknown. It
            distinguishes incarnations of the same id.
        rack: "" if unknown.
        remaining_s: seconds that a draining target keeps running, at least.
        cold_remaining_s: seconds for which it still works slowly.
    """

    id: ids.TargetId
    address: str
    pool: ids.PoolName
    failure_domain: ids.FailureDomain
    state: TargetState
    capacity: model.Resources
    labels: frozenset[str]
    rack: ids.Rack
    started_ms: int = 0
    remaining_s: float = 0.0
    cold_remaining_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Starts a task.

    Attributes:
        target: the incarnation of the target that is meant.
        epoch: the scheduler's epoch; a target refuses epochs below the highest
            that it has seen.
        lease_until_ms: end of the lease on the target's clock; all its runs end
            then.
        checkpoint: where the task resumes; "" for its beginning.
    """

    target: ids.TargetId
    epoch: ids.Epoch
    task: model.TaskKey
    attempt: ids.Attempt
    payload: str
    lease_until_ms: int
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Stops an attempt, and prevents a start of it that arrives later."""

    target: ids.TargetId
    epoch: ids.Epoch
    task: model.TaskKey
    attempt: ids.Attempt


@dataclasses.dataclass(frozen=True, slots=True)
class ListRuns:
    """Lists runs and ends, and extends the lease of the runs.

    Attributes:
        acknowledged: the target forgets the ends up to this number.
        lease_until_ms: end of the lease on the target's clock; None leaves it
            unchanged.
        wait_s: how long the reply may wait for a new end.
    """

    target: ids.TargetId
    epoch: ids.Epoch
    acknowledged: int
    lease_until_ms: int | None
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A run in progress.

    Attributes:
        checkpoint: the latest checkpoint; "" if there is none.
        percent: how much of the work is done.
    """

    task: model.TaskKey
    attempt: ids.Attempt
    checkpoint: str
    percent: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A run that ended; `number` rises within an incarnation of the target."""

    number: int
    task: model.TaskKey
    attempt: ids.Attempt
    ending: model.Ending
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunsListed:
    """The runs of a target, and the ends that are not acknowledged yet.

    Attributes:
        clock_ms: the target's clock when it replied.
        started_ms: Unix milliseconds of the target's start.
        ended: the first of the ends.
        has_more_ends: there may be more; a run that is not listed may have
            ended.
    """

    clock_ms: int
    started_ms: int
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]
    has_more_ends: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Obeyed:
    """The order took effect now or earlier.

    Attributes:
        clock_ms: the target's clock when it replied; None if unknown.
    """

    clock_ms: int | None = None


class OrderProblem(enum.Enum):
    """Why a target refused an order; in each case, nothing was done."""

    FENCED = "fenced"
    OLD_ATTEMPT = "old_attempt"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other_life"


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The target refused the order and did nothing."""

    problem: OrderProblem
