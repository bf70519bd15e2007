"""A virtual-time network that joins reducers and the models of stand-ins.

Everything is driven by one seeded random generator and one event queue, so
that a run with the same seed gives the same result.
"""

import dataclasses
import enum
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from dandelionpick import effects
from dandelionpick import events
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import reducer
from dandelionpick import state as state_lib
from dandelionpick import store_messages
from standins import executor as executor_lib
from standins import instance_list
from standins import store as store_lib
from standins import worker as worker_lib
from tests import builders

TICK_S = 0.1
START_UNIX_MS = 1_800_000_000_000
PLATFORM = "platform"


class StoreFault(enum.Enum):
    """How the store misbehaves."""

    NONE = "none"
    REFUSES = "refuses"
    SILENT = "silent"
    LOSES_REPLIES = "loses_replies"


@dataclasses.dataclass
class Instance:
    """An entry instance: its reducer's state and how it is running.

    Attributes:
        state: None while the instance is crashed.
        paused: events wait in `backlog` while the process is paused.
    """

    entry: list_messages.InstanceEntry
    state: state_lib.State | None
    paused: bool = False
    paused_s: float = 0.0
    exited: bool = False
    backlog: list[Callable[[], None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Network:
    """Faults of the network, each a probability or a delay in seconds."""

    min_delay_s: float = 0.001
    max_delay_s: float = 0.005
    drop: float = 0.0
    duplicate: float = 0.0


class Fabric:
    """Entry instances, targets and the platform in virtual time.

    Attributes:
        responses: responses by exchange id, in the order they were sent.
        cuts: unordered pairs of failure domains that can't reach each other;
            PLATFORM stands for the store and the instance list.
        silent: targets that no message reaches or leaves.
    """

    def __init__(self, seed: int, limits: state_lib.Limits | None = None):
        self.random = random.Random(seed)
        self.limits = limits or state_lib.Limits()
        self.now_s = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count(1)
        self.network = Network()
        self.store = store_lib.Store()
        self.store_fault = StoreFault.NONE
        self.list = instance_list.InstanceList(lag_s=1.0)
        self.list_reachable = True
        self.instances: dict[str, Instance] = {}
        self.targets: dict[str, Any] = {}
        self.entries: dict[str, list_messages.InstanceEntry] = {}
        self.cuts: set[frozenset[str]] = set()
        self.silent: set[str] = set()
        self.responses: dict[str, list[Any]] = {}
        self.peer_replies: dict[str, Callable[[Any], None]] = {}
        self.notes: list[str] = []

    # Building.

    def add_executor(self, name: str, domain: str, slots: int = 8) -> Any:
        """Adds an executor and lists it."""
        model = executor_lib.Executor(slots, self.new_incarnation())
        entry = builders.executor_entry(name, domain, slots)
        return self.add_target(entry, model)

    def add_worker(
        self, name: str, domain: str, rack: str = "rack-1"
    ) -> worker_lib.Worker:
        """Adds a worker of 8 accelerators and lists it."""
        model = worker_lib.Worker(8, self.new_incarnation())
        return self.add_target(builders.worker_entry(name, domain, rack), model)

    def add_target(self, entry: list_messages.InstanceEntry, model: Any) -> Any:
        """Adds a target's model and lists it."""
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
        """Returns a fresh incarnation."""
        return f"i{next(self.numbers)}"

    # Faults.

    def crash(self, name: str) -> None:
        """Ends an instance at once; its state and calls are gone."""
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
        """Stops an instance's process without ending it."""
        self.instances[name].paused = True
        self.instances[name].paused_s = self.now_s

    def resume(self, name: str) -> None:
        """Continues a paused instance; it notices the stall first."""
        instance = self.instances[name]
        instance.paused = False
        backlog, instance.backlog = instance.backlog, []
        stall_s = self.now_s - instance.paused_s
        self.deliver(name, events.Stalled(self.moment(), stall_s))
        for action in backlog:
            action()

    def cut(self, one: str, other: str) -> None:
        """Cuts two failure domains, or one and the PLATFORM, apart."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Ends all cuts and store faults."""
        self.cuts.clear()
        self.silent.clear()
        self.store_fault = StoreFault.NONE
        self.list_reachable = True

    # Running.

    def moment(self) -> events.Moment:
        """Returns the current time and a draw."""
        unix_ms = START_UNIX_MS + int(self.now_s * 1000)
        return events.Moment(self.now_s, unix_ms, self.random.random())

    def run_for(self, seconds: float) -> None:
        """Advances virtual time."""
        end_s = self.now_s + seconds
        while self.queue and self.queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self.queue)
            action()
        self.now_s = end_s

    def run_until(
        self, condition: Callable[[], bool], limit_s: float = 60.0
    ) -> bool:
        """Advances until the condition holds; False after limit_s."""
        end_s = self.now_s + limit_s
        while self.now_s < end_s:
            if condition():
                return True
            self.run_for(TICK_S)
        return condition()

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs an action after a delay."""
        item = (self.now_s + delay_s, next(self.numbers), action)
        heapq.heappush(self.queue, item)

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
                self.notes.append(f"{name} {effect.part.value}: {effect.text}")
            elif isinstance(effect, effects.Exit):
                instance.exited = True

    def send(self, name: str, message: Any) -> str:
        """Sends a caller's or operator's message; returns the exchange id."""
        exchange_id = f"c{next(self.numbers)}"
        self._receive(name, exchange_id, message)
        return exchange_id

    def response(self, exchange_id: str) -> Any:
        """Returns the response of an exchange, or None so far."""
        responses = self.responses.get(exchange_id)
        return responses[0] if responses else None

    def ask(self, name: str, message: Any, limit_s: float = 60.0) -> Any:
        """Sends a message and advances until it is answered."""
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

    def _delay(self) -> float:
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
        """Tells whether a cut separates an instance and a destination."""
        if destination.name in self.silent:
            return True
        domain = self.instances[name].entry.failure_domain
        return frozenset((domain, self._domain_of(destination))) in self.cuts

    def _call(
        self, name: str, state: state_lib.State, call: effects.Call
    ) -> None:
        """Sends a call; its reply comes back only to the same process."""

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
                self._delay(),
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
            self.at(self._delay(), lambda: fail(kinds.CallFailure.NOT_SENT))
            return
        if self.is_cut(name, call.destination):
            return
        for _ in range(self._copies()):
            self.at(self._delay(), lambda: self._arrive(call, reply))

    def _finish(
        self,
        name: str,
        state: state_lib.State,
        make_event: Callable[[], events.Event],
    ) -> None:
        """Delivers the end of a call, if the process that made it lives."""
        instance = self.instances[name]
        if instance.state is not state:
            return
        if instance.paused:
            instance.backlog.append(
                lambda: self._finish(name, state, make_event)
            )
            return
        self.deliver(name, make_event())

    def _copies(self) -> int:
        """Draws how often a message arrives."""
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
        """Lets the destination handle a call."""
        destination = call.destination
        if destination.service is kinds.Service.STORE:
            self._arrive_at_store(call, reply)
        elif destination.service is kinds.Service.INSTANCE_LIST:
            reply(self.list.handle(call.message, self.now_s))
        elif destination.service is kinds.Service.PEER:
            exchange_id = f"p{next(self.numbers)}"
            self.peer_replies[exchange_id] = reply
            self._receive(destination.name, exchange_id, call.message)
        elif destination.name in self.targets:
            self._arrive_at_target(call, reply)

    def _arrive_at_store(
        self, call: effects.Call, reply: Callable[[Any], None]
    ) -> None:
        if self.store_fault is StoreFault.SILENT:
            return
        message = self.store.handle(call.message, self.now_s)
        wait_s = getattr(call.message, "wait_s", 0.0)
        if wait_s and isinstance(message, store_messages.Unchanged):
            end_s = self.now_s + wait_s
            self.at(TICK_S, lambda: self._continue_watch(call, reply, end_s))
            return
        if self.store_fault is not StoreFault.LOSES_REPLIES:
            reply(message)

    def _continue_watch(
        self, call: effects.Call, reply: Callable[[Any], None], end_s: float
    ) -> None:
        value = self.store.answer(call.message, self.now_s)
        unchanged = isinstance(value, store_messages.Unchanged)
        if unchanged and self.now_s < end_s:
            self.at(TICK_S, lambda: self._continue_watch(call, reply, end_s))
        elif self.store_fault is StoreFault.NONE:
            reply(value)

    def _arrive_at_target(
        self, call: effects.Call, reply: Callable[[Any], None]
    ) -> None:
        model = self.targets.get(call.destination.name)
        if model is None:
            return
        unix_ms = START_UNIX_MS + int(self.now_s * 1000)
        message = model.handle(call.message, self.now_s, unix_ms)
        if isinstance(message, executor_messages.TaskRunning) and isinstance(
            call.message, executor_messages.StartTask
        ):
            end_s = model.tasks[message.task_id].end_s
            self.at(
                max(0.0, end_s - self.now_s) + 0.001,
                lambda: self._finish_task(call, model, message.task_id, reply),
            )
            return
        if not self._loses_reply(model, call.message):
            reply(message)

    def _loses_reply(self, model: Any, message: Any) -> bool:
        """Tells whether a target's fault loses its reply to a message."""
        loses_reply = getattr(model, "loses_reply", None)
        return loses_reply is not None and loses_reply(message)

    def _finish_task(
        self,
        call: effects.Call,
        model: Any,
        task_id: ids.TaskId,
        reply: Callable[[Any], None],
    ) -> None:
        """Replies to a start when its task has ended on the same target."""
        if self._loses_reply(model, call.message):
            return
        if self.targets.get(call.destination.name) is model:
            reply(model.describe(task_id, self.now_s))
