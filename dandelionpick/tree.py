"""The configuration tree: inheritance and checks.

A branch is a JSON object. `branches` holds its sub-branches by name; every
other field is a setting that the sub-branches inherit. Objects are merged key
by key, other values are replaced. A branch without sub-branches is an
organisation.
"""

from typing import Any

import msgspec

from dandelionpick import ids
from dandelionpick import tree_state

BRANCHES = "branches"


def organisations_of(
    root: dict[str, Any],
) -> dict[ids.OrganisationId, tree_state.Organisation]:
    """Returns every organisation with its inherited settings.

    Raises:
        msgspec.ValidationError: a setting has a wrong name, type or value.
    """
    found: dict[ids.OrganisationId, tree_state.Organisation] = {}
    _collect(root, {}, found)
    return found


def _collect(
    branch: dict[str, Any],
    inherited: dict[str, Any],
    found: dict[ids.OrganisationId, tree_state.Organisation],
) -> None:
    own = {name: value for name, value in branch.items() if name != BRANCHES}
    settings = merge(inherited, own)
    for name, child in branch.get(BRANCHES, {}).items():
        if child.get(BRANCHES):
            _collect(child, settings, found)
            continue
        effective = merge(settings, child)
        found[ids.OrganisationId(name)] = msgspec.convert(
            effective, tree_state.Organisation
        )


def merge(base: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    """Returns base with over laid on it, object by object."""
    merged = dict(base)
    for name, value in over.items():
        below = merged.get(name)
        if isinstance(below, dict) and isinstance(value, dict):
            merged[name] = merge(below, value)
        else:
            merged[name] = value
    return merged
