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
        region: region of the sender.
        address: address at which other instances reach the sender.
        store_rtt_s: shortest round trip of the sender to the store; 0 if
            unknown.
    """

    epoch: ids.Epoch
    wait_s: float
    instance: ids.InstanceId = ids.InstanceId("")
    strength: float = 0.0
    region: ids.Region = ids.Region("")
    address: str = ""
    store_rtt_s: float = 0.0


class StillScheduling(
    msgspec.Struct, frozen=True, tag="still_scheduling", omit_defaults=True
):
    """The scheduler continues.

    Attributes:
        rank: how many instances should succeed the scheduler rather than the
            receiver.
        catalog_source: address of the instance from which the receiver should
            read the configuration; "" for the store, None for no change.
        job_credit: bytes of jobs that the receiver may accept by itself; None
            for no change.
        crowded: organisations of which it may accept none by itself.
    """

    rank: int = 0
    catalog_source: str | None = None
    job_credit: int | None = None
    crowded: tuple[ids.OrganisationId, ...] = ()


class StoreRefuses(msgspec.Struct, frozen=True, tag="store_refuses"):
    """The store refuses the scheduler's lease renewals.

    Attributes:
        since_s: seconds since the first refusal.
    """

    since_s: float


class ReadCatalog(msgspec.Struct, frozen=True, tag="read_catalog"):
    """Reads the configuration from another instance (long poll).

    Attributes:
        after_revision: the sender has the version of this revision.
        wait_s: the reply is delayed by this long if there is no later one.
    """

    after_revision: int
    wait_s: float


class CatalogCopy(msgspec.Struct, frozen=True, tag="catalog_copy"):
    """The configuration that the sender has.

    Attributes:
        revision: the store's revision of the version in force.
        watch_revision: all changes up to this revision are known.
        age_s: how long ago the store confirmed it.
        held_s: how long the reply was delayed.
        value: the value in the store; empty if the receiver has it.
        store_fails: whether the sender's last call to the store failed.
    """

    revision: int
    watch_revision: int
    age_s: float
    held_s: float
    value: bytes
    store_fails: bool = False


class NoCatalog(msgspec.Struct, frozen=True, tag="no_catalog"):
    """The receiver does not watch the configuration in the store itself."""


class ReadEvacuations(msgspec.Struct, frozen=True, tag="read_evacuations"):
    """Reads the evacuations in progress.

    Attributes:
        relayed: the sender is an instance that is not the scheduler.
    """

    relayed: bool = False


class EvacuationView(msgspec.Struct, frozen=True):
    """An evacuation as the scheduler sees it.

    Attributes:
        since_ms: Unix milliseconds at which the scheduler learnt of it.
        targets: number of targets of the domain.
        runs: number of runs there, by target, without targets that have none.
    """

    domain: ids.FailureDomain
    since_ms: int
    targets: int
    runs: dict[ids.TargetId, int]


class Evacuations(msgspec.Struct, frozen=True, tag="evacuations"):
    """The evacuations in progress.

    Attributes:
        scheduler: the instance that replied.
        watched: whether evacuations are followed at all.
        is_outdated: the store has not told about evacuations for too long, so
            that nothing is started.
    """

    scheduler: ids.InstanceId
    watched: bool
    is_outdated: bool
    evacuations: tuple[EvacuationView, ...]


PeerMessage = Relay | Monitor | ReadCatalog | ReadEvacuations
PeerReply = (
    Relayed
    | NotScheduler
    | StillScheduling
    | StoreRefuses
    | CatalogCopy
    | NoCatalog
    | Evacuations
)
