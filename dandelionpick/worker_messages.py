"""Messages to and from workers, which run parts of gangs on accelerators."""

import msgspec

from dandelionpick import ids
from dandelionpick import kinds


class PartLabels(msgspec.Struct, frozen=True):
    """Identifies the job and the run that a part of a gang belongs to.

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
        accelerators: indices of the accelerators on this worker.
        tasks: number of the gang's tasks on this worker.
        cores: processor cores for all of these tasks together.
        memory_gb: memory for all of these tasks together.
        hold_s: seconds after which the hold expires unless the part is started.
        incarnation: the worker refuses the hold if its incarnation differs; ""
            matches any.
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
    """Loads the tasks of a held part, which wait at a barrier until confirmed.

    Attributes:
        lease_s: seconds after which the part ends unless its lease is renewed.
        payload: what the tasks run; opaque to the scheduler.
        checkpoint: checkpoint to resume from, or "".
    """

    gang_id: ids.GangId
    lease_s: float
    payload: str
    checkpoint: str = ""


class RenewLeases(msgspec.Struct, frozen=True):
    """Confirms started parts and renews the leases of running ones.

    The leases of parts that are not named do not change. An empty list only
    requests the report.

    Attributes:
        gang_ids: gangs whose parts are confirmed and renewed.
        lease_s: length of the lease in seconds, from now.
    """

    gang_ids: list[ids.GangId]
    lease_s: float


class StopPart(msgspec.Struct, frozen=True):
    """Releases a hold, or stops a part, and leaves a tombstone for the gang.

    If the part had already ended, the reply contains its final state. The
    refusal UNKNOWN_PART means that this incarnation never started the part;
    the tombstone is left in this case too.

    Attributes:
        checkpoint: whether to take a checkpoint of a running part first.
    """

    gang_id: ids.GangId
    checkpoint: bool


class PartStatus(msgspec.Struct, frozen=True):
    """State of a part.

    Attributes:
        checkpoint: the last checkpoint, or "".
        result: output of a finished part.
        ran: whether the part was ever in the state RUNNING.
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
    """Reply to RenewLeases that lists every part the worker knows.

    Parts that ended stay in the report for 60 seconds after they ended or
    were last named in a RenewLeases, whichever is later.

    Attributes:
        usage: fraction of accelerators that are busy, in [0, 1]; lags behind
            by the platform's reporting delay.
    """

    incarnation: ids.Incarnation
    parts: list[PartStatus]
    usage: float = 0.0
    leaving: bool = False
