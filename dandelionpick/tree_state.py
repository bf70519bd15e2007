"""The configuration document as an instance holds it."""

import dataclasses
from typing import Any

import msgspec

from dandelionpick import ids


class JobClass(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of a job class after inheritance.

    Attributes:
        idempotent: whether work of this class may run more than once.
        checkpointable: whether a gang can be stopped and resumed.
        worth: rank in the queue; higher runs first.
        run_s: expected run time of one task in seconds, a prior only.
        short: whether the class may use the slots kept for short work.
        max_body_bytes: largest body.
    """

    idempotent: bool = True
    checkpointable: bool = False
    worth: float = 1.0
    run_s: float = 1.0
    short: bool = False
    max_body_bytes: int = 1_000_000


class Guarantee(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A shape that an organisation can always claim.

    Attributes:
        tasks: tasks of the shape.
        accelerators: accelerators for each task.
        count: how many of the shape.
    """

    failure_domain: ids.FailureDomain
    tasks: int
    accelerators: int
    count: int = 1


class Organisation(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an organisation after inheritance.

    Attributes:
        share: weight in the fair share.
        accounting_unit: "job" or "accelerator_second".
    """

    share: float = 1.0
    accounting_unit: str = "job"
    classes: dict[ids.ClassName, JobClass] = {}
    guarantees: dict[str, Guarantee] = {}


class AppliedEdit(msgspec.Struct, frozen=True):
    """An edit that the document contains."""

    edit_id: ids.EditId
    revision: int
    operator: str
    paths: list[str]


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """The document under config/tree in the store.

    Attributes:
        revision: rises by one with each edit.
        tree: nested settings.
        edits: the last edits, oldest first.
    """

    revision: int
    tree: dict[str, Any]
    edits: list[AppliedEdit] = []


@dataclasses.dataclass(slots=True)
class Configuration:
    """The highest revision that this instance has seen.

    Attributes:
        text: the document as JSON, as relayed to peers.
        store_version: version of the store's key when it was last read.
    """

    document: Document = Document(revision=0, tree={})
    text: str = ""
    organisations: dict[ids.OrganisationId, Organisation] = dataclasses.field(
        default_factory=dict
    )
    store_version: int = 0
    read_s: float = float("-inf")
    read_pending: bool = False
