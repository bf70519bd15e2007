"""Messages of callers and peers, and their replies."""

import msgspec

from dandelionpick import errors
from dandelionpick import ids
from dandelionpick.batch import model


class Submit(msgspec.Struct, frozen=True, tag="submit"):
    """Submits a job.

    Attributes:
        host: selects the queue together with the path.
        path: the queue's prefix followed by the job id.
        credential: the caller's key, or "".
        deadline_s: seconds that the caller waits.
    """

    host: str
    path: str
    credential: str
    spec: model.JobSpec
    deadline_s: float


class Inspect(msgspec.Struct, frozen=True, tag="inspect"):
    """Asks for a job's state, or for a queue's if the path has no job id."""

    host: str
    path: str
    credential: str
    deadline_s: float


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancels a job."""

    host: str
    path: str
    credential: str
    deadline_s: float


Request = Submit | Inspect | Cancel


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The job is stored, or its cancellation is."""


class JobView(msgspec.Struct, frozen=True, tag="job"):
    """State of a job."""

    state: model.JobState


class QueueView(msgspec.Struct, frozen=True, tag="queue"):
    """Accepted jobs of a queue of which no task has started."""

    pending: int


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The request was not carried out, or its outcome is not known.

    Attributes:
        retry_after_s: seconds after which a retry may succeed; 0 if a retry
            makes no sense.
    """

    problem: errors.Problem
    retry_after_s: float = 0.0


Reply = Accepted | JobView | QueueView | Refused


class Relay(msgspec.Struct, frozen=True, tag="relay"):
    """Hands a caller's request to the scheduler."""

    request: Request


class Relayed(msgspec.Struct, frozen=True, tag="relayed"):
    """The scheduler's reply.

    Attributes:
        catalog_version: version that decided; the receiver must not decide
            by a lower one afterwards.
    """

    reply: Reply
    catalog_version: int


class NotScheduler(msgspec.Struct, frozen=True, tag="not_scheduler"):
    """The receiver is not the scheduler, or has not taken over yet."""


class Monitor(msgspec.Struct, frozen=True, tag="monitor"):
    """Asks the scheduler to say when it can't go on.

    Attributes:
        epoch: the epoch of the scheduler that is meant.
        wait_s: the reply waits this long while there is nothing to say.
    """

    epoch: ids.Epoch
    wait_s: float


class StillScheduling(msgspec.Struct, frozen=True, tag="still_scheduling"):
    """The scheduler goes on."""


class StoreRefuses(msgspec.Struct, frozen=True, tag="store_refuses"):
    """The store refuses the scheduler.

    Attributes:
        since_s: seconds since the first refusal.
    """

    since_s: float


PeerMessage = Relay | Monitor
PeerReply = Relayed | NotScheduler | StillScheduling | StoreRefuses
