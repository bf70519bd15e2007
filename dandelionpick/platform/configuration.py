"""Decodes the operators' configuration."""

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import ids
from dandelionpick.batch import catalog
from dandelionpick.batch import model


class Route(msgspec.Struct):
    """A queue of jobs, selected by host and path prefix.

    Attributes:
        service: name of the pool of targets that run the queue's tasks.
        stretch_factor: multiplies the estimated run time to give the objective
            for the duration.
        target_latency_ms: added to the product; it is an objective, not a
            limit.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch_factor: float = 1.0
    target_latency_ms: float = 0.0
    anonymous: bool = False


class Tenant(msgspec.Struct):
    """An organisation.

    Attributes:
        guaranteed: guaranteed amounts by resource; only "gpu", the number of
            accelerators, is used.
    """

    name: str
    api_keys: list[str] = []
    guaranteed: dict[str, float] = {}


class Service(msgspec.Struct):
    """A pool of targets."""

    name: str


class Limits(msgspec.Struct):
    """Limits on callers' requests."""

    max_body_bytes: int = 262_144


class Document(msgspec.Struct):
    """One version of the configuration."""

    version: int
    routes: list[Route] = []
    services: list[Service] = []
    tenants: list[Tenant] = []
    limits: Limits = msgspec.field(default_factory=Limits)


_decoder = msgspec.json.Decoder(Document)


def decode(value: bytes) -> Result[catalog.Catalog, str]:
    """Returns the catalog, or a message that says why the value is invalid."""
    try:
        document = _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(str(error))
    return Success(
        catalog.Catalog(
            version=document.version,
            queues=tuple(map(_to_queue, document.routes)),
            pools=frozenset(
                ids.PoolName(service.name) for service in document.services
            ),
            organisations=tuple(map(_to_organisation, document.tenants)),
            max_body_bytes=document.limits.max_body_bytes,
        )
    )


def _to_queue(route: Route) -> catalog.Queue:
    return catalog.Queue(
        name=ids.QueueName(route.name),
        host=route.host,
        prefix=route.prefix,
        terms=model.QueueTerms(
            pool=ids.PoolName(route.service),
            priority=route.priority,
            max_attempts=max(1, route.max_attempts),
            objective_factor=route.stretch_factor,
            objective_extra_s=route.target_latency_ms / 1_000,
        ),
        anonymous=route.anonymous,
    )


def _to_organisation(tenant: Tenant) -> catalog.Organisation:
    return catalog.Organisation(
        name=ids.OrganisationId(tenant.name),
        keys=tuple(tenant.api_keys),
        guaranteed_accelerators=int(tenant.guaranteed.get("gpu", 0)),
    )
