"""Messages of operators."""

from typing import Any

import msgspec

from dandelionpick import errors
from dandelionpick import ids


class ReadTree(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Reads the tree of settings as this instance has it in force."""


class Tree(msgspec.Struct, frozen=True, tag=True):
    """The tree and its revision."""

    revision: int
    tree: dict[str, Any]


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sets or removes one setting.

    Attributes:
        path: keys from the root, separated by "/".
        value: any JSON value; ignored if remove is True.
        remove: remove the setting so that it is inherited again.
    """

    path: str
    value: Any = None
    remove: bool = False


class EditTree(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Applies all changes or none.

    Attributes:
        edit_id: names the edit; a retry with the same id has no second effect.
        base_revision: refuse if a touched setting changed after this revision;
            None applies the edit to the current revision.
        operator: who makes the edit.
    """

    edit_id: ids.EditId
    changes: list[Change]
    base_revision: int | None = None
    operator: str = ""


class EditAccepted(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The edit is kept under this revision.

    Attributes:
        in_force: failure domains all of whose known instances have it.
    """

    edit_id: ids.EditId
    revision: int
    in_force: list[ids.FailureDomain] = []


class EditRefused(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The edit had no effect, unless the problem's kind says unknown."""

    edit_id: ids.EditId
    problem: errors.Problem
    revision: int = 0


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
    """This instance's view of the system."""

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
