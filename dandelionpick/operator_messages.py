"""Messages of operators and the replies to them."""

from typing import Any

import msgspec

from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import tree_state


class ReadTree(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Reads the tree of settings in force at this instance."""


class Tree(msgspec.Struct, frozen=True, tag=True):
    """The tree and its revision."""

    revision: int
    tree: dict[str, Any]


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sets or removes one setting.

    Attributes:
        path: keys from the root, separated by "/". A branch is created by
            setting its path to an object.
        value: any JSON value; ignored if remove is True. None drops the value
            that would be inherited.
        remove: removes the setting, so that it is inherited again.
    """

    path: str
    value: Any = None
    remove: bool = False


class EditTree(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Applies all changes or none.

    Attributes:
        edit_id: identifies the edit; a retry with the same id has no second
            effect.
        base_revision: the edit is refused if a setting that it touches changed
            after this revision; None applies it to the current revision.
        operator: who makes the edit.
    """

    edit_id: ids.EditId
    changes: list[Change]
    base_revision: int | None = None
    operator: str = ""


class EditAccepted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The edit is stored under this revision.

    Attributes:
        in_force: failure domains in which all known instances have it.
        repeated: whether an earlier submission of this edit id was accepted.
    """

    edit_id: ids.EditId
    revision: int
    in_force: list[ids.FailureDomain] = []
    repeated: bool = False


class EditRefused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The edit had no effect, unless `unknown` is set.

    Attributes:
        revision: the revision in force at the instance.
        unknown: whether the edit may have taken effect or may still do so;
            sending it again with the same edit_id tells which.
    """

    edit_id: ids.EditId
    problem: errors.Problem
    revision: int = 0
    unknown: bool = False


class ReadEdits(msgspec.Struct, frozen=True):
    """Reads the last edits in force at this instance."""


class Edits(msgspec.Struct, frozen=True, tag=True):
    """The last edits, oldest first, and the revision in force."""

    revision: int
    edits: list[tree_state.AppliedEdit]


class SimulateEdit(msgspec.Struct, frozen=True):
    """Computes what an edit would change in the tree in force; has no effect.

    The reply is an EditSimulated, or an EditRefused with the problem for which
    this instance would refuse the edit.
    """

    edit: EditTree


class EffectiveChange(msgspec.Struct, frozen=True):
    """A setting of an organisation that differs after inheritance.

    Attributes:
        setting: keys within the organisation, separated by "/".
        before: the value in force; None if the setting does not exist.
        after: the value after the edit; None if it would not exist.
    """

    organisation: ids.OrganisationId
    setting: str
    before: Any
    after: Any


class EditSimulated(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """What the edit would do.

    Attributes:
        revision: the revision that the edit was applied to.
        changes: the first differences, by organisation and setting.
        changes_total: number of differences, listed or not.
        document_bytes: size of the document after the edit.
    """

    edit_id: ids.EditId
    revision: int
    changes: list[EffectiveChange]
    changes_total: int
    document_bytes: int


class ReadStatus(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Asks for this instance's view of the system."""


class MemberStatus(msgspec.Struct, frozen=True):
    """One instance or target as this instance sees it."""

    id: ids.InstanceId
    role: str
    failure_domain: ids.FailureDomain
    state: str
    revision: int = 0


class Status(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """This instance's view of the system.

    Attributes:
        configuration_age_s: seconds since the store was last known to have this
            revision; None if it never was.
    """

    instance: ids.InstanceId
    failure_domain: ids.FailureDomain
    revision: int
    preferred: ids.InstanceId
    leaving: bool
    members: list[MemberStatus]
    requests_queued: int = 0
    requests_running: int = 0
    jobs_queued: int = 0
    jobs_running: int = 0
    configuration_age_s: float | None = None
