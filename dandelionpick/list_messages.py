"""Messages of the platform's instance list."""

import msgspec

from dandelionpick import ids
from dandelionpick import kinds


class ReadInstances(msgspec.Struct, frozen=True):
    """Reads the whole list if it has changed since a known version.

    Attributes:
        known_etag: etag of the list that the reader has, or "".
    """

    known_etag: str = ""


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


class Instances(msgspec.Struct, frozen=True, tag=True):
    """All live and leaving instances, as the platform last saw them.

    Attributes:
        etag: identifies this content; "" if the platform provides none.
    """

    entries: list[InstanceEntry]
    etag: str = ""


class InstancesUnchanged(msgspec.Struct, frozen=True, tag=True):
    """Tells that the list has not changed since the reader's version.

    Without this reply, reading a list of 3,700 workers every second takes
    786 KB/s.
    """

    etag: str
