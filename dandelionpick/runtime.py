"""Feeds events to the reducer and performs the effects it returns."""

import asyncio
import functools
import itertools
import random
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from absl import logging
from returns.result import Failure
from returns.result import Result

from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import events
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import loop_lag
from dandelionpick import metrics
from dandelionpick import peer_messages
from dandelionpick import reduction as reduction_lib
from dandelionpick import tracing

TICK_PERIOD_S = 0.1
STALL_THRESHOLD_S = 1.0
# Minimum time between tracebacks of the same fault; a handler that fails on
# every tick would otherwise log ten per second.
FAULT_LOG_PERIOD_S = 10.0
# Added to the wait that a message requests. A response that is still missing
# after that means that a handler failed.
RESPONSE_MARGIN_S = 30.0

_fault_last_logged_s: dict[tuple[str, str, type], float] = {}

INTERNAL_ERROR = peer_messages.Refused(
    errors.Problem(
        errors.ProblemKind.INTERNAL,
        "This instance failed while it handled the message.",
        "Send the message again with the same key or edit id and a higher"
        " attempt; it may have taken effect.",
    )
)

Sender = Callable[[effects.Call], Awaitable[Result[Any, kinds.CallFailure]]]
Reduce = Callable[[Any, events.Event], reduction_lib.Reduction]


class Runtime:
    """Runs one instance's reducer, its pending exchanges and its calls.

    Attributes:
        state: the reducer's state.
        exit_requested: set when the reducer requests that the process exit.
        exchanges: futures of the responses that are still due, by exchange.
        call_tasks: tasks of the calls in progress.
        last_tick_s: `clock_s` at the last tick, or at the last detected stall.
        lag: how late the ticks are; the timeouts of calls exclude it.
    """

    def __init__(
        self,
        state: Any,
        reduce: Reduce,
        send: Sender,
        tracer: tracing.Tracer,
        lag: loop_lag.LoopLag | None = None,
    ):
        self.state = state
        self.reduce = reduce
        self.send = send
        self.tracer = tracer
        self.exit_requested = asyncio.Event()
        self.exchanges: dict[ids.ExchangeId, asyncio.Future] = {}
        self.call_tasks: set[asyncio.Task] = set()
        self.random = random.Random()
        self.exchange_numbers = itertools.count(1)
        self.last_tick_s = clock_s()
        self.lag = lag or loop_lag.LoopLag()

    def moment(self) -> events.Moment:
        """Returns the current time and a new random number."""
        return events.Moment(
            now_s=clock_s(),
            unix_ms=time.time_ns() // 1_000_000,
            random_value=self.random.random(),
            lag_s=self.lag.last_s,
        )

    def deliver(self, event: events.Event) -> None:
        """Applies an event and performs its effects.

        A stall of the event loop is applied first, so that no effect relies on
        a lease that expired while the process did not run.
        """
        self._detect_stall(event.moment.now_s)
        self._apply(event)

    def _detect_stall(self, now_s: float) -> None:
        stall_s = now_s - self.last_tick_s - TICK_PERIOD_S
        if stall_s <= STALL_THRESHOLD_S:
            return
        self.last_tick_s = now_s
        metrics.add("stalls_total", (), 1.0)
        metrics.observe("loop_lag_seconds", (), stall_s)
        self._apply(events.Stalled(self.moment(), stall_s))

    def _apply(self, event: events.Event) -> None:
        reduction = self.reduce(self.state, event)
        for effect in reduction.effects:
            try:
                _perform(effect, self)
            except Exception as error:
                report_fault("effect", type(effect).__name__, error)
        for error in reduction.faults:
            report_fault("event", _event_name(event), error)
        for fault in reduction.contained:
            report_fault("item", fault.part, fault.error, fault.item)
        if reduction.faults and isinstance(event, events.Received):
            _perform(effects.Respond(event.exchange_id, INTERNAL_ERROR), self)

    async def exchange(self, message: Any, trace: str = "") -> Any:
        """Passes an inbound message to the reducer and awaits its response."""
        exchange_id = ids.ExchangeId(f"x{next(self.exchange_numbers)}")
        future = asyncio.get_running_loop().create_future()
        self.exchanges[exchange_id] = future
        started_s = time.monotonic()
        try:
            self.deliver(
                events.Received(self.moment(), exchange_id, message, trace)
            )
            async with asyncio.timeout(response_timeout_s(message)):
                reply = await future
        except TimeoutError:
            error = TimeoutError(f"no response to {exchange_id}")
            report_fault("exchange", type(message).__name__, error)
            reply = INTERNAL_ERROR
        finally:
            self.exchanges.pop(exchange_id, None)
        _record_response(message, reply, time.monotonic() - started_s)
        return reply

    async def run_ticks(self) -> None:
        """Delivers periodic ticks until cancelled; records the delay of each.

        They go on after the exit was requested, because requests on open
        connections can still arrive and be retried or refused.
        """
        self.last_tick_s = clock_s()
        while True:
            await asyncio.sleep(TICK_PERIOD_S)
            self.lag.record_tick(TICK_PERIOD_S)
            moment = self.moment()
            lag_s = max(0.0, moment.now_s - self.last_tick_s - TICK_PERIOD_S)
            if lag_s <= STALL_THRESHOLD_S:
                metrics.observe("loop_lag_seconds", (), lag_s)
            self.deliver(events.Tick(moment))
            self.last_tick_s = moment.now_s
            self._record_gauges()

    def _record_gauges(self) -> None:
        for gauge, value in self.state.gauges().items():
            metrics.put(gauge, value)
        metrics.put("open_exchanges", len(self.exchanges))
        metrics.put("open_calls", len(self.call_tasks))

    async def perform_call(self, call: effects.Call) -> None:
        """Sends a call and delivers its reply or failure as an event."""
        started_s = time.monotonic()
        service = call.destination.service.value
        try:
            with self.tracer.client_span(call) as traced:
                result = await self.send(traced)
        except Exception as error:
            # The request may have been sent before the exception was raised.
            report_fault("call", type(call.message).__name__, error)
            result = Failure(kinds.CallFailure.LOST)
        seconds = time.monotonic() - started_s
        metrics.observe("call_seconds", (service,), seconds)
        metrics.add("calls_total", (service, _result_label(result)), 1.0)
        moment = self.moment()
        event = result.map(
            lambda reply: events.Returned(moment, call.call_id, reply)
        ).lash(
            lambda failure: _to_success(
                events.Failed(moment, call.call_id, failure)
            )
        )
        self.deliver(event.unwrap())

    async def cancel_calls(self) -> None:
        """Cancels the calls in progress, before the process exits."""
        calls = list(self.call_tasks)
        for task in calls:
            task.cancel()
        await asyncio.gather(*calls, return_exceptions=True)


def clock_s() -> float:
    """Returns the seconds of a steady clock that includes suspended time.

    Leases on other machines expire while this one is suspended, and
    CLOCK_MONOTONIC does not count that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def response_timeout_s(message: Any) -> float:
    """Returns the seconds after which a missing response counts as a fault."""
    submission = getattr(message, "request", message)
    wait_s = max(
        getattr(submission, "deadline_s", 0.0),
        getattr(submission, "wait_s", 0.0),
    )
    return wait_s + RESPONSE_MARGIN_S


def report_fault(
    place: str, name: str, error: Exception, item: str = ""
) -> None:
    """Counts an unexpected exception and logs it, with a rate limit.

    Args:
        place: label of the faults_total metric.
        name: what failed, such as the type of the event or message.
        error: the exception.
        item: the job or target that it concerns, if it concerns only one.
    """
    metrics.add("faults_total", (place,), 1.0)
    fault = (place, name, type(error))
    now_s = time.monotonic()
    if (
        now_s - _fault_last_logged_s.get(fault, float("-inf"))
        < FAULT_LOG_PERIOD_S
    ):
        return
    _fault_last_logged_s[fault] = now_s
    logging.error(
        "runtime: %s %s failed: %r",
        place,
        f"{name} {item}".rstrip(),
        error,
        exc_info=(type(error), error, error.__traceback__),
    )


def _event_name(event: events.Event) -> str:
    message = getattr(event, "message", event)
    return type(message).__name__


def _result_label(result: Result[Any, kinds.CallFailure]) -> str:
    return result.swap().map(lambda failure: failure.value).value_or("replied")


def _record_response(message: Any, reply: Any, seconds: float) -> None:
    name = type(message).__name__
    outcome = getattr(reply, "outcome", None)
    problem = getattr(reply, "problem", None)
    if outcome is not None:
        label = outcome.value
    else:
        label = "ok" if problem is None else problem.kind.value
    metrics.add("responses_total", (name, label), 1.0)
    # Only classes of the configuration tree become labels; a refused request
    # can name any class.
    if outcome is kinds.Outcome.COMPLETED and hasattr(message, "job_class"):
        labels = (name, message.job_class)
        metrics.observe("response_seconds", labels, seconds)


def _to_success(event: events.Failed) -> Result[events.Failed, Any]:
    return Result.from_value(event)


@functools.singledispatch
def _perform(effect: effects.Effect, runtime: Runtime) -> None:
    raise TypeError(f"no handler for effect {type(effect).__name__}")


@_perform.register
def _(effect: effects.Call, runtime: Runtime) -> None:
    task = asyncio.ensure_future(runtime.perform_call(effect))
    runtime.call_tasks.add(task)
    task.add_done_callback(runtime.call_tasks.discard)


@_perform.register
def _(effect: effects.Respond, runtime: Runtime) -> None:
    future = runtime.exchanges.get(effect.exchange_id)
    if future is not None and not future.done():
        future.set_result(effect.message)


@_perform.register
def _(effect: effects.Note, runtime: Runtime) -> None:
    level = logging.WARNING if effect.warning else logging.INFO
    logging.log(
        level,
        "%s: %s",
        effect.component.value,
        effect.text,
        extra={"fields": effect.fields},
    )


@_perform.register
def _(effect: effects.Count, runtime: Runtime) -> None:
    metrics.add(effect.metric, effect.labels, effect.amount)


@_perform.register
def _(effect: effects.Observe, runtime: Runtime) -> None:
    metrics.observe(effect.metric, effect.labels, effect.value)


@_perform.register
def _(effect: effects.Exit, runtime: Runtime) -> None:
    runtime.exit_requested.set()
