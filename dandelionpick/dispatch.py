"""Extension points of the reducer: handlers register by type."""

import dataclasses
import functools
from typing import Any
from typing import Protocol

from dandelionpick import effects
from dandelionpick import events
from dandelionpick import ids
from dandelionpick import kinds


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call that has neither returned nor failed."""

    destination: effects.Destination
    context: Any
    trace: str


class CallerState(Protocol):
    """What a reducer's state needs in order to make calls.

    Attributes:
        incarnation: makes call ids unique among processes.
        calls: calls in progress.
        calls_made: calls so far.
    """

    incarnation: ids.Incarnation
    calls: dict[ids.CallId, PendingCall]
    calls_made: int


@dataclasses.dataclass(slots=True)
class Step:
    """One run of the reducer: the event's moment and the effects it emitted.

    Attributes:
        trace: W3C traceparent that the calls of this step belong to.
    """

    moment: events.Moment
    trace: str = ""
    emitted: list[effects.Effect] = dataclasses.field(default_factory=list)

    def emit(self, effect: effects.Effect) -> None:
        """Adds an effect."""
        self.emitted.append(effect)

    def note(
        self,
        part: effects.Part,
        text: str,
        warning: bool = False,
        **fields: Any,
    ) -> None:
        """Adds a log line, with further values by name."""
        self.emitted.append(effects.Note(part, text, warning, fields))

    def count(self, metric: str, *labels: str) -> None:
        """Adds one to a counter."""
        self.emitted.append(effects.Count(metric, labels))

    def respond(self, exchange_id: ids.ExchangeId, message: Any) -> None:
        """Answers an exchange."""
        self.emitted.append(effects.Respond(exchange_id, message))


def call(
    state: CallerState,
    step: Step,
    destination: effects.Destination,
    message: Any,
    context: Any,
    timeout_s: float,
) -> ids.CallId:
    """Sends a message; `returned` or `failed` runs later with the context.

    Args:
        state: the reducer's state.
        step: the current step.
        destination: the receiver.
        message: a typed message of the receiver's interface.
        context: a struct whose type has `returned` and `failed` handlers.
        timeout_s: seconds until the call fails as LOST.

    Returns:
        The id of the call.
    """
    state.calls_made += 1
    call_id = ids.CallId(f"{state.incarnation}-{state.calls_made}")
    state.calls[call_id] = PendingCall(destination, context, step.trace)
    step.emit(
        effects.Call(call_id, destination, message, timeout_s, step.trace)
    )
    return call_id


def settle(
    state: CallerState, step: Step, call_id: ids.CallId
) -> PendingCall | None:
    """Takes a call out that has ended; returns None if it is not known."""
    pending = state.calls.pop(call_id, None)
    if pending is not None:
        step.trace = pending.trace
    return pending


@functools.singledispatch
def receive(
    message: Any,
    state: Any,
    step: Step,
    exchange_id: ids.ExchangeId,
) -> None:
    """Handles a message from a caller, operator or peer."""
    raise TypeError(f"no handler for message {type(message).__name__}")


@functools.singledispatch
def returned(context: Any, state: Any, step: Step, reply: Any) -> None:
    """Handles the reply to a call that was made with this context."""
    raise TypeError(f"no handler for context {type(context).__name__}")


@functools.singledispatch
def failed(
    context: Any,
    state: Any,
    step: Step,
    failure: kinds.CallFailure,
) -> None:
    """Handles a call without a reply that was made with this context."""
    raise TypeError(f"no handler for context {type(context).__name__}")
