"""Tests of edits and of their distribution under faults."""

import unittest

from dandelionpick import errors
from dandelionpick import events
from dandelionpick import operator_messages as messages
from tests import builders
from tests import fabric
from tests.edit_builders import await_response
from tests.edit_builders import edit
from tests.edit_builders import GUARANTEE
from tests.edit_builders import revisions
from tests.edit_builders import run_until_writing
from tests.edit_builders import SHARE_PATH
from tests.edit_builders import small_fabric
from tests.edit_builders import stored_document
from tests.edit_builders import WORTH_PATH

# Fault of the store, whether it starts at the write, whether the outcome is
# unknown to the operator.
STORE_FAULTS = (
    (fabric.StoreFault.REFUSES, False, False),
    (fabric.StoreFault.SILENT, False, False),
    (fabric.StoreFault.LOSES_REPLIES, False, False),
    (fabric.StoreFault.SILENT, True, True),
    (fabric.StoreFault.LOSES_REPLIES, True, True),
)


class EditTest(unittest.TestCase):
    """Operators are told the actual outcome of an edit."""

    def test_is_in_force_everywhere_when_it_is_accepted(self):
        built = small_fabric()
        started_s = built.now_s
        reply = built.ask("a1", edit("e1"))
        self.assertEqual((reply.revision, reply.repeated), (2, False))
        self.assertEqual(reply.in_force, ["a", "b", "c"])
        self.assertEqual(revisions(built), {2})
        self.assertLess(built.now_s - started_s, 3.0)

    def test_names_only_failure_domains_that_have_it(self):
        built = small_fabric()
        built.pause("b1")
        reply = built.ask("a1", edit("e1"))
        self.assertEqual(reply.in_force, ["a", "c"])

    def test_a_repeated_edit_id_has_no_second_effect(self):
        built = small_fabric()
        built.ask("a1", edit("e1", value=2.0))
        built.ask("b1", edit("e2", value=3.0))
        reply = built.ask("c1", edit("e1", value=2.0))
        self.assertEqual((reply.revision, reply.repeated), (2, True))
        self.assertEqual(
            stored_document(built).tree["branches"]["ward"]["share"], 3.0
        )

    def test_racing_edits_are_all_applied(self):
        built = small_fabric()
        names = sorted(built.instances)
        for name in names:
            built.send(name, edit(f"edit of {name}", f"branches/{name}", {}))
        built.run_for(8.0)
        self.assertEqual(stored_document(built).revision, 1 + len(names))
        self.assertLessEqual(
            set(names), set(stored_document(built).tree["branches"])
        )

    def test_a_conflict_names_the_path_and_who_changed_it(self):
        built = small_fabric()
        built.ask("a1", edit("e1", operator="mori"))
        cases = (
            (SHARE_PATH, errors.ProblemKind.EDIT_CONFLICT),
            ("branches/ward", errors.ProblemKind.EDIT_CONFLICT),
            ("branches/ward/shar", errors.ProblemKind.EDIT_INVALID),
        )
        for path, kind in cases:
            with self.subTest(path):
                reply = built.ask("b1", edit(path, path, {}, base_revision=1))
                self.assertIs(reply.problem.kind, kind)
        message = built.ask("b1", edit("e3", base_revision=1)).problem.message
        self.assertIn(SHARE_PATH, message)
        self.assertIn("mori", message)
        reply = built.ask("b1", edit("e4", WORTH_PATH, base_revision=1))
        self.assertEqual(reply.revision, 3)

    def test_refuses_a_base_revision_whose_changes_are_not_known(self):
        built = small_fabric(builders.document(revision=500))
        for base in (1, 501):
            with self.subTest(base):
                reply = built.ask("a1", edit(f"e{base}", base_revision=base))
                self.assertIs(
                    reply.problem.kind, errors.ProblemKind.EDIT_CONFLICT
                )

    def test_refuses_guarantees_that_do_not_fit(self):
        built = small_fabric()
        path = "branches/ward/guarantees/big"
        fits = built.ask("a1", edit("e1", path, GUARANTEE))
        self.assertEqual(fits.revision, 2)
        cases = (
            {"tasks": 3},
            {"accelerators": 9, "tasks": 1},
            {"count": 2},
            {"count": 9_999},
            {"failure_domain": "nowhere"},
        )
        for number, case in enumerate(cases):
            with self.subTest(case):
                value = {**GUARANTEE, **case}
                reply = built.ask("b1", edit(f"f{number}", path, value))
                self.assertIs(
                    reply.problem.kind,
                    errors.ProblemKind.GUARANTEES_DO_NOT_FIT,
                )
                self.assertIn("ward/big", reply.problem.message)
        self.assertEqual(stored_document(built).revision, 2)

    def test_a_lost_worker_does_not_stop_edits_of_other_settings(self):
        built = small_fabric()
        path = "branches/ward/guarantees/big"
        built.ask("a1", edit("e1", path, GUARANTEE))
        del built.entries["worker-a"]
        built.list.set_entries(list(built.entries.values()), built.now_s)
        built.run_for(4.0)
        self.assertEqual(built.ask("a1", edit("e2", WORTH_PATH)).revision, 3)

    def test_refuses_a_document_over_the_limit_of_the_store(self):
        built = small_fabric()
        branch = {"classes": {f"class-{n}": {} for n in range(60_000)}}
        reply = built.ask("a1", edit("e1", "branches/x", branch))
        self.assertIn("bytes", reply.problem.message)
        self.assertEqual(stored_document(built).revision, 1)

    def test_a_store_fault_is_reported_truthfully(self):
        for fault, at_write, unknown in STORE_FAULTS:
            with self.subTest(fault=fault, at_write=at_write):
                built = small_fabric()
                if not at_write:
                    built.store_fault = fault
                exchange_id = built.send("a1", edit("e1"))
                if at_write:
                    run_until_writing(built, "a1")
                    built.store_fault = fault
                reply = await_response(built, exchange_id)
                self.assertIs(
                    reply.problem.kind, errors.ProblemKind.STORE_UNAVAILABLE
                )
                self.assertIs(reply.unknown, unknown)
                built.heal()
                built.run_for(8.0)
                self.assertEqual(built.ask("b1", edit("e1")).revision, 2)
                self.assertEqual(len(stored_document(built).edits), 1)

    def test_finds_its_edit_after_a_lost_reply(self):
        built = small_fabric()
        exchange_id = built.send("a1", edit("e1"))
        run_until_writing(built, "a1")
        built.store_fault = fabric.StoreFault.LOSES_REPLIES
        built.run_for(0.1)
        built.heal()
        reply = await_response(built, exchange_id)
        self.assertEqual((reply.revision, reply.repeated), (2, False))
        self.assertEqual(len(stored_document(built).edits), 1)

    def test_builds_on_the_revision_of_a_peer_after_a_restore(self):
        """Guards against edits of the older document in a restored store."""
        built = small_fabric()
        backup = built.store.copy_entries()
        built.ask("a1", edit("e1", WORTH_PATH))
        for name in ("b1", "b2", "c1", "c2"):
            built.crash(name)
        built.cut("a", fabric.PLATFORM)
        built.store.restore(backup)
        built.start_instance("b1")
        reply = built.ask("b1", edit("e2"))
        self.assertEqual(reply.revision, 3)
        applied = [record.edit_id for record in stored_document(built).edits]
        self.assertEqual(applied, ["e1", "e2"])

    def test_a_write_confirmed_to_a_paused_instance_is_checked_again(self):
        """Guards against accepting an edit that a restore has undone.

        The instance is paused after it sent its write. Before it reads the
        reply, the store is restored from an older copy and edited.
        """
        built = small_fabric()
        backup = built.store.copy_entries()
        exchange_id = built.send("a1", edit("e1", WORTH_PATH))
        run_until_writing(built, "a1")
        built.pause("a1")
        built.store_fault = fabric.StoreFault.NONE
        built.run_for(0.006)
        self.assertEqual(stored_document(built).revision, 2)
        for name in ("a2", "b1", "b2", "c1", "c2"):
            built.crash(name)
        built.store.restore(backup)
        built.start_instance("b1")
        built.run_for(2.0)
        self.assertEqual(built.ask("b1", edit("e2")).revision, 2)
        built.resume("a1")
        built.run_for(8.0)
        reply = built.response(exchange_id)
        found = {record.edit_id for record in stored_document(built).edits}
        self.assertIn("e2", found)
        if isinstance(reply, messages.EditAccepted):
            self.assertIn("e1", found)
        else:
            self.assertTrue(reply.unknown)

    def test_a_restore_before_the_reply_to_a_write_loses_no_edit(self):
        """Guards against accepting an edit whose write is gone.

        The store is restored from an older copy while the reply to the write
        is in transit.
        """
        built = small_fabric()
        backup = built.store.copy_entries()
        first = built.send("a1", edit("e1", WORTH_PATH))
        run_until_writing(built, "a1")
        built.network = fabric.Network(min_delay_s=1.0, max_delay_s=1.0)
        while built.store.calls.get("Write", 0) == 0:
            built.run_for(0.0005)
        built.network = fabric.Network()
        built.store.restore(backup)
        second = built.send("b1", edit("e2"))
        replies = [await_response(built, first), await_response(built, second)]
        self.assertEqual({reply.revision for reply in replies}, {2, 3})
        applied = {record.edit_id for record in stored_document(built).edits}
        self.assertEqual(applied, {"e1", "e2"})

    def test_a_planned_stop_waits_for_the_answer_to_an_edit(self):
        built = small_fabric()
        built.store_fault = fabric.StoreFault.SILENT
        exchange_id = built.send("a1", edit("e1"))
        built.deliver("a1", events.StopRequested(built.moment()))
        built.run_for(built.limits.drain_notice_s + 0.5)
        self.assertFalse(built.instances["a1"].exited)
        built.heal()
        self.assertEqual(await_response(built, exchange_id).revision, 2)
        built.run_until(lambda: built.instances["a1"].exited)
        self.assertTrue(built.instances["a1"].exited)

    def test_refuses_to_edit_before_the_instance_list_was_read(self):
        built = small_fabric()
        built.list_reachable = False
        built.crash("a1")
        built.start_instance("a1")
        reply = built.ask("a1", edit("e1"))
        self.assertIs(reply.problem.kind, errors.ProblemKind.PEER_UNAVAILABLE)


if __name__ == "__main__":
    unittest.main()
