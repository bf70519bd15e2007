"""Messages from callers and peers, and the replies to them."""

import msgspec

from dandelionpick import errors
from dandelionpick import ids
from dandelionpick.batch import model


class Submit(msgspec.Struct, frozen=True, tag="submit"):
    """Submits a job.

    Attributes:
        host: Host header; selects the queue together with the path.
        path: the queue's prefix followed by the job id.
        credential: the caller's API key, or "".
        deadline_s: seconds that the caller waits for the reply.
    """

    host: str
    path: str
    credential: str
    spec: model.JobSpec
    deadline_s: float


class Inspect(msgspec.Struct, frozen=True, tag="inspect"):
    """Queries a job's state, or a queue's if the path has no job id."""

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
    """The job or its cancellation was written to the store."""


class JobView(msgspec.Struct, frozen=True, tag="job"):
    """The state of a job."""

    state: model.JobState


class QueueView(msgspec.Struct, frozen=True, tag="queue"):
    """The number of a queue's accepted jobs without a started task."""

    pending: int


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The request was not carried out, or its outcome is unknown.

    Attributes:
        retry_after_s: seconds after which a retry may succeed; 0 if a retry
            is useless.
    """

    problem: errors.Problem
    retry_after_s: float = 0.0


Reply = Accepted | JobView | QueueView | Refused


class Relay(msgspec.Struct, frozen=True, tag="relay"):
    """Relays a caller's request to the scheduler."""

    request: Request


class Relayed(msgspec.Struct, frozen=True, tag="relayed"):
    """The scheduler's reply.

    Attributes:
        catalog_version: version of the configuration that the scheduler
            applied; the receiver must not apply a lower one afterwards.
    """

    reply: Reply
    catalog_version: int


class NotScheduler(msgspec.Struct, frozen=True, tag="not_scheduler"):
    """The receiver is not the scheduler, or has not finished its takeover."""


class Monitor(msgspec.Struct, frozen=True, tag="monitor", omit_defaults=True):
    """Asks the scheduler to report when it can't continue (long poll).

    Attributes:
        epoch: the epoch of the scheduler that is addressed.
        wait_s: the reply is delayed by this long if there is nothing to report.
        instance: the sender; "" from an instance of an earlier version.
        strength: processor cores of the sender.
    """

    epoch: ids.Epoch
    wait_s: float
    instance: ids.InstanceId = ids.InstanceId("")
    strength: float = 0.0


class StillScheduling(
    msgspec.Struct, frozen=True, tag="still_scheduling", omit_defaults=True
):
    """The scheduler continues.

    Attributes:
        rank: how many instances should succeed the scheduler rather than the
            receiver.
    """

    rank: int = 0


class StoreRefuses(msgspec.Struct, frozen=True, tag="store_refuses"):
    """The store refuses the scheduler's lease renewals.

    Attributes:
        since_s: seconds since the first refusal.
    """

    since_s: float


PeerMessage = Relay | Monitor
PeerReply = Relayed | NotScheduler | StillScheduling | StoreRefuses
