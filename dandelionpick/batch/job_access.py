"""Decides who may see and cancel a job.

A caller needs a key of the job's organisation. On a queue that is anonymous it
needs none for the jobs of that queue. A key of another organisation does not
help anywhere.
"""

import msgspec

from dandelionpick import errors
from dandelionpick import ids
from dandelionpick.batch import admission
from dandelionpick.batch import messages
from dandelionpick.batch import model


class Owner(msgspec.Struct, frozen=True):
    """The part of a job's record that tells whose it is."""

    queue: ids.QueueName
    organisation: ids.OrganisationId


_decoder = msgspec.json.Decoder(Owner)


def owner_of(record: model.JobRecord) -> Owner:
    """Returns the owner of a job."""
    return Owner(record.queue, record.organisation)


def decode_owner(value: bytes) -> Owner | None:
    """Returns the owner in an encoded record; None if it can't be decoded."""
    try:
        return _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError):
        return None


def find_refusal(
    admitted: admission.Admitted, owner: Owner | None
) -> messages.Refused | None:
    """Returns why a caller may neither see nor cancel a job, or None.

    Args:
        admitted: the caller's request, as the configuration allows it.
        owner: the owner of the job; None if the record does not tell, in which
            case the job belongs to no other organisation.
    """
    if owner is None or _may_access(admitted, owner):
        return None
    return admission.refuse(
        errors.ProblemKind.FORBIDDEN,
        "The job belongs to another organisation.",
        "Send a key of the organisation that submitted the job.",
    )


def _may_access(admitted: admission.Admitted, owner: Owner) -> bool:
    if admitted.organisation and admitted.organisation == owner.organisation:
        return True
    return (
        admitted.queue.anonymous
        and admitted.queue.name == owner.queue
        and not (admitted.organisation and owner.organisation)
    )
