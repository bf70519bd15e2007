"""Results of reads and changes of documents, and the handlers of results."""

import dataclasses
import functools
from typing import Any

from dandelionpick import dispatch
from dandelionpick import state as state_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The store holds the record."""

    record: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """The record had another revision; nothing was changed."""

    record: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not confirm the change.

    Attributes:
        certain: the change was never sent, so it can't take effect.
    """

    certain: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Fresh:
    """The document was read after it was asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The document has no room for the record."""


@functools.singledispatch
def committed(
    context: Any, state: state_lib.State, step: dispatch.Step, result: Any
) -> None:
    """Handles the result of a change that was made with this context."""
    raise TypeError(f"no handler for context {type(context).__name__}")
