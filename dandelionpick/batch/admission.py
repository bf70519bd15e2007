"""Authorizes requests against the configuration in force."""

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
# The watch of the configuration may receive nothing for this long before its
# connection is closed.
WATCH_SILENCE_S = 1.0
# Allowance for the time between checking a key and carrying the request out.
DECISION_MARGIN_S = 0.5
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that the configuration allows.

    Attributes:
        job_id: None if the request is about the queue.
        organisation: "" on an anonymous queue without a key.
    """

    queue: catalog_lib.Queue
    job_id: ids.JobId | None
    organisation: ids.OrganisationId


class StaleConfiguration:
    """The local copy of the configuration may be out of date."""


def refuse(
    kind: errors.ProblemKind,
    message: str,
    remedy: str,
    retry_after_s: float = 0.0,
) -> messages.Refused:
    """Builds the reply that refuses a request."""
    return messages.Refused(
        errors.Problem(kind, message, remedy), retry_after_s
    )


def is_fresh(state: state_lib.State, now_s: float) -> bool:
    """Returns whether the configuration is recent enough to check keys.

    A key that was removed must be refused after Limits.revoke_s, so the store
    must have confirmed the configuration shortly before.
    """
    catalog = state.catalog
    if catalog.current is None or catalog.current.version < catalog.min_version:
        return False
    confirmed_s = watching.confirmed_s(state, watches.CatalogWatch)
    max_age_s = state.limits.revoke_s - WATCH_SILENCE_S - DECISION_MARGIN_S
    return now_s - confirmed_s <= max_age_s


def check(
    state: state_lib.State, request: messages.Request, now_s: float
) -> Admitted | messages.Refused | StaleConfiguration:
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
        return StaleConfiguration()
    return _check_against(catalog, request)


def _check_against(
    catalog: catalog_lib.Catalog, request: messages.Request
) -> Admitted | messages.Refused:
    queue = catalog.queue_for(request.host, request.path)
    if queue is None:
        return refuse(
            errors.ProblemKind.UNKNOWN_PATH,
            f"No queue is configured for the host and path of {request.path}.",
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
    job_id_text = request.path[len(queue.prefix) :]
    if not job_id_text and isinstance(request, messages.Inspect):
        return Admitted(queue, None, name)
    if not JOB_ID.fullmatch(job_id_text):
        return refuse(
            errors.ProblemKind.KEY_INVALID,
            "The path does not end with a job id.",
            "End the path with 16 lower-case hexadecimal digits.",
        )
    return Admitted(queue, ids.JobId(job_id_text), name)
