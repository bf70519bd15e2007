"""The configuration that decides who may submit what, and where it runs."""

import functools

import msgspec

from dandelionpick import ids
from dandelionpick.batch import model


class Queue(msgspec.Struct, frozen=True):
    """A queue and the requests that belong to it.

    Attributes:
        host: Host header of its requests.
        prefix: start of the paths of its requests.
        anonymous: whether requests need no key.
    """

    name: ids.QueueName
    host: str
    prefix: str
    terms: model.QueueTerms
    anonymous: bool = False


class Organisation(msgspec.Struct, frozen=True):
    """An organisation, its keys and its guarantee."""

    name: ids.OrganisationId
    keys: tuple[str, ...] = ()
    guaranteed_accelerators: int = 0


class Catalog(msgspec.Struct, frozen=True, dict=True):
    """One version of the configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    max_body_bytes: int = 262_144

    @functools.cached_property
    def by_host(self) -> dict[str, list[Queue]]:
        """Queues by host, longest prefix first."""
        found: dict[str, list[Queue]] = {}
        for queue in self.queues:
            found.setdefault(queue.host, []).append(queue)
        for queues in found.values():
            queues.sort(key=lambda queue: -len(queue.prefix))
        return found

    @functools.cached_property
    def by_key(self) -> dict[str, Organisation]:
        """Organisations by each of their keys."""
        return {
            key: organisation
            for organisation in self.organisations
            for key in organisation.keys
        }

    def queue_for(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a request, or None."""
        for queue in self.by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
