"""Builds and validates the document that results from an edit."""

import dataclasses
from collections.abc import Iterable

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import errors
from dandelionpick import guarantee_fit
from dandelionpick import ids
from dandelionpick import list_messages
from dandelionpick import operator_messages
from dandelionpick import tree
from dandelionpick import tree_state

# The store accepts values up to 1 MB.
MAX_DOCUMENT_BYTES = 950_000
MAX_EDITS = 256
# Leaves most of the document's size to the tree when edits touch many paths.
MAX_EDITS_BYTES = 200_000
MAX_RECORDED_PATHS = 16
MAX_CHANGES = 256
MAX_NAME_LENGTH = 128
# Recorded as the operator of the revision that ends a divergent history.
SYSTEM_OPERATOR = "dandelionpick"


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A valid document that is ready to be written."""

    document: tree_state.Document
    text: str
    organisations: tree.Organisations


def propose(
    current: tree_state.Document,
    organisations: tree.Organisations,
    message: operator_messages.EditTree,
    entries: Iterable[list_messages.InstanceEntry],
) -> Result[Proposal, errors.Problem]:
    """Applies an edit to a document.

    Args:
        current: the newest document.
        organisations: its organisations.
        message: the edit.
        entries: the instance list.

    Returns:
        The new document, or why the edit is refused.
    """
    problem = check_message(message) or base_conflict(current, message)
    if problem is not None:
        return Failure(problem)
    applied = tree.apply(current.tree, message.changes)
    if isinstance(applied, Failure):
        return applied
    checked = applied.bind(tree.resolve)
    if isinstance(checked, Failure):
        return checked
    problem = guarantee_fit.check_guarantees(
        organisations, checked.unwrap(), list(entries)
    )
    if problem is not None:
        return Failure(problem)
    document = _next_document(
        current,
        message.edit_id,
        message.operator,
        recorded_paths(message.changes),
        applied.unwrap(),
    )
    return _encode(document, checked.unwrap())


def check_message(
    message: operator_messages.EditTree,
) -> errors.Problem | None:
    """Returns the problem of an edit that does not depend on the tree."""
    names = {"edit_id": message.edit_id, "operator": message.operator}
    for field, text in names.items():
        if len(text) > MAX_NAME_LENGTH or not text.isprintable():
            return _invalid_edit(
                f"The field {field} is longer than {MAX_NAME_LENGTH}"
                " characters or has unprintable ones."
            )
    if not message.edit_id:
        return _invalid_edit("The edit has no edit_id.")
    if not 1 <= len(message.changes) <= MAX_CHANGES:
        return _invalid_edit(
            f"The edit has {len(message.changes)} changes; it needs 1 to"
            f" {MAX_CHANGES}."
        )
    return None


def _invalid_edit(text: str) -> errors.Problem:
    return errors.Problem(
        errors.ProblemKind.EDIT_INVALID,
        text,
        "Correct the edit and send it again.",
    )


def find_edit(
    document: tree_state.Document, message: operator_messages.EditTree
) -> tree_state.AppliedEdit | None:
    """Returns the record of an edit, or None if the document lacks it."""
    for edit in document.edits:
        if edit.edit_id == message.edit_id:
            return edit
    return None


def base_conflict(
    current: tree_state.Document, message: operator_messages.EditTree
) -> errors.Problem | None:
    """Returns why an edit that is based on an older revision is refused."""
    base = message.base_revision
    if base is None or base == current.revision:
        return None
    later = [edit for edit in current.edits if edit.revision > base]
    if base > current.revision or len(later) < current.revision - base:
        return _conflict(
            f"The edit is based on revision {base}, and the changes between"
            f" it and revision {current.revision} are not known."
        )
    touched = [change.path for change in message.changes]
    overlaps = [
        f'"{path}" (revision {edit.revision}, edit {edit.edit_id}, by'
        f" {edit.operator or 'unnamed operator'})"
        for edit in later
        for path in edit.paths
        if any(tree.paths_overlap(path, own) for own in touched)
    ]
    if not overlaps:
        return None
    return _conflict(
        f"Since revision {base}, on which the edit is based, these settings"
        f" were changed: {'; '.join(overlaps)}."
    )


def _conflict(text: str) -> errors.Problem:
    return errors.Problem(
        errors.ProblemKind.EDIT_CONFLICT,
        text,
        "Read the tree again, check the edit against it, and send it with a"
        " new edit_id and the revision that was read as base_revision.",
    )


def recorded_paths(
    changes: Iterable[operator_messages.Change],
) -> list[str]:
    """Returns the touched paths, at most MAX_RECORDED_PATHS of them.

    If there are more, they are shortened. A shortened path covers the original
    one, so that no conflict is missed.
    """
    paths = sorted({change.path for change in changes})
    while len(paths) > MAX_RECORDED_PATHS:
        longest = max(path.count("/") for path in paths)
        if longest == 0:
            return [""]
        paths = sorted(
            {
                path.rsplit("/", 1)[0] if path.count("/") == longest else path
                for path in paths
            }
        )
    return paths


def raise_revision(current: tree_state.Document) -> tree_state.Document:
    """Returns the same tree under the next revision.

    The result is the same for equal documents, so that instances that do this
    concurrently write the same document.
    """
    return _next_document(
        current,
        ids.EditId(f"joined-{current.revision + 1}"),
        SYSTEM_OPERATOR,
        [""],
        current.tree,
    )


def _next_document(
    current: tree_state.Document,
    edit_id: ids.EditId,
    operator: str,
    paths: list[str],
    root: dict,
) -> tree_state.Document:
    revision = current.revision + 1
    record = tree_state.AppliedEdit(edit_id, revision, operator, paths)
    edits = [*current.edits, record][-MAX_EDITS:]
    while len(msgspec.json.encode(edits)) > MAX_EDITS_BYTES:
        edits = edits[len(edits) // 8 + 1 :]
    return tree_state.Document(revision=revision, tree=root, edits=edits)


def _encode(
    document: tree_state.Document, organisations: tree.Organisations
) -> Result[Proposal, errors.Problem]:
    encoded = msgspec.json.encode(document)
    if len(encoded) <= MAX_DOCUMENT_BYTES:
        return Success(Proposal(document, encoded.decode(), organisations))
    return Failure(
        errors.Problem(
            errors.ProblemKind.EDIT_INVALID,
            f"The document would have {len(encoded)} bytes, more than the"
            f" {MAX_DOCUMENT_BYTES} that the store can hold.",
            "Move settings that branches share to their parent branch, or"
            " remove branches that are not used.",
        )
    )
