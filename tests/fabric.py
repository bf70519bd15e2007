"""Simulated network between reducers and stand-in models in virtual time.

A single seeded random generator and a single event queue drive the simulation,
so that runs with the same seed give the same result.
"""

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from dandelionpick import effects
from dandelionpick import events
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import reducer
from dandelionpick import state as state_lib
from standins import executor as executor_lib
from standins import worker as worker_lib
from tests import builders
from tests import fabric_calls

START_UNIX_MS = fabric_calls.START_UNIX_MS
TICK_S = fabric_calls.TICK_S
PLATFORM = "platform"

StoreFault = fabric_calls.StoreFault


@dataclasses.dataclass
class Instance:
    """An entry instance: its reducer's state and its process's state.

    Attributes:
        state: None while the instance is crashed.
        paused: whether the process is paused; events then wait in `backlog`.
        paused_s: virtual time of the last pause.
    """

    entry: list_messages.InstanceEntry
    state: state_lib.State | None
    paused: bool = False
    paused_s: float = 0.0
    exited: bool = False
    backlog: list[Callable[[], None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Network:
    """Network faults: probabilities, and bounds of the delay in seconds."""

    min_delay_s: float = 0.001
    max_delay_s: float = 0.005
    drop: float = 0.0
    duplicate: float = 0.0


class Fabric(fabric_calls.StandIns):
    """Entry instances, targets and the platform in virtual time.

    Attributes:
        responses: responses by exchange id, in the order of sending.
        cuts: unordered pairs of failure domains that can't reach each other;
            PLATFORM stands for the store and the instance list.
        silent: targets that neither receive nor send messages.
    """

    def __init__(self, seed: int, limits: state_lib.Limits | None = None):
        super().__init__()
        self.random = random.Random(seed)
        self.limits = limits or state_lib.Limits()
        self.network = Network()
        self.list_reachable = True
        self.instances: dict[str, Instance] = {}
        self.entries: dict[str, list_messages.InstanceEntry] = {}
        self.cuts: set[frozenset[str]] = set()
        self.silent: set[str] = set()
        self.responses: dict[str, list[Any]] = {}
        self.peer_replies: dict[str, Callable[[Any], None]] = {}
        self.log_lines: list[str] = []

    # Setup.

    def add_executor(self, name: str, domain: str, slots: int = 8) -> Any:
        """Adds an executor and lists it."""
        model = executor_lib.Executor(slots, self.new_incarnation())
        entry = builders.executor_entry(name, domain, slots)
        return self.add_target(entry, model)

    def add_worker(
        self, name: str, domain: str, rack: str = "rack-1"
    ) -> worker_lib.Worker:
        """Adds a worker with 8 accelerators and lists it."""
        model = worker_lib.Worker(8, self.new_incarnation())
        return self.add_target(builders.worker_entry(name, domain, rack), model)

    def add_target(self, entry: list_messages.InstanceEntry, model: Any) -> Any:
        """Adds a target's model and lists the target."""
        self.targets[entry.id] = model
        self.list_entry(entry)
        return model

    def add_instance(self, name: str, domain: str) -> Instance:
        """Adds an entry instance and lists it."""
        entry = builders.instance_entry(name, domain)
        instance = Instance(entry, None)
        self.instances[name] = instance
        self.list_entry(entry)
        self.start_instance(name)
        self._schedule_tick(name)
        return instance

    def list_entry(self, entry: list_messages.InstanceEntry) -> None:
        """Adds or replaces an entry of the instance list."""
        self.entries[entry.id] = entry
        self.list.set_entries(list(self.entries.values()), self.now_s)

    def new_incarnation(self) -> str:
        """Returns an unused incarnation."""
        return f"i{next(self.counter)}"

    # Faults.

    def crash(self, name: str) -> None:
        """Ends an instance at once, with the loss of its state and calls."""
        instance = self.instances[name]
        instance.state = None
        instance.paused = False
        instance.backlog.clear()

    def start_instance(self, name: str) -> None:
        """Starts a crashed or new instance with an empty state."""
        instance = self.instances[name]
        identity = builders.identity(name, instance.entry.failure_domain)
        instance.exited = False
        instance.state = state_lib.State(
            identity, ids.Incarnation(self.new_incarnation()), self.limits
        )

    def pause(self, name: str) -> None:
        """Pauses an instance's process without ending it."""
        self.instances[name].paused = True
        self.instances[name].paused_s = self.now_s

    def resume(self, name: str) -> None:
        """Resumes a paused instance; the stall is the first event it gets."""
        instance = self.instances[name]
        instance.paused = False
        backlog, instance.backlog = instance.backlog, []
        stall_s = self.now_s - instance.paused_s
        self.deliver(name, events.Stalled(self.moment(), stall_s))
        for action in backlog:
            action()

    def cut(self, one: str, other: str) -> None:
        """Cuts the links of two failure domains, or of one and PLATFORM."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Restores all links, silent targets and the platform."""
        self.cuts.clear()
        self.silent.clear()
        self.store_fault = StoreFault.NONE
        self.list_reachable = True

    # Running.

    def moment(self) -> events.Moment:
        """Returns the current time and a random value."""
        return events.Moment(self.now_s, self.unix_ms(), self.random.random())

    def _schedule_tick(self, name: str) -> None:
        def tick() -> None:
            if not self.instances[name].paused:
                self.deliver(name, events.Tick(self.moment()))
            self._schedule_tick(name)

        self.at(TICK_S * (1 + self.random.random() * 0.1), tick)

    def deliver(self, name: str, event: events.Event) -> None:
        """Applies an event to an instance and performs its effects."""
        instance = self.instances[name]
        if instance.state is None or instance.exited:
            return
        for effect in reducer.reduce(instance.state, event):
            if isinstance(effect, effects.Call):
                self._call(name, instance.state, effect)
            elif isinstance(effect, effects.Respond):
                self._respond(effect)
            elif isinstance(effect, effects.Note):
                self.log_lines.append(
                    f"{name} {effect.component.value}: {effect.text}"
                )
            elif isinstance(effect, effects.Exit):
                instance.exited = True

    def send(self, name: str, message: Any) -> str:
        """Sends a caller's or operator's message; returns the exchange id."""
        exchange_id = f"c{next(self.counter)}"
        self._receive(name, exchange_id, message)
        return exchange_id

    def response(self, exchange_id: str) -> Any:
        """Returns the first response of an exchange, or None if none exists."""
        responses = self.responses.get(exchange_id)
        return responses[0] if responses else None

    def ask(self, name: str, message: Any, limit_s: float = 60.0) -> Any:
        """Sends a message and advances until its response or the limit."""
        exchange_id = self.send(name, message)
        self.run_until(lambda: exchange_id in self.responses, limit_s)
        return self.response(exchange_id)

    def _receive(self, name: str, exchange_id: str, message: Any) -> None:
        instance = self.instances[name]
        if instance.paused:
            instance.backlog.append(
                lambda: self._receive(name, exchange_id, message)
            )
            return
        event = events.Received(
            self.moment(), ids.ExchangeId(exchange_id), message
        )
        self.deliver(name, event)

    def _respond(self, effect: effects.Respond) -> None:
        reply_to = self.peer_replies.pop(effect.exchange_id, None)
        if reply_to is not None:
            reply_to(effect.message)
            return
        self.responses.setdefault(effect.exchange_id, []).append(effect.message)

    # Calls.

    def _draw_delay_s(self) -> float:
        return self.random.uniform(
            self.network.min_delay_s, self.network.max_delay_s
        )

    def _domain_of(self, destination: effects.Destination) -> str:
        if destination.service in (
            kinds.Service.STORE,
            kinds.Service.INSTANCE_LIST,
        ):
            return PLATFORM
        entry = self.entries.get(ids.InstanceId(destination.name))
        return entry.failure_domain if entry else ""

    def is_cut(self, name: str, destination: effects.Destination) -> bool:
        """Returns whether an instance can't reach a destination."""
        if destination.name in self.silent:
            return True
        domain = self.instances[name].entry.failure_domain
        return frozenset((domain, self._domain_of(destination))) in self.cuts

    def _call(
        self, name: str, state: state_lib.State, call: effects.Call
    ) -> None:
        """Sends a call, whose reply only the same process receives."""

        def fail(failure: kinds.CallFailure) -> None:
            self._finish(
                name,
                state,
                lambda: events.Failed(self.moment(), call.call_id, failure),
            )

        def reply(message: Any) -> None:
            if self.is_cut(name, call.destination):
                return
            if self.random.random() < self.network.drop:
                return
            self.at(
                self._draw_delay_s(),
                lambda: self._finish(
                    name,
                    state,
                    lambda: events.Returned(
                        self.moment(), call.call_id, message
                    ),
                ),
            )

        self.at(call.timeout_s, lambda: fail(kinds.CallFailure.LOST))
        if self._refuses_connection(call.destination):
            self.at(
                self._draw_delay_s(), lambda: fail(kinds.CallFailure.NOT_SENT)
            )
            return
        if self.is_cut(name, call.destination):
            return
        for _ in range(self._draw_copy_count()):
            self.at(self._draw_delay_s(), lambda: self._arrive(call, reply))

    def _finish(
        self,
        name: str,
        state: state_lib.State,
        make_event: Callable[[], events.Event],
    ) -> None:
        """Delivers the end of a call if its caller's process still runs."""
        instance = self.instances[name]
        if instance.state is not state:
            return
        if instance.paused:
            instance.backlog.append(
                lambda: self._finish(name, state, make_event)
            )
            return
        self.deliver(name, make_event())

    def _draw_copy_count(self) -> int:
        """Draws how many copies of a message arrive."""
        if self.random.random() < self.network.drop:
            return 0
        if self.random.random() < self.network.duplicate:
            return 2
        return 1

    def _refuses_connection(self, destination: effects.Destination) -> bool:
        service = destination.service
        if service is kinds.Service.STORE:
            return self.store_fault is StoreFault.REFUSES
        if service is kinds.Service.INSTANCE_LIST:
            return not self.list_reachable
        if service is kinds.Service.PEER:
            instance = self.instances.get(destination.name)
            return instance is None or (
                instance.state is None or instance.exited
            )
        return destination.name not in self.targets

    def _arrive(self, call: effects.Call, reply: Callable[[Any], None]) -> None:
        """Passes a call to its destination."""
        destination = call.destination
        if destination.service is kinds.Service.STORE:
            self.handle_store_call(call, reply)
        elif destination.service is kinds.Service.INSTANCE_LIST:
            reply(self.list.handle(call.message, self.now_s))
        elif destination.service is kinds.Service.PEER:
            exchange_id = f"p{next(self.counter)}"
            self.peer_replies[exchange_id] = reply
            self._receive(destination.name, exchange_id, call.message)
        elif destination.name in self.targets:
            self.handle_target_call(call, reply)
