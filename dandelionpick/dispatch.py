"""Dispatch of messages and call results to handlers, by type."""

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
    """A call that has neither returned a reply nor failed.

    Attributes:
        context: selects the handlers of the reply and of a failure.
        trace: W3C traceparent of the step that made the call.
        sent_s: when it was made.
    """

    destination: effects.Destination
    context: Any
    trace: str
    sent_s: float = 0.0


class CallerState(Protocol):
    """The part of a reducer's state that is needed to make calls.

    Attributes:
        incarnation: id of this process; makes call ids unique among processes.
        calls: calls in progress.
        calls_made: number of calls so far.
    """

    incarnation: ids.Incarnation
    calls: dict[ids.CallId, PendingCall]
    calls_made: int


@dataclasses.dataclass(frozen=True, slots=True)
class ContainedFault:
    """An unexpected exception that concerned one item only.

    Attributes:
        part: what was done when it was raised.
        item: the item, such as a job or a target.
    """

    part: str
    item: str
    error: Exception


@dataclasses.dataclass(slots=True)
class Step:
    """One application of an event: its moment and the emitted effects.

    Attributes:
        trace: W3C traceparent of the calls that this step makes.
        contained: exceptions that have not ended the handler.
    """

    moment: events.Moment
    trace: str = ""
    emitted: list[effects.Effect] = dataclasses.field(default_factory=list)
    contained: list[ContainedFault] = dataclasses.field(default_factory=list)

    def emit(self, effect: effects.Effect) -> None:
        """Adds an effect to the step."""
        self.emitted.append(effect)

    def note(
        self,
        component: effects.Component,
        text: str,
        warning: bool = False,
        **fields: Any,
    ) -> None:
        """Writes a log line; `fields` are added to it as structured fields."""
        self.emitted.append(effects.Note(component, text, warning, fields))

    def count(self, metric: str, *labels: str) -> None:
        """Increments a counter by one."""
        self.emitted.append(effects.Count(metric, labels))

    def respond(self, exchange_id: ids.ExchangeId, message: Any) -> None:
        """Sends the response of an exchange."""
        self.emitted.append(effects.Respond(exchange_id, message))


def call(
    state: CallerState,
    step: Step,
    destination: effects.Destination,
    message: Any,
    context: Any,
    timeout_s: float,
) -> ids.CallId:
    """Sends a message; the reply or failure is handled by the context's type.

    Args:
        state: the reducer's state.
        step: the current step.
        destination: the receiver.
        message: a typed message of the receiver's interface.
        context: a struct whose type has handlers for a reply and for a failure.
        timeout_s: seconds after which the call fails, as LOST if it may have
            been sent.

    Returns:
        The id of the call.
    """
    state.calls_made += 1
    call_id = ids.CallId(f"{state.incarnation}-{state.calls_made}")
    state.calls[call_id] = PendingCall(
        destination, context, step.trace, step.moment.now_s
    )
    step.emit(
        effects.Call(call_id, destination, message, timeout_s, step.trace)
    )
    return call_id


def pop_call(
    state: CallerState, step: Step, call_id: ids.CallId
) -> PendingCall | None:
    """Removes and returns a completed call; None if its id is unknown."""
    pending = state.calls.pop(call_id, None)
    if pending is not None:
        step.trace = pending.trace
    return pending


@functools.singledispatch
def on_message(
    message: Any,
    state: Any,
    step: Step,
    exchange_id: ids.ExchangeId,
) -> None:
    """Handles a message from a caller, operator or peer."""
    raise TypeError(f"no handler for message {type(message).__name__}")


@functools.singledispatch
def on_reply(context: Any, state: Any, step: Step, reply: Any) -> None:
    """Handles the reply to a call that was made with the given context."""
    raise TypeError(f"no handler for context {type(context).__name__}")


@functools.singledispatch
def on_failure(
    context: Any,
    state: Any,
    step: Step,
    failure: kinds.CallFailure,
) -> None:
    """Handles the failure of a call that was made with the given context."""
    raise TypeError(f"no handler for context {type(context).__name__}")
