"""Applies an event to a state through handlers that may fail."""

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import events

Handler = Callable[[Any, dispatch.Step], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Reduction:
    """Effects of an event, and the handlers that failed.

    Attributes:
        faults: exceptions, in order.
    """

    effects: list[effects.Effect]
    faults: list[Exception]


def apply_guarded(
    handlers: Iterable[Handler], state: Any, event: events.Event
) -> Reduction:
    """Runs handlers and contains their exceptions.

    The state stays as a failed handler left it, and the effects that it had
    emitted are returned: the state already counts on them, as in the case of
    a pending call. The other handlers run.
    """
    step = dispatch.Step(event.moment)
    faults = []
    for handler in handlers:
        try:
            handler(state, step)
        except Exception as error:
            faults.append(error)
    return Reduction(step.emitted, faults)
