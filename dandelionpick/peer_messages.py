"""Messages between entry instances."""

import msgspec

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import ids


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tells a peer that the sender lives, and what it has.

    The reply is the receiver's own Heartbeat.

    Attributes:
        domain_revision: lowest revision of the sender's failure domain.
        configuration_age_s: seconds since the sender's revision was known to
            be the store's; -1 if it never was.
    """

    instance: ids.InstanceId
    failure_domain: ids.FailureDomain
    incarnation: ids.Incarnation
    revision: int = 0
    domain_revision: int = 0
    configuration_age_s: float = -1.0
    leaving: bool = False
    queued: int = 0
    free_slots: int = 0
    long_running: int = 0


class ReadDocument(msgspec.Struct, frozen=True):
    """Asks for the configuration document if it is newer than revision."""

    revision: int = 0


class Document(msgspec.Struct, frozen=True, tag=True):
    """The configuration document as kept in the store; "" if not newer."""

    revision: int
    text: str


class ForwardRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Serves a request for the sender; the reply is an Answer.

    Attributes:
        hops: instances that the request has passed; at most one forward.
    """

    request: caller_messages.SubmitRequest
    hops: int = 1


class FetchPeerAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for an answer that the receiver may have in its memory.

    The reply is an Answer; one with problem UNKNOWN_KEY means it has none.
    """

    organisation: ids.OrganisationId
    key: ids.RequestKey


class ForwardJob(msgspec.Struct, frozen=True, kw_only=True):
    """Accepts a job for the sender; the reply is a JobStatus."""

    job: caller_messages.SubmitJob
    hops: int = 1


class FetchPeerJob(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for a job's state; the reply is a JobStatus."""

    organisation: ids.OrganisationId
    key: ids.RequestKey


class CancelPeerJob(msgspec.Struct, frozen=True, kw_only=True):
    """Cancels a job for the sender; the reply is a JobStatus."""

    organisation: ids.OrganisationId
    key: ids.RequestKey


class Refused(msgspec.Struct, frozen=True, tag=True):
    """The receiver could not do what a peer, caller or operator asked."""

    problem: errors.Problem
