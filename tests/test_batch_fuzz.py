"""Stateful fuzzing of scheduled jobs under every kind of fault.

The oracle of the targets records every violated guarantee. At the end all
faults are removed, and every accepted job has to reach a permitted final state.
"""

import unittest

import hypothesis.stateful as stateful
from hypothesis import strategies

from dandelionpick.batch import messages
from dandelionpick.batch import model
from dandelionpick.platform import jobs
from standins import platform_store
from tests import batch_builders as builders
from tests import batch_fabric
from tests import fuzzing

INSTANCES = ("e0", "e1", "e2")
TARGETS = ("t0", "t1", "t2", "t3")
PLACES = (*INSTANCES, "store")
# Leases of an unreachable target and of an earlier scheduler expire within
# 31 s; jobs whose steps run one after the other take some seconds each.
SETTLE_S = 120.0
# Longer than any example, so that every job can be queried at the end.
RETENTION_S = 3_600.0

instances = strategies.sampled_from(INSTANCES)
targets = strategies.sampled_from(TARGETS)


# Hypothesis seeds the examples from the source of this class, so that an edit
# of its code or docstrings changes them; its comments and decorators are not
# part of the seed.
@fuzzing.seeded
class Platform(stateful.RuleBasedStateMachine):
    """Three instances and four targets."""

    def __init__(self):
        super().__init__()
        self.fabric = batch_fabric.Fabric(
            seed=3, target_count=len(TARGETS), retention_s=RETENTION_S
        )
        self.fabric.run_for(1.0)
        self.outcomes: dict[int, list[messages.Reply]] = {}
        self.sent: dict[int, tuple[bytes, int, int]] = {}
        self.cancels: dict[int, list[messages.Reply]] = {}

    def send(self, name: str, message: messages.Request) -> list:
        """Sends a request to an instance that is up."""
        instance = self.fabric.instances[name]
        if not instance.up or instance.frozen:
            return []
        return self.fabric.send(name, message)

    @stateful.rule(
        name=instances,
        priority=strategies.integers(0, 2),
        count=strategies.integers(1, 6),
        gpu=strategies.sampled_from((1, 2, 4)),
        gang=strategies.booleans(),
        second=strategies.booleans(),
        fails=strategies.sampled_from((0, 0, 0, 1)),
        work_s=strategies.sampled_from((0.4, 2.0, 6.0)),
        checkpoints=strategies.booleans(),
    )
    def submit(
        self,
        name,
        priority,
        count,
        gpu,
        gang,
        second,
        fails,
        work_s,
        checkpoints,
    ):
        number = len(self.sent) + 1
        first = builders.phase(
            count, gpu=gpu, gang=gang, checkpointing=checkpoints
        )
        steps = [first, builders.phase(2, after=[0])] if second else [first]
        body = builders.body(*steps, work_s=work_s, fails=fails)
        self.fabric.register(number, body)
        self.sent[number] = body, priority, fails
        spec = jobs.decode(body).unwrap()
        message = builders.submit(number, spec, priority)
        self.outcomes[number] = self.send(name, message)

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(name=instances, pick=strategies.integers(0, 1_000))
    def submit_again(self, name, pick):
        number = pick % len(self.sent) + 1
        body, priority, _ = self.sent[number]
        spec = jobs.decode(body).unwrap()
        replies = self.send(name, builders.submit(number, spec, priority))
        if not self.accepted(number):
            self.outcomes[number] = replies

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(name=instances, pick=strategies.integers(0, 1_000))
    def cancel(self, name, pick):
        number = pick % len(self.sent) + 1
        priority = self.sent[number][1]
        replies = self.send(name, builders.cancel(number, priority))
        self.cancels.setdefault(number, replies)

    @stateful.rule(name=instances)
    def kill(self, name):
        self.fabric.kill(name)

    @stateful.rule(name=instances)
    def cut_power(self, name):
        self.fabric.cut_power(name)

    @stateful.rule(name=instances)
    def start(self, name):
        if not self.fabric.instances[name].up:
            self.fabric.start_instance(name)

    @stateful.rule(name=instances)
    def stop(self, name):
        instance = self.fabric.instances[name]
        if instance.up and not instance.frozen:
            self.fabric.stop(name)

    @stateful.rule(name=instances)
    def freeze(self, name):
        self.fabric.freeze(name)

    @stateful.rule(name=instances)
    def thaw(self, name):
        self.fabric.thaw(name)

    @stateful.rule(one=instances, other=strategies.sampled_from(PLACES))
    def cut(self, one, other):
        if one != other:
            self.fabric.part(one, other)

    @stateful.rule(one=instances, other=targets)
    def cut_target(self, one, other):
        self.fabric.part(one, other)

    @stateful.rule()
    def heal(self):
        self.fabric.cut.clear()

    @stateful.rule(
        outage=strategies.sampled_from(platform_store.Outage),
        name=strategies.sampled_from(("", *INSTANCES)),
        lapse=strategies.booleans(),
    )
    def store_away(self, outage, name, lapse):
        self.fabric.store.outages[name] = outage
        self.fabric.store.lapse = lapse

    @stateful.rule()
    def store_back(self):
        self.fabric.store.outages.clear()

    @stateful.rule(
        share=strategies.sampled_from((0.0, 0.4)),
        late_s=strategies.sampled_from((0.0, 3.0)),
    )
    def lose_replies(self, share, late_s):
        self.fabric.store.lost_share = share
        self.fabric.store.late_s = late_s

    @stateful.rule()
    def forget_history(self):
        self.fabric.store.forget_history()

    @stateful.rule(share=strategies.sampled_from((0.0, 0.2)))
    def late_orders(self, share):
        self.fabric.late_share = share

    @stateful.rule(name=targets, back_s=strategies.sampled_from((0.3, 6.0)))
    def crash_target(self, name, back_s):
        if self.fabric.world.targets[name].up:
            self.fabric.crash_target(name, back_s)

    @stateful.rule(seconds=strategies.sampled_from((0.02, 0.3, 1.0, 5.0, 25.0)))
    def wait(self, seconds):
        self.fabric.run_for(seconds)

    @stateful.invariant()
    def nothing_is_broken(self):
        assert not self.fabric.world.broken, self.story()
        assert not self.fabric.faults, self.fabric.faults

    def accepted(self, number: int) -> bool:
        """Returns whether a job was accepted."""
        replies = self.outcomes[number]
        return any(isinstance(reply, messages.Accepted) for reply in replies)

    def story(self) -> str:
        """Returns what was broken, and the last notes."""
        broken = "\n".join(self.fabric.world.broken)
        return broken + "\n" + "\n".join(self.fabric.log[-80:])

    def teardown(self):
        fabric = self.fabric
        for name in INSTANCES:
            fabric.thaw(name)
            if not fabric.instances[name].up:
                fabric.start_instance(name)
        fabric.cut.clear()
        fabric.store.outages.clear()
        fabric.store.lost_share = 0.0
        fabric.late_share = 0.0
        fabric.run_for(4.0)
        for name in INSTANCES:
            if not fabric.instances[name].up:
                fabric.start_instance(name)
        fabric.run_for(SETTLE_S)
        for number in self.sent:
            if self.accepted(number):
                self.check_end(number)
        self.nothing_is_broken()

    def check_end(self, number: int) -> None:
        """Checks that an accepted job has ended as it can."""
        state = self.fabric.state_of(number, self.sent[number][1])
        allowed = {model.JobState.COMPLETED}
        if number in self.cancels:
            allowed.add(model.JobState.CANCELLED)
        if self.sent[number][2]:
            # A preempted or lost run may fail once more.
            allowed.add(model.JobState.FAILED)
        assert state in allowed, f"job {number} is {state}\n{self.story()}"


PlatformFuzz = Platform.TestCase
# Hypothesis creates the class; the test id has to name this module.
PlatformFuzz.__module__ = __name__
PlatformFuzz.__qualname__ = "PlatformFuzz"
PlatformFuzz.settings = fuzzing.profile("platform", examples=40, steps=40)


if __name__ == "__main__":
    unittest.main()
