"""Messages of the platform's instance list."""

import msgspec

from dandelionpick import ids
from dandelionpick import kinds


class ReadInstances(msgspec.Struct, frozen=True):
    """Reads the whole list."""


class InstanceEntry(msgspec.Struct, frozen=True):
    """One instance or target.

    Attributes:
        address: host and port.
        rack: rack of a worker, else "".
        accelerators: accelerators of a worker.
        cores: processor cores of a worker.
        memory_gb: memory of a worker.
        slots: concurrent tasks of an executor.
    """

    id: ids.InstanceId
    role: kinds.Role
    address: str
    failure_domain: ids.FailureDomain
    region: ids.Region
    state: kinds.Liveness = kinds.Liveness.LIVE
    rack: str = ""
    accelerators: int = 0
    cores: int = 0
    memory_gb: int = 0
    slots: int = 0


class Instances(msgspec.Struct, frozen=True):
    """All live and leaving instances, as the platform last knew them."""

    entries: list[InstanceEntry]
