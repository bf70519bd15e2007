"""The configuration tree: inheritance, checks and changes.

A branch is a JSON object. `branches` holds its sub-branches by name; every
other field is a setting that the sub-branches inherit. Objects are merged key
by key, other values are replaced, and null drops what would be inherited. A
branch without sub-branches is an organisation.
"""

import re
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
from dandelionpick import tree_state

BRANCHES = "branches"
SECTIONS = {
    "classes": tree_state.JobClass,
    "guarantees": tree_state.Guarantee,
}
# Deep enough for 16 levels of branches with their settings, and far below
# Python's recursion limit.
MAX_DEPTH = 40
MAX_PATH_LENGTH = 200
# Each failure domain plans every shape; the target size has 7,100 accelerators.
MAX_SHAPES = 10_000

Organisations = dict[ids.OrganisationId, tree_state.Organisation]

_NAME = re.compile(r"[^/\x00-\x1f\x7f]{1,64}")


def invalid(path: str, what: str, remedy: str) -> errors.Problem:
    """Builds the problem of a path in the tree."""
    return errors.Problem(
        errors.ProblemKind.EDIT_INVALID, f'"{path}" {what}.', remedy
    )


def read(root: Any) -> Result[Organisations, errors.Problem]:
    """Checks a tree and returns every organisation with inherited settings.

    Returns:
        The organisations, or the first problem with its path and remedy.
    """
    if _too_deep(root):
        return Failure(
            invalid(
                "",
                f"is nested more than {MAX_DEPTH} levels deep",
                "Use fewer levels of branches.",
            )
        )
    for problem in _branch_problems(root, ""):
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
    """Tells whether a change of one path touches the other path."""
    if not one or not other:
        return True
    return f"{one}/".startswith(f"{other}/") or f"{other}/".startswith(
        f"{one}/"
    )


def _join(path: str, name: str) -> str:
    return f"{path}/{name}" if path else name


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


def _branch_problems(branch: Any, path: str) -> Iterator[errors.Problem]:
    """Yields the problems of what a branch and its sub-branches set."""
    if not isinstance(branch, dict):
        yield invalid(path, "is not an object", "Set it to an object.")
        return
    for name, value in branch.items():
        below = _join(path, name)
        if name == BRANCHES:
            yield from _sub_branch_problems(value, below)
        elif name in SECTIONS:
            yield from _section_problems(value, below, SECTIONS[name])
        else:
            yield from _setting_problems(
                name, value, below, tree_state.Organisation
            )


def _sub_branch_problems(value: Any, path: str) -> Iterator[errors.Problem]:
    yield from _name_problems(value, path)
    if isinstance(value, dict):
        for name, child in value.items():
            yield from _branch_problems(child, _join(path, name))


def _name_problems(value: Any, path: str) -> Iterator[errors.Problem]:
    if not isinstance(value, dict):
        yield invalid(path, "is not an object", "Set it to an object of names.")
        return
    for name in value:
        if not isinstance(name, str) or not _NAME.fullmatch(name):
            yield invalid(
                path,
                f"has the invalid name {name!r}",
                'Use 1 to 64 printable characters without "/".',
            )


def _section_problems(
    section: Any, path: str, item_type: type[msgspec.Struct]
) -> Iterator[errors.Problem]:
    """Yields the problems of the job classes or guarantees of a branch."""
    if section is None:
        return
    yield from _name_problems(section, path)
    if not isinstance(section, dict):
        return
    for item_name, item in section.items():
        item_path = _join(path, item_name)
        if item is None:
            continue
        if not isinstance(item, dict):
            yield invalid(
                item_path,
                "is not an object",
                "Set it to an object of settings, or to null to inherit none.",
            )
            continue
        for name, value in item.items():
            yield from _setting_problems(
                name, value, _join(item_path, name), item_type
            )


def _setting_problems(
    name: str, value: Any, path: str, owner: type[msgspec.Struct]
) -> Iterator[errors.Problem]:
    """Yields the problem of one setting of a struct, if it has one."""
    types = {field.name: field.type for field in msgspec.structs.fields(owner)}
    if name not in types:
        known = sorted(types) + [BRANCHES] * (owner is tree_state.Organisation)
        yield invalid(
            path,
            "is not a known setting",
            f"Use one of: {', '.join(known)}.",
        )
        return
    if value is None:
        return
    try:
        msgspec.convert(value, types[name])
    except msgspec.ValidationError as error:
        yield invalid(
            path,
            f"has an invalid value: {str(error)[0].lower()}{str(error)[1:]}",
            "Set it to a value of this type and range.",
        )


def _leaves(
    branch: dict[str, Any], path: str, inherited: dict[str, Any]
) -> Iterator[tuple[str, str, dict[str, Any]]]:
    """Yields path, name and effective settings of every organisation."""
    own = {name: value for name, value in branch.items() if name != BRANCHES}
    settings = merge(inherited, own)
    for name, child in branch.get(BRANCHES, {}).items():
        below = f"{_join(path, BRANCHES)}/{name}"
        if child.get(BRANCHES):
            yield from _leaves(child, below, settings)
        else:
            own = {key: child[key] for key in child if key != BRANCHES}
            yield below, name, merge(settings, own)


def _duplicate(name: str, first: str, second: str) -> errors.Problem:
    return invalid(
        second,
        f'has the name of the organisation at "{first}"',
        f'Give one of the organisations "{name}" another name.',
    )


def _missing_fields(
    path: str, settings: dict[str, Any]
) -> Iterator[errors.Problem]:
    required = [
        field.name
        for field in msgspec.structs.fields(tree_state.Guarantee)
        if field.required
    ]
    for name, guarantee in settings.get("guarantees", {}).items():
        missing = [field for field in required if field not in guarantee]
        if missing:
            yield invalid(
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
        invalid(
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
        return invalid(
            path[:MAX_PATH_LENGTH],
            f"is longer than {MAX_PATH_LENGTH} characters or {MAX_DEPTH} names",
            "Set a branch or section nearer to the root.",
        )
    if not all(segments):
        return invalid(
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
            invalid(path, "is not an object", "Set the whole value instead.")
        )
    if change.remove:
        return Failure(_nothing_to_remove(change.path))
    # A misspelt name must not create an organisation.
    if depth % 2 and all(name == BRANCHES for name in segments[:depth:2]):
        return Failure(
            invalid(
                path,
                "is not a branch",
                f'Correct the name, or create it by setting "{path}" to {{}}.',
            )
        )
    return Success({})


def _nothing_to_remove(path: str) -> errors.Problem:
    return invalid(
        path,
        "is not set, so it can't be removed",
        "Remove it where it is set, or set it to null to inherit none.",
    )
