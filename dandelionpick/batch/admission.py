"""Decides by the configuration who may ask for what."""

import dataclasses
import re

from dandelionpick import errors
from dandelionpick import ids
from dandelionpick.batch import catalog as catalog_lib
from dandelionpick.batch import messages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import watches
from dandelionpick.batch import watching

JOB_ID = re.compile(r"[0-9a-f]{16}")
# A watch of the configuration may hear nothing for a second before it is cut.
DEAF_WATCH_S = 1.0
# Time between the decision about a key and what follows from it.
DECISION_S = 0.5
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that the configuration allows.

    Attributes:
        job_id: None if the request is about the queue.
        organisation: None on an anonymous queue without a key.
    """

    queue: catalog_lib.Queue
    job_id: ids.JobId | None
    organisation: ids.OrganisationId


class Stale:
    """The configuration known here may be out of date."""


def refuse(
    kind: errors.ProblemKind,
    message: str,
    remedy: str,
    retry_after_s: float = 0.0,
) -> messages.Refused:
    """Builds a refusal."""
    return messages.Refused(
        errors.Problem(kind, message, remedy), retry_after_s
    )


def is_fresh(state: state_lib.State, now_s: float) -> bool:
    """Returns whether no key that is accepted here was removed long ago."""
    known = state.catalog
    if known.current is None or known.current.version < known.floor:
        return False
    confirmed_s = watching.confirmed_s(state, watches.CatalogWatch)
    most_s = state.limits.revoke_s - DEAF_WATCH_S - DECISION_S
    return now_s - confirmed_s <= most_s


def check(
    state: state_lib.State, request: messages.Request, now_s: float
) -> Admitted | messages.Refused | Stale:
    """Checks a request against the configuration in force."""
    catalog = state.catalog.current
    if catalog is None:
        return refuse(
            errors.ProblemKind.NO_CONFIGURATION,
            "This instance has not read the configuration yet.",
            "Send the request again later, or to another instance.",
            RETRY_AFTER_S,
        )
    if not is_fresh(state, now_s):
        return Stale()
    return _check_against(catalog, request)


def _check_against(
    catalog: catalog_lib.Catalog, request: messages.Request
) -> Admitted | messages.Refused:
    queue = catalog.queue_for(request.host, request.path)
    if queue is None:
        return refuse(
            errors.ProblemKind.UNKNOWN_PATH,
            f"No queue has the host and path of {request.path}.",
            "Use the host and the prefix of a configured queue.",
        )
    organisation = catalog.by_key.get(request.credential)
    if organisation is None and not queue.anonymous:
        return refuse(
            errors.ProblemKind.UNAUTHENTICATED,
            "The request carries no valid key.",
            "Send a key of the organisation in the Authorization header.",
        )
    name = organisation.name if organisation else ids.OrganisationId("")
    text = request.path[len(queue.prefix) :]
    if not text and isinstance(request, messages.Inspect):
        return Admitted(queue, None, name)
    if not JOB_ID.fullmatch(text):
        return refuse(
            errors.ProblemKind.KEY_INVALID,
            "The path does not end with a job id.",
            "End the path with 16 lower-case hexadecimal digits.",
        )
    return Admitted(queue, ids.JobId(text), name)
