"""Several instances, the store and targets in virtual time.

Calls go through the adapter's encoding and decoding to the stand-ins, which
serve the platform's messages. Links can be cut, replies can be lost, and orders
can be carried out late.
"""

import heapq
import itertools
import json
import random
from collections.abc import Callable
from typing import Any

from dandelionpick import effects
from dandelionpick import events
from dandelionpick import ids
from dandelionpick import runtime
from dandelionpick.batch import messages
from dandelionpick.batch import model
from dandelionpick.batch import reducer
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.platform import jobs
from dandelionpick.platform import keys
from standins import platform_oracle
from standins import platform_store
from standins import platform_targets
from tests import batch_builders as builders
from tests import batch_links

START_UNIX_MS = 1_700_000_000_000
WORLD_STEP_S = 0.05
LEASE_TTL_S = 4.5


class Instance:
    """A process with its reducer.

    Attributes:
        frozen: events wait until it runs again.
        faults: exceptions of its handlers.
    """

    def __init__(self, name: str, domain: str, serial: int, started_s: float):
        self.name = name
        self.state = builders.state(name, domain, serial)
        self.state.started_s = started_s
        self.up = True
        self.frozen = False
        self.held: list[events.Event] = []
        self.exited = False


class Fabric:
    """Runs everything against one clock.

    Attributes:
        cut: pairs of names that can't reach each other.
        powered: machines that refuse connections if their process has ended.
        served: what breaks an exchange with an instance, by exchange.
        late_share: share of the orders to targets without a reply, carried
            out `late_s` later.
        retention_s: how long instances keep the state of ended jobs.
        log: notes of all instances, with time and name.
    """

    def __init__(
        self,
        seed: int = 1,
        instances: int = 3,
        target_count: int = 3,
        retention_s: float = 120.0,
    ):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.store = platform_store.PlatformStore(seed)
        self.world = platform_oracle.World()
        self.instances: dict[str, Instance] = {}
        self.powered: set[str] = set()
        self.serials = itertools.count(1)
        self.cut: set[frozenset[str]] = set()
        self.late_share = 0.0
        self.late_s = 5.0
        self.retention_s = retention_s
        self.log: list[str] = []
        self.faults: list[Exception] = []
        self.replies: dict[str, Callable[[Any], None]] = {}
        self.served: dict[str, tuple[str, Callable[[], None]]] = {}
        self.store.put(keys.CONFIGURATION, builders.configuration_value())
        for number in range(target_count):
            self.add_target(f"t{number}", rack=f"r{number // 2}")
        for number in range(instances):
            self.start_instance(f"e{number}")
        self.after(0.0, self._step_world)

    def add_target(self, name: str, **fields: Any) -> platform_targets.Target:
        """Adds a target, which registers itself."""
        target = platform_targets.Target(
            self.world, name, now_s=self.now_s, **fields
        )
        self.store.put(keys.TARGETS + name, target.entry())
        return target

    def start_instance(self, name: str) -> Instance:
        """Starts a process, in place of an earlier one of this name."""
        instance = Instance(name, "a", next(self.serials), self.now_s)
        instance.state.limits.retention_s = self.retention_s
        self.instances[name] = instance
        self.powered.add(name)
        self.after(self.random.random() * 0.1, lambda: self._tick(instance))
        return instance

    def kill(self, name: str) -> None:
        """Ends a process; its machine resets its connections."""
        self.cut_power(name)
        self.powered.add(name)
        for exchange_id, (server, broken) in list(self.served.items()):
            if server == name:
                del self.served[exchange_id]
                self.after(batch_links.LATENCY_S, broken)

    def cut_power(self, name: str) -> None:
        """Ends a process and its machine, which falls silent."""
        self.instances[name].up = False
        self.powered.discard(name)

    def freeze(self, name: str) -> None:
        """Suspends a process."""
        self.instances[name].frozen = True

    def thaw(self, name: str) -> None:
        """Lets a suspended process go on."""
        instance = self.instances[name]
        instance.frozen = False
        held, instance.held = instance.held, []
        for event in held:
            self.deliver(instance, event)

    def stop(self, name: str) -> None:
        """Asks a process for a planned stop."""
        instance = self.instances[name]
        self.deliver(instance, events.StopRequested(self.moment()))

    def part(self, one: str, other: str) -> None:
        """Cuts a link, silently."""
        self.cut.add(frozenset((one, other)))

    def crash_target(self, name: str, back_s: float | None = None) -> None:
        """Ends a target; its entry goes when its heartbeats are missed."""
        target = self.world.targets[name]
        target.crash()
        self.after(LEASE_TTL_S, lambda: self._expire_entry(target))
        if back_s is not None:
            self.after(back_s, lambda: self._reboot(target))

    def _expire_entry(self, target: platform_targets.Target) -> None:
        if not target.up:
            self.store.remove(keys.TARGETS + target.id)

    def _reboot(self, target: platform_targets.Target) -> None:
        target.boot(self.now_s)
        self.store.put(keys.TARGETS + target.id, target.entry())

    def drain_target(self, name: str, leaves_s: float) -> None:
        """Lets a target announce that it leaves, and leave."""
        target = self.world.targets[name]
        target.draining = True
        self.store.put(keys.TARGETS + name, target.entry())

        def leave() -> None:
            target.crash()
            self.store.remove(keys.TARGETS + name)

        self.after(leaves_s, leave)

    def call_of(self, instance: Instance, kind: type) -> ids.CallId:
        """Returns the call in progress of a watch."""
        return next(
            call_id
            for call_id, call in instance.state.calls.items()
            if getattr(call.context, "kind", None) is kind
        )

    def scheduler(self) -> Instance | None:
        """Returns the instance that is ready to schedule, if there is one."""
        for instance in self.instances.values():
            schedule = instance.state.schedule
            if (
                instance.up
                and not instance.frozen
                and schedule is not None
                and schedule.stage is schedule_state.Stage.READY
            ):
                return instance
        return None

    def moment(self) -> events.Moment:
        """Returns the time of an event."""
        unix_ms = START_UNIX_MS + int(self.now_s * 1_000)
        return events.Moment(self.now_s, unix_ms, self.random.random())

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Does something later."""
        entry = (self.now_s + delay_s, next(self.numbers), action)
        heapq.heappush(self.queue, entry)

    def run_for(self, seconds: float) -> None:
        """Lets time pass."""
        end_s = self.now_s + seconds
        while self.queue and self.queue[0][0] <= end_s:
            at_s, _, action = heapq.heappop(self.queue)
            self.now_s = max(self.now_s, at_s)
            action()
        self.now_s = end_s

    def run_until(
        self, condition: Callable[[], Any], limit_s: float = 60.0
    ) -> float:
        """Lets time pass until something holds; returns how long it took.

        Raises:
            AssertionError: it did not hold within the limit.
        """
        started_s = self.now_s
        while not condition():
            if self.now_s - started_s > limit_s:
                lines = "\n".join(self.log[-40:])
                raise AssertionError(f"not reached in {limit_s} s\n{lines}")
            self.run_for(0.05)
        return self.now_s - started_s

    def send(
        self, name: str, message: messages.Request
    ) -> list[messages.Reply]:
        """Sends a request; its reply is appended to the returned list."""
        replies: list[messages.Reply] = []
        self.exchange(name, message, replies.append)
        return replies

    def exchange(
        self,
        name: str,
        message: Any,
        done: Callable[[Any], None],
        broken: Callable[[], None] = lambda: None,
    ) -> None:
        """Hands a message to an instance; `broken` runs if that is killed."""
        instance = self.instances[name]
        exchange_id = ids.ExchangeId(f"x{next(self.numbers)}")
        self.replies[exchange_id] = done
        self.served[exchange_id] = name, broken
        self.deliver(
            instance, events.Received(self.moment(), exchange_id, message)
        )

    def ask(self, name: str, message: messages.Request) -> messages.Reply:
        """Sends a request and waits for its reply."""
        replies = self.send(name, message)
        self.run_until(lambda: replies, 10.0)
        return replies[0]

    def submit(
        self, number: int, body: bytes, priority: int = 1, name: str = "e0"
    ) -> messages.Reply:
        """Submits a job and tells the oracle about it."""
        self.register(number, body)
        spec = jobs.decode(body).unwrap()
        return self.ask(name, builders.submit(number, spec, priority))

    def register(self, number: int, body: bytes) -> None:
        """Tells the oracle about a job."""
        phases = json.loads(body)["phases"]
        self.world.phases[builders.job_id(number)] = phases
        self.world.attempts[builders.job_id(number)] = 3

    def state_of(self, number: int, priority: int = 1) -> Any:
        """Returns the state of a job as a caller sees it, or None."""
        running = [
            instance
            for instance in self.instances.values()
            if instance.up and not instance.frozen
        ]
        if not running:
            return None
        asked = self.scheduler() or running[0]
        reply = self.ask(asked.name, builders.inspect(number, priority))
        return getattr(reply, "state", None)

    def until_completed(self, *numbers: int, limit_s: float = 60.0) -> float:
        """Waits until jobs are shown as completed."""
        return self.run_until(
            lambda: all(
                self.state_of(number) is model.JobState.COMPLETED
                for number in numbers
            ),
            limit_s,
        )

    def deliver(self, instance: Instance, event: events.Event) -> None:
        """Applies an event to an instance's state."""
        if not instance.up:
            return
        if instance.frozen:
            instance.held.append(event)
            return
        reduction = reducer.reduce_guarded(instance.state, event)
        self.faults.extend(reduction.faults)
        for effect in reduction.effects:
            self._perform(instance, effect)

    def _tick(self, instance: Instance) -> None:
        if not instance.up:
            return
        if not instance.frozen:
            self.deliver(instance, events.Tick(self.moment()))
        self.after(runtime.TICK_S, lambda: self._tick(instance))

    def _step_world(self) -> None:
        self.world.advance(self.now_s)
        self.store.advance(self.now_s)
        self.after(WORLD_STEP_S, self._step_world)

    def _perform(self, instance: Instance, effect: effects.Effect) -> None:
        if isinstance(effect, effects.Call):
            batch_links.carry(self, instance, effect)
        elif isinstance(effect, effects.Respond):
            done = self.replies.pop(effect.exchange_id, None)
            self.served.pop(effect.exchange_id, None)
            if done is not None:
                done(effect.message)
        elif isinstance(effect, effects.Note):
            line = f"{self.now_s:7.2f} {instance.name} {effect.text}"
            self.log.append(line)
        elif isinstance(effect, effects.Exit):
            instance.exited = True
            instance.up = False


def role_of(instance: Instance) -> state_lib.Role:
    """Returns an instance's role in the election."""
    return instance.state.authority.role
