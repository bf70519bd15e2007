"""Messages between entry instances."""

import msgspec

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import ids


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Tells a peer that the sender is live, and reports its state.

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
    """Forwards a request to the receiver; the reply is an Answer.

    Attributes:
        hops: number of forwards, this one included; at most 1.
        lost_calls: runs and forwards whose reply the sender lost.
    """

    request: caller_messages.SubmitRequest
    hops: int = 1
    lost_calls: int = 0


class FetchPeerAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for an answer that the receiver may hold in memory.

    The reply is an Answer; its problem is UNKNOWN_KEY if there is none.
    """

    organisation: ids.OrganisationId
    key: ids.RequestKey


class ForwardJob(msgspec.Struct, frozen=True, kw_only=True):
    """Forwards a job to the receiver; the reply is a JobStatus."""

    job: caller_messages.SubmitJob
    hops: int = 1


class FetchPeerJob(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for a job's state; the reply is a JobStatus."""

    organisation: ids.OrganisationId
    key: ids.RequestKey


class CancelPeerJob(msgspec.Struct, frozen=True, kw_only=True):
    """Cancels a job on the sender's behalf; the reply is a JobStatus."""

    organisation: ids.OrganisationId
    key: ids.RequestKey


class Refused(msgspec.Struct, frozen=True, tag=True):
    """Refuses a message of a peer, caller or operator."""

    problem: errors.Problem
