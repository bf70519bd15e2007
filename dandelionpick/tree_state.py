"""The configuration document and an instance's record of it."""

import dataclasses
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from dandelionpick import ids

# The bounds also exclude infinity and NaN, which fails every comparison.
Weight = Annotated[float, msgspec.Meta(gt=0, le=1e6)]
Priority = Annotated[float, msgspec.Meta(ge=0, le=1e6)]
RunSeconds = Annotated[float, msgspec.Meta(gt=0, le=1e8)]
BodyBytes = Annotated[int, msgspec.Meta(gt=0, le=100_000_000)]
TaskCount = Annotated[int, msgspec.Meta(gt=0, le=1_000)]
AcceleratorCount = Annotated[int, msgspec.Meta(gt=0, le=1_000)]
ShapeCount = Annotated[int, msgspec.Meta(gt=0, le=10_000)]
DomainName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class JobClass(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of a job class after inheritance.

    Attributes:
        idempotent: whether work of this class may run more than once.
        checkpointable: whether a gang can be stopped and resumed.
        worth: priority in the queue; higher runs first.
        run_s: expected run time of one task in seconds; only a hint.
        short: whether the class may use the slots reserved for short work.
        max_body_bytes: largest body.
    """

    idempotent: bool = True
    checkpointable: bool = False
    worth: Priority = 1.0
    run_s: RunSeconds = 1.0
    short: bool = False
    max_body_bytes: BodyBytes = 1_000_000


class Guarantee(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A shape of tasks that an organisation can always claim.

    Attributes:
        tasks: number of tasks in the shape.
        accelerators: accelerators per task.
        count: how many of this shape are guaranteed.
    """

    failure_domain: DomainName
    tasks: TaskCount
    accelerators: AcceleratorCount
    count: ShapeCount = 1


class Organisation(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an organisation after inheritance.

    Attributes:
        share: weight in fair sharing.
        accounting_unit: "job" or "accelerator_second".
    """

    share: Weight = 1.0
    accounting_unit: Literal["job", "accelerator_second"] = "job"
    classes: dict[ids.ClassName, JobClass] = {}
    guarantees: dict[str, Guarantee] = {}


class AppliedEdit(msgspec.Struct, frozen=True):
    """The record of an edit that the document contains.

    Attributes:
        paths: paths that it touched; "" stands for the whole tree.
    """

    edit_id: ids.EditId
    revision: Revision
    operator: str
    paths: list[str]


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """The document under config/tree in the store.

    Attributes:
        revision: rises by one with each edit.
        tree: nested settings.
        edits: the last edits, oldest first.
    """

    revision: Revision
    tree: dict[str, Any]
    edits: list[AppliedEdit] = []


@dataclasses.dataclass(slots=True)
class Configuration:
    """The document in force: the highest valid revision that was seen.

    Attributes:
        text: the document as JSON, as sent to peers.
        store_version: version of the store's key when it was last read; -1
            before the first read.
        store_revision: revision that the store had at store_version; 0 if it
            had no readable document.
        confirmed_s: latest monotonic time at which this revision was known to
            be the store's, directly or through a peer.
        age_s: seconds since confirmed_s, at the last tick.
        store_call_pending: whether a watch or poll of the store is in progress.
        next_store_call_s: earliest time of the next watch or poll.
        repair_pending: whether a write of this document is in progress.
        fetching_from: peer from which the document is being fetched.
        last_failed_peer: peer whose last fetch failed.
        next_fetch_s: earliest time of the next fetch from a peer.
        behind_since_s: when a higher revision was first heard of.
        rejected: last revision that failed validation, by source.
    """

    document: Document = Document(revision=0, tree={})
    text: str = ""
    organisations: dict[ids.OrganisationId, Organisation] = dataclasses.field(
        default_factory=dict
    )
    store_version: int = -1
    store_revision: int = 0
    confirmed_s: float = float("-inf")
    age_s: float = float("inf")
    store_call_pending: bool = False
    next_store_call_s: float = float("-inf")
    repair_pending: bool = False
    fetching_from: ids.InstanceId | None = None
    last_failed_peer: ids.InstanceId | None = None
    next_fetch_s: float = float("-inf")
    behind_since_s: float | None = None
    rejected: dict[str, int] = dataclasses.field(default_factory=dict)
