"""Differences between two trees of settings, as changes of an edit."""

from collections.abc import Iterator
from typing import Any

from dandelionpick import operator_messages as operator

SEPARATOR = "/"


def changes_between(
    old: dict[str, Any], new: dict[str, Any], prefix: str = ""
) -> Iterator[operator.Change]:
    """Yields the changes that turn one tree into another.

    Raises:
        ValueError: a setting's name contains the separator of paths.
    """
    for name in sorted({*old, *new}):
        if SEPARATOR in name:
            raise ValueError(
                f'the name "{name}" contains "{SEPARATOR}"; rename the setting'
            )
        path = f"{prefix}{name}"
        if name not in new:
            yield operator.Change(path, remove=True)
            continue
        old_value, new_value = old.get(name), new[name]
        if isinstance(old_value, dict) and isinstance(new_value, dict):
            yield from changes_between(
                old_value, new_value, f"{path}{SEPARATOR}"
            )
        elif name not in old or old_value != new_value:
            yield operator.Change(path, new_value)


def value_at(tree: dict[str, Any], path: str) -> Any:
    """Returns the value that a path names.

    Raises:
        KeyError: the tree has no such setting.
    """
    value: Any = tree
    for name in filter(None, path.split(SEPARATOR)):
        if not isinstance(value, dict) or name not in value:
            raise KeyError(path)
        value = value[name]
    return value
