"""The configuration tree: inheritance, validation and changes.

A branch is a JSON object. `branches` holds its sub-branches by name; every
other field is a setting that the sub-branches inherit. Objects are merged key
by key, other values are replaced, and null drops an inherited value. A branch
without sub-branches is an organisation.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import operator_messages
from dandelionpick import tree_checks
from dandelionpick import tree_state

# Deep enough for 16 levels of branches with their settings, and far below
# Python's recursion limit.
MAX_DEPTH = 40
MAX_PATH_LENGTH = 200
# Each failure domain plans every shape; the system is designed for 7,100
# accelerators.
MAX_SHAPES = 10_000

_REQUIRED_GUARANTEE_FIELDS = [
    field.name
    for field in msgspec.structs.fields(tree_state.Guarantee)
    if field.required
]

Organisations = dict[ids.OrganisationId, tree_state.Organisation]


def resolve(root: Any) -> Result[Organisations, errors.Problem]:
    """Validates a tree and resolves the inherited settings of organisations.

    Returns:
        The organisations, or the first problem with its path and remedy.
    """
    if _exceeds_max_depth(root):
        return Failure(
            tree_checks.problem_at(
                "",
                f"is nested more than {MAX_DEPTH} levels deep",
                "Use fewer levels of branches.",
            )
        )
    problem = tree_checks.first_problem(root)
    if problem is not None:
        return Failure(problem)
    found: dict[str, tuple[str, dict[str, Any]]] = {}
    for path, name, settings in _iter_organisations(root, "", {}):
        if name in found:
            return Failure(_duplicate_name(name, found[name][0], path))
        found[name] = (path, settings)
    for path, settings in found.values():
        for problem in _missing_fields(path, settings):
            return Failure(problem)
    organisations = {
        ids.OrganisationId(name): msgspec.convert(
            settings, tree_state.Organisation
        )
        for name, (_, settings) in found.items()
    }
    return _check_shape_count(organisations)


def merge(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Merges overrides into a copy of base, key by key; null drops a key."""
    merged = dict(base)
    for name, value in overrides.items():
        inherited = merged.get(name)
        if value is None:
            merged.pop(name, None)
        elif isinstance(value, dict):
            merged[name] = merge(
                inherited if isinstance(inherited, dict) else {}, value
            )
        else:
            merged[name] = value
    return merged


def apply(
    root: dict[str, Any], changes: Iterable[operator_messages.Change]
) -> Result[dict[str, Any], errors.Problem]:
    """Applies changes in order to a copy of a tree.

    Returns:
        The new tree, not validated, or the problem of the first change that
        can't be applied.
    """
    for change in changes:
        result = _apply_one(root, change)
        if isinstance(result, Failure):
            return result
        root = result.unwrap()
    return Success(root)


def paths_overlap(first: str, second: str) -> bool:
    """Returns whether a change of one path touches the other path."""
    if not first or not second:
        return True
    return f"{first}/".startswith(f"{second}/") or f"{second}/".startswith(
        f"{first}/"
    )


def _exceeds_max_depth(root: Any) -> bool:
    level = [root]
    for _ in range(MAX_DEPTH):
        level = [
            value
            for item in level
            for value in (item.values() if isinstance(item, dict) else item)
            if isinstance(value, dict | list)
        ]
    return bool(level)


def _iter_organisations(
    branch: dict[str, Any], path: str, inherited: dict[str, Any]
) -> Iterator[tuple[str, str, dict[str, Any]]]:
    """Yields path, name and effective settings of every organisation."""
    own = {
        name: value
        for name, value in branch.items()
        if name != tree_checks.BRANCHES
    }
    settings = merge(inherited, own)
    for name, child in branch.get(tree_checks.BRANCHES, {}).items():
        child_path = (
            f"{tree_checks.join_path(path, tree_checks.BRANCHES)}/{name}"
        )
        if child.get(tree_checks.BRANCHES):
            yield from _iter_organisations(child, child_path, settings)
        else:
            own = {
                key: child[key] for key in child if key != tree_checks.BRANCHES
            }
            yield child_path, name, merge(settings, own)


def _duplicate_name(name: str, first: str, second: str) -> errors.Problem:
    return tree_checks.problem_at(
        second,
        f'has the name of the organisation at "{first}"',
        f'Give one of the organisations "{name}" another name.',
    )


def _missing_fields(
    path: str, settings: dict[str, Any]
) -> Iterator[errors.Problem]:
    for name, guarantee in settings.get("guarantees", {}).items():
        missing = [
            field
            for field in _REQUIRED_GUARANTEE_FIELDS
            if field not in guarantee
        ]
        if missing:
            yield tree_checks.problem_at(
                f"{path}/guarantees/{name}",
                f"lacks {', '.join(missing)}",
                "Set each of them here or in a branch above.",
            )


def _check_shape_count(
    organisations: Organisations,
) -> Result[Organisations, errors.Problem]:
    shapes = sum(
        guarantee.count
        for organisation in organisations.values()
        for guarantee in organisation.guarantees.values()
    )
    if shapes <= MAX_SHAPES:
        return Success(organisations)
    return Failure(
        tree_checks.problem_at(
            "",
            f"guarantees {shapes} shapes, more than {MAX_SHAPES}",
            "Lower the counts of the guarantees.",
        )
    )


def _apply_one(
    root: dict[str, Any], change: operator_messages.Change
) -> Result[dict[str, Any], errors.Problem]:
    segments = change.path.split("/")
    problem = _path_problem(change.path, segments)
    if problem is not None:
        return Failure(problem)
    copy = dict(root)
    node = copy
    for depth, name in enumerate(segments[:-1]):
        result = _child_copy(node, segments, depth, change)
        if isinstance(result, Failure):
            return result
        node[name] = result.unwrap()
        node = node[name]
    name = segments[-1]
    if not change.remove:
        node[name] = change.value
    elif name in node:
        del node[name]
    else:
        return Failure(_nothing_to_remove(change.path))
    return Success(copy)


def _path_problem(path: str, segments: list[str]) -> errors.Problem | None:
    if len(path) > MAX_PATH_LENGTH or len(segments) > MAX_DEPTH:
        return tree_checks.problem_at(
            path[:MAX_PATH_LENGTH],
            f"is longer than {MAX_PATH_LENGTH} characters or {MAX_DEPTH} names",
            "Set a branch or section nearer to the root.",
        )
    if not all(segments):
        return tree_checks.problem_at(
            path,
            "has an empty name",
            'Give the names from the root, separated by single "/".',
        )
    return None


def _child_copy(
    node: dict[str, Any],
    segments: list[str],
    depth: int,
    change: operator_messages.Change,
) -> Result[dict[str, Any], errors.Problem]:
    """Returns a copy of the object at segments[depth], {} if it is absent."""
    child = node.get(segments[depth])
    if isinstance(child, dict):
        return Success(dict(child))
    path = "/".join(segments[: depth + 1])
    if child is not None:
        return Failure(
            tree_checks.problem_at(
                path, "is not an object", "Set the whole value instead."
            )
        )
    if change.remove:
        return Failure(_nothing_to_remove(change.path))
    # A misspelt name must not create an organisation.
    if depth % 2 and all(
        name == tree_checks.BRANCHES for name in segments[:depth:2]
    ):
        return Failure(
            tree_checks.problem_at(
                path,
                "is not a branch",
                f'Correct the name, or create it by setting "{path}" to {{}}.',
            )
        )
    return Success({})


def _nothing_to_remove(path: str) -> errors.Problem:
    return tree_checks.problem_at(
        path,
        "is not set, so it can't be removed",
        "Remove it where it is set, or set it to null to inherit none.",
    )
