"""Stateful fuzzing of edits and of the distribution of the document."""

import unittest

import hypothesis.stateful as stateful
from hypothesis import strategies

from dandelionpick import adoption
from dandelionpick import operator_messages as messages
from dandelionpick import proposals
from standins import store as store_lib
from tests import builders
from tests import fabric
from tests import fuzzing

CONVERGENCE_S = 12.0
DOMAINS = ("a", "b", "c")
NAMES = tuple(f"{domain}{number}" for domain in DOMAINS for number in (1, 2))
ENDPOINTS = (*DOMAINS, fabric.PLATFORM)
CUTS = [(x, y) for i, x in enumerate(ENDPOINTS) for y in ENDPOINTS[i + 1 :]]
REGISTERS = ("worth", "run_s")

names = strategies.sampled_from(NAMES)
registers = strategies.sampled_from(REGISTERS)


class MonotonicRevisionFabric(fabric.Fabric):
    """Checks after each event that no instance's revision went down."""

    def deliver(self, name, event):
        state = self.instances[name].state
        before = state.configuration.document.revision if state else 0
        super().deliver(name, event)
        if state is not None:
            assert state.configuration.document.revision >= before


class Oracle:
    """Tracks the replies to all edits and checks the document against them.

    Attributes:
        sent: register and value by edit id.
        exchanges: edit id by unanswered exchange.
        accepted: revision by edit id.
        refused: exchanges whose reply was that the edit had no effect.
    """

    def __init__(self):
        self.sent: dict[str, tuple[str, int]] = {}
        self.exchanges: dict[str, str] = {}
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()

    def collect_responses(self, built: fabric.Fabric) -> None:
        """Records the responses that arrived since the last call."""
        for exchange_id, edit_id in list(self.exchanges.items()):
            response = built.response(exchange_id)
            if response is None:
                continue
            del self.exchanges[exchange_id]
            if isinstance(response, messages.EditAccepted):
                first = self.accepted.setdefault(edit_id, response.revision)
                assert first == response.revision, (
                    "accepted under two revisions"
                )
            elif not response.unknown:
                self.refused.add(exchange_id)

    def check(self, text: str, submissions: dict[str, list[str]]) -> None:
        """Checks the document that all instances hold."""
        document = adoption.decode_document(text)
        applied = {edit.edit_id: edit.revision for edit in document.edits}
        assert len(applied) == len(document.edits), "applied twice"
        revisions = [edit.revision for edit in document.edits]
        assert revisions == list(range(2, document.revision + 1))
        for edit_id, revision in self.accepted.items():
            assert applied.get(edit_id) == revision, f"{edit_id} was lost"
        for edit_id, exchanges in submissions.items():
            if self.refused.issuperset(exchanges):
                assert edit_id not in applied, f"{edit_id} was refused"
        expected = dict.fromkeys(REGISTERS)
        for edit in document.edits:
            if edit.operator == proposals.SYSTEM_OPERATOR:
                continue
            register, value = self.sent[edit.edit_id]
            expected[register] = value
        found = document.tree["classes"].get("fuzzed", {})
        assert {name: found.get(name) for name in REGISTERS} == expected


@fuzzing.seeded
class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Edits race while instances, networks and the store fail."""

    def __init__(self):
        super().__init__()
        self.built = MonotonicRevisionFabric(seed=1)
        store = self.built.store
        store.entries["config/tree"] = store_lib.Entry(1, builders.document())
        store.versions = 1
        self.backup = store.copy_entries()
        for name in NAMES:
            self.built.add_instance(name, name[0])
        self.oracle = Oracle()
        self.submissions: dict[str, list[str]] = {}
        self.built.run_for(3.0)

    def submit(self, name: str, edit_id: str, base: int | None) -> None:
        register, value = self.oracle.sent[edit_id]
        change = messages.Change(f"classes/fuzzed/{register}", value)
        edit = messages.EditTree(
            edit_id=edit_id, changes=[change], base_revision=base
        )
        exchange_id = self.built.send(name, edit)
        self.oracle.exchanges[exchange_id] = edit_id
        self.submissions.setdefault(edit_id, []).append(exchange_id)

    def submit_new(self, name: str, register: str, base: int | None) -> None:
        number = len(self.oracle.sent) + 1
        edit_id = f"edit-{number}"
        self.oracle.sent[edit_id] = (register, number)
        self.submit(name, edit_id, base)

    def running(self) -> list[fabric.Instance]:
        return [i for i in self.built.instances.values() if i.state]

    def current_revision(self, instance: fabric.Instance) -> int:
        return instance.state.configuration.document.revision

    @stateful.rule(name=names, register=registers, based=strategies.booleans())
    def edit(self, name, register, based):
        state = self.built.instances[name].state
        base = state.configuration.document.revision if state else 0
        self.submit_new(name, register, base if based else None)

    @stateful.rule(racers=strategies.lists(names, min_size=2, max_size=4))
    def race_edits(self, racers):
        for name in racers:
            self.submit_new(name, "worth", None)

    @stateful.rule(name=names, draw=strategies.integers(0, 100))
    def repeat_edit(self, name, draw):
        if self.oracle.sent:
            sent = list(self.oracle.sent)
            self.submit(name, sent[draw % len(sent)], None)

    @stateful.rule(name=names)
    def crash(self, name):
        self.built.crash(name)

    @stateful.rule(name=names)
    def restart(self, name):
        if self.built.instances[name].state is None:
            self.built.start_instance(name)

    @stateful.rule(name=names)
    def pause(self, name):
        instance = self.built.instances[name]
        if instance.state is not None and not instance.paused:
            self.built.pause(name)

    @stateful.rule(name=names)
    def resume(self, name):
        if self.built.instances[name].paused:
            self.built.resume(name)

    @stateful.rule(pair=strategies.sampled_from(CUTS))
    def cut(self, pair):
        self.built.cut(*pair)

    @stateful.rule()
    def end_cuts(self):
        self.built.cuts.clear()

    @stateful.rule(fault=strategies.sampled_from(fabric.StoreFault))
    def set_store_fault(self, fault):
        self.built.store_fault = fault

    @stateful.rule(reachable=strategies.booleans())
    def set_list_reachable(self, reachable):
        self.built.list_reachable = reachable

    @stateful.rule(
        drop=strategies.sampled_from((0.0, 0.2)),
        duplicate=strategies.sampled_from((0.0, 0.2)),
        max_delay_s=strategies.sampled_from((0.005, 0.05, 1.0)),
    )
    def set_network(self, drop, duplicate, max_delay_s):
        network = self.built.network
        network.drop = drop
        network.duplicate = duplicate
        network.max_delay_s = max_delay_s

    @stateful.rule()
    def back_up_store(self):
        self.backup = self.built.store.copy_entries()

    # The limit stated in 2.6 of the design: a restore while every instance
    # that saw the newest revision is unreachable starts a divergent history.
    # The store is therefore restored only without network partitions and
    # pauses and while an instance has the newest revision, and no instance
    # fails until the store is repaired.
    @stateful.precondition(
        lambda self: (
            not self.built.cuts
            and self.built.store_fault is fabric.StoreFault.NONE
            and not any(i.paused for i in self.built.instances.values())
        )
    )
    @stateful.rule(
        racers=strategies.lists(names, max_size=2),
        restarted=strategies.sets(names, max_size=3),
    )
    def restore_store(self, racers, restarted):
        text = self.built.store.value("config/tree").value
        newest = adoption.decode_revision(text)
        held = max(
            (self.current_revision(i) for i in self.running()), default=0
        )
        holders = {
            name
            for name, instance in self.built.instances.items()
            if instance.state and self.current_revision(instance) == held
        }
        if held < newest or not holders - restarted:
            return
        # A new instance that races with the repair knows neither the newest
        # revision nor its peers.
        for name in restarted:
            self.built.crash(name)
            self.built.start_instance(name)
        for name in racers:
            self.submit_new(name, "worth", None)
        self.built.store.restore(self.backup)
        self.built.run_for(CONVERGENCE_S)
        self.oracle.collect_responses(self.built)
        text = self.built.store.value("config/tree").value
        assert adoption.decode_revision(text) >= held, (
            "the store was not repaired"
        )

    @stateful.rule(seconds=strategies.sampled_from((0.005, 0.1, 1.0, 4.0)))
    def run(self, seconds):
        self.built.run_for(seconds)

    @stateful.rule()
    def heal(self):
        """Ends every fault and checks that all instances converge in time."""
        self.built.heal()
        self.built.network = fabric.Network()
        for name, instance in self.built.instances.items():
            if instance.state is None:
                self.built.start_instance(name)
            elif instance.paused:
                self.built.resume(name)
        self.built.run_for(CONVERGENCE_S)
        self.oracle.collect_responses(self.built)
        text = self.built.store.value("config/tree").value
        held = {i.state.configuration.text for i in self.running()}
        assert held == {text}, sorted(
            map(self.current_revision, self.running())
        )
        self.oracle.check(text, self.submissions)

    @stateful.invariant()
    def hear(self):
        self.oracle.collect_responses(self.built)

    def teardown(self):
        self.heal()


class ConfigurationFuzz(ConfigurationMachine.TestCase):
    """Guards P8: an accepted edit stays in force and reaches every instance."""

    settings = fuzzing.profile("configuration", examples=40, steps=30)


if __name__ == "__main__":
    unittest.main()
