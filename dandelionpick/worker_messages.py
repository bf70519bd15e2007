"""Messages of a worker, which runs parts of gangs on accelerators."""

import msgspec

from dandelionpick import ids
from dandelionpick import kinds


class PartLabels(msgspec.Struct, frozen=True):
    """What a part of a gang belongs to.

    Attributes:
        run: number of the job's run, from 1.
        workers: ids of all workers of the gang, sorted.
    """

    organisation: ids.OrganisationId
    job_class: ids.ClassName
    key: ids.RequestKey
    run: int
    workers: list[ids.InstanceId]


class HoldPart(msgspec.Struct, frozen=True):
    """Reserves accelerators for a part of a gang, all or none.

    Attributes:
        accelerators: indices on this worker.
        tasks: tasks of the gang on this worker.
        cores: processor cores for all of them.
        memory_gb: memory for all of them.
        hold_s: seconds after which an unused hold lapses.
        incarnation: refuse if the worker's incarnation differs; "" accepts any.
    """

    gang_id: ids.GangId
    labels: PartLabels
    accelerators: list[int]
    tasks: int
    cores: int
    memory_gb: int
    hold_s: float
    incarnation: ids.Incarnation = ids.Incarnation("")


class StartPart(msgspec.Struct, frozen=True):
    """Loads the tasks of a held part; they wait at their barrier.

    Attributes:
        lease_s: seconds after which the part ends unless it is renewed.
        payload: what the tasks run, opaque to the scheduler.
        checkpoint: checkpoint to resume from, or "".
    """

    gang_id: ids.GangId
    lease_s: float
    payload: str
    checkpoint: str = ""


class RenewLeases(msgspec.Struct, frozen=True):
    """Confirms started parts and renews the leases of running ones.

    Parts that are not named keep their lease as it is. An empty list only
    asks for the report.

    Attributes:
        gang_ids: gangs whose parts are confirmed and renewed.
        lease_s: length of the lease from now.
    """

    gang_ids: list[ids.GangId]
    lease_s: float


class StopPart(msgspec.Struct, frozen=True):
    """Releases a hold, or stops a part, and leaves a tombstone for the gang.

    The reply tells the state of a part that had ended before. The refusal
    UNKNOWN_PART means that this incarnation never started the part; the
    tombstone is left all the same.

    Attributes:
        checkpoint: take a checkpoint of a running part first.
    """

    gang_id: ids.GangId
    checkpoint: bool


class PartStatus(msgspec.Struct, frozen=True):
    """State of a part.

    Attributes:
        checkpoint: the last checkpoint, or "".
        result: output of a finished part.
        ran: whether the part was ever in state running.
    """

    gang_id: ids.GangId
    labels: PartLabels
    state: kinds.PartState
    accelerators: list[int]
    checkpoint: str = ""
    result: str = ""
    ran: bool = False


class PartReply(msgspec.Struct, frozen=True, tag=True):
    """The message about the part took effect."""

    incarnation: ids.Incarnation
    part: PartStatus
    leaving: bool = False


class PartRefused(msgspec.Struct, frozen=True, tag=True):
    """The message about the part had no effect."""

    incarnation: ids.Incarnation
    gang_id: ids.GangId
    reason: kinds.PartRefusal
    leaving: bool = False


class WorkerReport(msgspec.Struct, frozen=True, tag=True):
    """Reply to RenewLeases: every part the worker knows.

    Parts that ended stay in the report for 60 seconds after they ended or
    were last named in a RenewLeases, whichever is later.

    Attributes:
        usage: share of busy accelerators in [0, 1], with the platform's lag.
    """

    incarnation: ids.Incarnation
    parts: list[PartStatus]
    usage: float = 0.0
    leaving: bool = False
