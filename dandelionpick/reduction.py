"""Runs event handlers and isolates their exceptions."""

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
    """The effects of an event and the exceptions of its handlers.

    Attributes:
        faults: exceptions, in the order in which they were raised.
        contained: exceptions that concerned one item only.
    """

    effects: list[effects.Effect]
    faults: list[Exception]
    contained: list[dispatch.ContainedFault] = dataclasses.field(
        default_factory=list
    )


def apply_guarded(
    handlers: Iterable[Handler], state: Any, event: events.Event
) -> Reduction:
    """Runs all handlers and collects their exceptions.

    A handler that fails does not stop the others. The state stays as it left
    it, and the effects that it had emitted are still returned, because the
    state may already depend on them, as with a pending call.
    """
    step = dispatch.Step(event.moment)
    faults = []
    for handler in handlers:
        try:
            handler(state, step)
        except Exception as error:
            faults.append(error)
    return Reduction(step.emitted, faults, step.contained)
