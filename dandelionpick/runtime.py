"""Drives the reducer: feeds it events and performs its effects."""

import asyncio
import functools
import itertools
import random
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from absl import logging
from returns.result import Result

from dandelionpick import effects
from dandelionpick import events
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import metrics
from dandelionpick import reducer
from dandelionpick import state as state_lib
from dandelionpick import tracing

TICK_S = 0.1
STALL_S = 1.0

Sender = Callable[[effects.Call], Awaitable[Result[Any, kinds.CallFailure]]]


class Runtime:
    """One instance's reducer, its pending exchanges and its calls.

    Attributes:
        state: the reducer's state.
        exited: set when the reducer asks the process to exit.
        alive_s: monotonic seconds of the last event.
    """

    def __init__(
        self,
        state: state_lib.State,
        send: Sender,
        tracer: tracing.Tracer,
    ):
        self.state = state
        self.send = send
        self.tracer = tracer
        self.exited = asyncio.Event()
        self.exchanges: dict[ids.ExchangeId, asyncio.Future] = {}
        self.calls: set[asyncio.Task] = set()
        self.alive_s = time.monotonic()
        self.random = random.Random()
        self.numbers = itertools.count(1)

    def moment(self) -> events.Moment:
        """Reads the clocks and draws a random number."""
        return events.Moment(
            now_s=time.monotonic(),
            unix_ms=time.time_ns() // 1_000_000,
            draw=self.random.random(),
        )

    def deliver(self, event: events.Event) -> None:
        """Applies an event and performs its effects.

        A stall of the event loop is delivered first. After a pause the loop
        serves ready connections before timers, so that the next tick would
        tell of the stall too late.
        """
        stall_s = event.moment.now_s - self.alive_s - TICK_S
        self.alive_s = event.moment.now_s
        if stall_s > STALL_S:
            self._apply(events.Stalled(event.moment, stall_s))
        self._apply(event)

    def _apply(self, event: events.Event) -> None:
        for effect in reducer.reduce(self.state, event):
            _perform(effect, self)

    async def exchange(self, message: Any, trace: str = "") -> Any:
        """Hands an inbound message to the reducer and awaits its response."""
        exchange_id = ids.ExchangeId(f"x{next(self.numbers)}")
        future = asyncio.get_running_loop().create_future()
        self.exchanges[exchange_id] = future
        try:
            self.deliver(
                events.Received(self.moment(), exchange_id, message, trace)
            )
            return await future
        finally:
            self.exchanges.pop(exchange_id, None)

    async def run_ticks(self) -> None:
        """Delivers ticks."""
        while not self.exited.is_set():
            await asyncio.sleep(TICK_S)
            self.deliver(events.Tick(self.moment()))

    async def perform_call(self, call: effects.Call) -> None:
        """Sends a call and delivers its reply or failure."""
        with self.tracer.client_span(call) as traced:
            result = await self.send(traced)
        moment = self.moment()
        event = result.map(
            lambda reply: events.Returned(moment, call.call_id, reply)
        ).lash(
            lambda failure: _as_success(
                events.Failed(moment, call.call_id, failure)
            )
        )
        self.deliver(event.unwrap())


def _as_success(event: events.Failed) -> Result[events.Failed, Any]:
    return Result.from_value(event)


@functools.singledispatch
def _perform(effect: effects.Effect, runtime: Runtime) -> None:
    raise TypeError(f"no performer for effect {type(effect).__name__}")


@_perform.register
def _(effect: effects.Call, runtime: Runtime) -> None:
    task = asyncio.ensure_future(runtime.perform_call(effect))
    runtime.calls.add(task)
    task.add_done_callback(runtime.calls.discard)


@_perform.register
def _(effect: effects.Respond, runtime: Runtime) -> None:
    future = runtime.exchanges.get(effect.exchange_id)
    if future is not None and not future.done():
        future.set_result(effect.message)


@_perform.register
def _(effect: effects.Note, runtime: Runtime) -> None:
    level = logging.WARNING if effect.warning else logging.INFO
    logging.log(level, "%s: %s", effect.part.value, effect.text)


@_perform.register
def _(effect: effects.Count, runtime: Runtime) -> None:
    metrics.add(effect.metric, effect.labels, effect.amount)


@_perform.register
def _(effect: effects.Observe, runtime: Runtime) -> None:
    metrics.observe(effect.metric, effect.labels, effect.value)


@_perform.register
def _(effect: effects.Exit, runtime: Runtime) -> None:
    runtime.exited.set()
