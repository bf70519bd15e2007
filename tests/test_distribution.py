"""Tests of the distribution of the document under faults."""

import collections
import unittest

from dandelionpick import adoption
from dandelionpick import dispatch
from dandelionpick import errors
from dandelionpick import operator_messages as messages
from dandelionpick import store_messages
from standins import store as store_lib
from tests import fabric
from tests.edit_builders import DOCUMENT_KEY
from tests.edit_builders import edit
from tests.edit_builders import revisions
from tests.edit_builders import SHARE_PATH
from tests.edit_builders import small_fabric
from tests.edit_builders import stored_document
from tests.edit_builders import WORTH_PATH

# Documents in the store that must not be adopted.
INVALID_DOCUMENTS = (
    "",
    "{",
    "[]",
    '{"revision": "x", "tree": {}}',
    '{"revision": -1, "tree": {}}',
    '{"revision": 9}',
    '{"revision": 9, "tree": {"branches": 5}}',
    '{"revision": 9, "tree": {"oops": 5}}',
    '{"revision": 9, "tree": ' + '{"branches":{"x":' * 3000,
)


class DistributionTest(unittest.TestCase):
    """Every instance keeps the highest valid revision."""

    def test_few_calls_to_the_store(self):
        built = small_fabric()
        calls = collections.Counter()
        handle = built.store.handle

        def count(message, *details):
            calls[message.key.split("/")[0]] += 1
            return handle(message, *details)

        # The bound is on steady operation: instances that have just started
        # poll once, before they know which of them is preferred.
        built.run_for(10.0)
        built.store.handle = count
        built.run_for(60.0)
        self.assertLessEqual(calls["config"], 3 * 60 / 4)
        # Scheduling reads the job document of each failure domain every second;
        # the sweep of old claims adds less than a call a second to one of them.
        self.assertLessEqual(calls.total(), 3 * 60 * 2)

    def test_an_invalid_document_is_not_adopted(self):
        for text in INVALID_DOCUMENTS:
            with self.subTest(text[:40]):
                built = small_fabric()
                built.store.versions += 1
                built.store.entries[DOCUMENT_KEY] = store_lib.Entry(
                    built.store.versions, text
                )
                built.run_for(8.0)
                self.assertEqual(revisions(built), {1})
                reply = built.ask("a1", edit("e1"))
                higher = adoption.decode_revision(text) > 1
                refused = isinstance(reply, messages.EditRefused)
                self.assertEqual(refused, higher)

    def test_a_lower_revision_is_adopted_from_nobody(self):
        """Guards against a configuration that reverts on an old document."""
        built = small_fabric()
        state = built.instances["a1"].state
        older = state.configuration.text
        built.ask("a1", edit("e"))
        newer = state.configuration.document
        step = dispatch.Step(built.moment())
        adoption.adopt(state, step, older, "a2")
        self.assertEqual(state.configuration.document, newer)
        adoption.adopt_from_store(state, step, older)
        self.assertEqual(state.configuration.document, newer)

    def test_a_restored_store_gets_the_highest_revision_back(self):
        built = small_fabric()
        backup = built.store.copy_entries()
        built.ask("a1", edit("e1"))
        for copy in (backup, {}):
            built.store.restore(copy)
            built.run_for(6.0)
            self.assertEqual(stored_document(built).revision, 2)
            self.assertEqual(revisions(built), {2})

    def test_divergent_histories_converge(self):
        """The limit stated in 2.6: no instance with the edit is reachable.

        The divergent history has a higher revision or an equal one.
        """
        for edits in (2, 1):
            with self.subTest(edits=edits):
                self.check_divergent_histories(edits)

    def check_divergent_histories(self, edits: int) -> None:
        built = small_fabric()
        backup = built.store.copy_entries()
        for domain in ("b", "c"):
            built.cut("a", domain)
            built.cut(domain, fabric.PLATFORM)
        built.ask("a1", edit("e1", operator="mori"))
        built.heal()
        for other in (fabric.PLATFORM, "b", "c"):
            built.cut("a", other)
        built.store.restore(backup)
        for number in range(2, 2 + edits):
            reply = built.ask("b1", edit(f"e{number}"))
            self.assertEqual(reply.revision, number)
        built.heal()
        built.run_for(8.0)
        self.assertEqual(revisions(built), {3})
        texts = {i.state.configuration.text for i in built.instances.values()}
        self.assertEqual(texts, {built.store.value(DOCUMENT_KEY).value})
        self.assertEqual(stored_document(built).edits[0].edit_id, "e2")
        lost = [note for note in built.log_lines if "e1 of mori" in note]
        self.assertEqual({note[:2] for note in lost}, {"a1", "a2"})

    def test_a_failed_repair_is_repeated(self):
        built = small_fabric()
        backup = built.store.copy_entries()
        built.ask("a1", edit("e1"))
        built.store.restore(backup)
        built.run_for(0.11)
        built.store_fault = fabric.StoreFault.REFUSES
        built.run_for(10.0)
        built.heal()
        built.run_for(8.0)
        self.assertEqual(stored_document(built).revision, 2)

    def test_a_start_while_cut_off_takes_the_document_from_peers(self):
        for cuts in (
            [("a", fabric.PLATFORM)],
            [("a", fabric.PLATFORM), ("a", "b"), ("a", "c")],
        ):
            with self.subTest(cuts=cuts):
                built = small_fabric()
                built.ask("a1", edit("e1"))
                built.crash("a1")
                built.start_instance("a1")
                built.run_for(0.3)
                for cut in cuts:
                    built.cut(*cut)
                built.store_fault = fabric.StoreFault.REFUSES
                built.run_for(4.0)
                self.assertEqual(revisions(built), {2})

    def test_a_cut_failure_domain_catches_up_and_reports_its_age(self):
        built = small_fabric()
        for other in (fabric.PLATFORM, "b", "c"):
            built.cut("a", other)
        reply = built.ask("b1", edit("e1"))
        self.assertEqual(reply.in_force, ["b", "c"])
        built.run_for(30.0)
        status = built.ask("a1", messages.ReadStatus())
        self.assertEqual(status.revision, 1)
        self.assertGreater(status.configuration_age_s, 25.0)
        built.heal()
        built.run_for(8.0)
        self.assertEqual(revisions(built), {2})

    def test_a_lost_watch_reply_delays_an_edit_by_less_than_8_s(self):
        """Guards against a watch that waits on a dead connection.

        No announcement arrives either: the instance that accepts the edit is
        partitioned from "a".
        """
        built = small_fabric()
        built.cut("a", "b")
        built.cut("a", "c")
        built.cut("a", fabric.PLATFORM)
        built.send("b1", edit("e1"))
        built.run_for(2.0)
        self.assertEqual(revisions(built), {1, 2})
        built.cuts.discard(frozenset(("a", fabric.PLATFORM)))
        built.run_for(6.0)
        self.assertEqual(revisions(built), {2})


class OperatorReadTest(unittest.TestCase):
    """Operators see the tree, its history and what an edit would do."""

    def test_history_and_simulation(self):
        built = small_fabric()
        built.ask("a1", edit("e1", operator="mori"))
        edits = built.ask("b1", messages.ReadEdits())
        self.assertEqual(edits.edits[0].operator, "mori")
        self.assertEqual(edits.edits[0].paths, [SHARE_PATH])
        simulated = built.ask(
            "b1", messages.SimulateEdit(edit("e2", WORTH_PATH))
        )
        changed = {(c.organisation, c.setting) for c in simulated.changes}
        self.assertEqual(
            changed, {("ward", WORTH_PATH), ("station", WORTH_PATH)}
        )
        refused = built.ask("b1", messages.SimulateEdit(edit("e3", "x", 1)))
        self.assertIs(refused.problem.kind, errors.ProblemKind.EDIT_INVALID)
        self.assertEqual(built.ask("a1", messages.ReadTree()).revision, 2)

    def test_says_that_it_has_no_configuration(self):
        built = small_fabric()
        built.store_fault = fabric.StoreFault.REFUSES
        for name in built.instances:
            built.crash(name)
        built.start_instance("a1")
        built.run_for(3.0)
        reply = built.ask("a1", messages.ReadTree())
        self.assertIs(reply.problem.kind, errors.ProblemKind.NO_CONFIGURATION)

    def test_the_first_edit_creates_the_document(self):
        built = small_fabric()
        for name in built.instances:
            built.crash(name)
        built.store.handle(store_messages.Write(DOCUMENT_KEY, 1, None, "clear"))
        built.start_instance("a1")
        built.run_for(4.0)
        self.assertEqual(built.ask("a1", messages.ReadTree()).tree, {})
        reply = built.ask("a1", edit("e1", "branches", {"ward": {}}))
        self.assertEqual(reply.revision, 1)


if __name__ == "__main__":
    unittest.main()
