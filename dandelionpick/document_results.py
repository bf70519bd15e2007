"""Results of document reads and record changes, and their handlers."""

import dataclasses
import functools
from typing import Any

from dandelionpick import dispatch
from dandelionpick import state as state_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The store now holds the record."""

    record: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """The record's revision was not the expected one; nothing was changed.

    Attributes:
        record: the record that the store holds; None if there is none.
    """

    record: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not confirm the change or read.

    Attributes:
        definite: the change was never sent, so it can't take effect. False if
            a write of unknown result may still take effect.
    """

    definite: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Fresh:
    """The document was read from the store after the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The document has no space for the new record."""


@functools.singledispatch
def handle_result(
    context: Any, state: state_lib.State, step: dispatch.Step, result: Any
) -> None:
    """Handles the result of a read or change.

    Handlers register for the type of the context that the read or change was
    started with.
    """
    raise TypeError(f"no handler for context {type(context).__name__}")
