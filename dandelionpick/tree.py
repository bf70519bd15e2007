"""The configuration tree: inheritance, checks and changes.

A branch is a JSON object. `branches` holds its sub-branches by name; every
other field is a setting that the sub-branches inherit. Objects are merged key
by key, other values are replaced, and null drops what would be inherited. A
branch without sub-branches is an organisation.
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
# Each failure domain plans every shape; the target size has 7,100 accelerators.
MAX_SHAPES = 10_000

_REQUIRED = [
    field.name
    for field in msgspec.structs.fields(tree_state.Guarantee)
    if field.required
]

Organisations = dict[ids.OrganisationId, tree_state.Organisation]


def read(root: Any) -> Result[Organisations, errors.Problem]:
    """Checks a tree and returns every organisation with inherited settings.

    Returns:
        The organisations, or the first problem with its path and remedy.
    """
    if _too_deep(root):
        return Failure(
            tree_checks.invalid(
                "",
                f"is nested more than {MAX_DEPTH} levels deep",
                "Use fewer levels of branches.",
            )
        )
    problem = tree_checks.first_problem(root)
    if problem is not None:
        return Failure(problem)
    found: dict[str, tuple[str, dict[str, Any]]] = {}
    for path, name, settings in _leaves(root, "", {}):
        if name in found:
            return Failure(_duplicate(name, found[name][0], path))
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
    return _check_shapes(organisations)


def merge(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    """Returns base with over laid on it, object by object; null drops."""
    merged = dict(base)
    for name, value in over.items():
        below = merged.get(name)
        if value is None:
            merged.pop(name, None)
        elif isinstance(value, dict):
            merged[name] = merge(
                below if isinstance(below, dict) else {}, value
            )
        else:
            merged[name] = value
    return merged


def apply(
    root: dict[str, Any], changes: Iterable[operator_messages.Change]
) -> Result[dict[str, Any], errors.Problem]:
    """Applies changes in order to a copy of a tree.

    Returns:
        The new tree, unchecked, or the problem of the first change that can't
        be applied.
    """
    for change in changes:
        result = _apply_one(root, change)
        if isinstance(result, Failure):
            return result
        root = result.unwrap()
    return Success(root)


def overlap(one: str, other: str) -> bool:
    """Returns whether a change of one path touches the other path."""
    if not one or not other:
        return True
    return f"{one}/".startswith(f"{other}/") or f"{other}/".startswith(
        f"{one}/"
    )


def _too_deep(root: Any) -> bool:
    level = [root]
    for _ in range(MAX_DEPTH):
        level = [
            value
            for item in level
            for value in (item.values() if isinstance(item, dict) else item)
            if isinstance(value, dict | list)
        ]
    return bool(level)


def _leaves(
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
        below = f"{tree_checks.join(path, tree_checks.BRANCHES)}/{name}"
        if child.get(tree_checks.BRANCHES):
            yield from _leaves(child, below, settings)
        else:
            own = {
                key: child[key] for key in child if key != tree_checks.BRANCHES
            }
            yield below, name, merge(settings, own)


def _duplicate(name: str, first: str, second: str) -> errors.Problem:
    return tree_checks.invalid(
        second,
        f'has the name of the organisation at "{first}"',
        f'Give one of the organisations "{name}" another name.',
    )


def _missing_fields(
    path: str, settings: dict[str, Any]
) -> Iterator[errors.Problem]:
    for name, guarantee in settings.get("guarantees", {}).items():
        missing = [field for field in _REQUIRED if field not in guarantee]
        if missing:
            yield tree_checks.invalid(
                f"{path}/guarantees/{name}",
                f"lacks {', '.join(missing)}",
                "Set each of them here or in a branch above.",
            )


def _check_shapes(
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
        tree_checks.invalid(
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
        return tree_checks.invalid(
            path[:MAX_PATH_LENGTH],
            f"is longer than {MAX_PATH_LENGTH} characters or {MAX_DEPTH} names",
            "Set a branch or section nearer to the root.",
        )
    if not all(segments):
        return tree_checks.invalid(
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
            tree_checks.invalid(
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
            tree_checks.invalid(
                path,
                "is not a branch",
                f'Correct the name, or create it by setting "{path}" to {{}}.',
            )
        )
    return Success({})


def _nothing_to_remove(path: str) -> errors.Problem:
    return tree_checks.invalid(
        path,
        "is not set, so it can't be removed",
        "Remove it where it is set, or set it to null to inherit none.",
    )
