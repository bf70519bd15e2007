"""The configuration of queues and organisations."""

import functools

import msgspec

from dandelionpick import ids
from dandelionpick.batch import model


class Queue(msgspec.Struct, frozen=True):
    """A queue and the requests that are routed to it.

    Attributes:
        host: Host header of its requests.
        prefix: path prefix of its requests.
        anonymous: whether requests need no key.
    """

    name: ids.QueueName
    host: str
    prefix: str
    terms: model.QueueTerms
    anonymous: bool = False


class Organisation(msgspec.Struct, frozen=True):
    """An organisation, its API keys and its guaranteed accelerators."""

    name: ids.OrganisationId
    keys: tuple[str, ...] = ()
    guaranteed_accelerators: int = 0


class Catalog(msgspec.Struct, frozen=True, dict=True):
    """One version of the configuration.

    Attributes:
        pools: pools of targets that it names, beside those of its queues.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    pools: frozenset[ids.PoolName] = frozenset()
    organisations: tuple[Organisation, ...] = ()
    max_body_bytes: int = 262_144

    @functools.cached_property
    def by_host(self) -> dict[str, list[Queue]]:
        """Queues by host; the longest prefix comes first and so matches."""
        found: dict[str, list[Queue]] = {}
        for queue in self.queues:
            found.setdefault(queue.host, []).append(queue)
        for queues in found.values():
            queues.sort(key=lambda queue: -len(queue.prefix))
        return found

    @functools.cached_property
    def by_key(self) -> dict[str, Organisation]:
        """Organisations by API key."""
        return {
            key: organisation
            for organisation in self.organisations
            for key in organisation.keys
        }

    @functools.cached_property
    def named_pools(self) -> frozenset[ids.PoolName]:
        """All pools that it names."""
        return self.pools | {queue.terms.pool for queue in self.queues}

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching prefix, or None."""
        for queue in self.by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
