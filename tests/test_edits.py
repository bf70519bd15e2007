"""Tests of edits and of their distribution when parts fail."""

import unittest

from dandelionpick import adoption
from dandelionpick import edit_state
from dandelionpick import errors
from dandelionpick import operator_messages as messages
from dandelionpick import store_messages
from standins import store as store_lib
from tests import builders
from tests import fabric

KEY = "config/tree"
WORTH = "classes/scan/worth"
SHARE = "branches/ward/share"
GUARANTEE = {"failure_domain": "a", "tasks": 2, "accelerators": 4}


def small_fabric(text: str | None = None, seed: int = 1) -> fabric.Fabric:
    """Builds three failure domains with two instances and one worker each."""
    built = fabric.Fabric(seed)
    built.store.entries[KEY] = store_lib.Entry(1, text or builders.document())
    built.store.versions = 1
    for domain in ("a", "b", "c"):
        entry = builders.worker_entry(f"worker-{domain}", domain)
        built.add_target(entry, None)
        for number in (1, 2):
            built.add_instance(f"{domain}{number}", domain)
    built.run_for(5.0)
    return built


def edit(edit_id: str, path: str = SHARE, value=2.0, **fields):
    """Builds an edit of one setting."""
    return messages.EditTree(
        edit_id=edit_id, changes=[messages.Change(path, value)], **fields
    )


def revisions(built: fabric.Fabric) -> set[int]:
    """Returns the revisions that the running instances have in force."""
    return {
        instance.state.configuration.document.revision
        for instance in built.instances.values()
        if instance.state is not None
    }


def stored(built: fabric.Fabric):
    """Returns the document in the store."""
    return adoption.parse(built.store.value(KEY).value)


def await_response(built: fabric.Fabric, exchange_id: str):
    """Advances until an exchange is answered."""
    built.run_until(lambda: exchange_id in built.responses)
    return built.response(exchange_id)


def run_until_writing(built: fabric.Fabric, name: str) -> None:
    """Advances in small steps until an instance has sent its write."""
    edits = built.instances[name].state.edits
    while edits.queue[0].phase is not edit_state.Phase.WRITING:
        built.run_for(0.0005)


# Fault of the store, whether it starts at the write, whether the outcome is
# unknown to the operator.
STORE_FAULTS = (
    (fabric.StoreFault.REFUSES, False, False),
    (fabric.StoreFault.SILENT, False, False),
    (fabric.StoreFault.LOSES_REPLIES, False, False),
    (fabric.StoreFault.SILENT, True, True),
    (fabric.StoreFault.LOSES_REPLIES, True, True),
)

# Text of the store's document that must not be adopted.
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


class EditTest(unittest.TestCase):
    """An operator learns truthfully what became of an edit."""

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
        self.assertEqual(stored(built).tree["branches"]["ward"]["share"], 3.0)

    def test_racing_edits_are_all_applied(self):
        built = small_fabric()
        names = sorted(built.instances)
        for name in names:
            built.send(name, edit(f"edit of {name}", f"branches/{name}", {}))
        built.run_for(8.0)
        self.assertEqual(stored(built).revision, 1 + len(names))
        self.assertLessEqual(set(names), set(stored(built).tree["branches"]))

    def test_a_conflict_names_the_path_and_who_changed_it(self):
        built = small_fabric()
        built.ask("a1", edit("e1", operator="mori"))
        cases = (
            (SHARE, errors.ProblemKind.EDIT_CONFLICT),
            ("branches/ward", errors.ProblemKind.EDIT_CONFLICT),
            ("branches/ward/shar", errors.ProblemKind.EDIT_INVALID),
        )
        for path, kind in cases:
            with self.subTest(path):
                reply = built.ask("b1", edit(path, path, {}, base_revision=1))
                self.assertIs(reply.problem.kind, kind)
        message = built.ask("b1", edit("e3", base_revision=1)).problem.message
        self.assertIn(SHARE, message)
        self.assertIn("mori", message)
        reply = built.ask("b1", edit("e4", WORTH, base_revision=1))
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
        self.assertEqual(stored(built).revision, 2)

    def test_a_lost_worker_does_not_stop_edits_of_other_settings(self):
        built = small_fabric()
        path = "branches/ward/guarantees/big"
        built.ask("a1", edit("e1", path, GUARANTEE))
        del built.entries["worker-a"]
        built.list.set_entries(list(built.entries.values()), built.now_s)
        built.run_for(4.0)
        self.assertEqual(built.ask("a1", edit("e2", WORTH)).revision, 3)

    def test_refuses_a_document_over_the_limit_of_the_store(self):
        built = small_fabric()
        branch = {"classes": {f"class-{n}": {} for n in range(60_000)}}
        reply = built.ask("a1", edit("e1", "branches/x", branch))
        self.assertIn("bytes", reply.problem.message)
        self.assertEqual(stored(built).revision, 1)

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
                self.assertEqual(len(stored(built).edits), 1)

    def test_finds_its_edit_after_a_lost_reply(self):
        built = small_fabric()
        exchange_id = built.send("a1", edit("e1"))
        run_until_writing(built, "a1")
        built.store_fault = fabric.StoreFault.LOSES_REPLIES
        built.run_for(0.1)
        built.heal()
        reply = await_response(built, exchange_id)
        self.assertEqual((reply.revision, reply.repeated), (2, False))
        self.assertEqual(len(stored(built).edits), 1)

    def test_builds_on_the_revision_of_a_peer_after_a_restore(self):
        """Guards against an edit on top of a store restored to a lower one."""
        built = small_fabric()
        backup = built.store.copy_entries()
        built.ask("a1", edit("e1", WORTH))
        for name in ("b1", "b2", "c1", "c2"):
            built.crash(name)
        built.cut("a", fabric.PLATFORM)
        built.store.restore(backup)
        built.start_instance("b1")
        reply = built.ask("b1", edit("e2"))
        self.assertEqual(reply.revision, 3)
        applied = [record.edit_id for record in stored(built).edits]
        self.assertEqual(applied, ["e1", "e2"])

    def test_a_write_confirmed_to_a_paused_instance_is_checked_again(self):
        """Guards against an acceptance that a restore made untrue."""
        built = small_fabric()
        backup = built.store.copy_entries()
        exchange_id = built.send("a1", edit("e1", WORTH))
        run_until_writing(built, "a1")
        built.pause("a1")
        built.store_fault = fabric.StoreFault.NONE
        built.run_for(0.006)
        self.assertEqual(stored(built).revision, 2)
        for name in ("a2", "b1", "b2", "c1", "c2"):
            built.crash(name)
        built.store.restore(backup)
        built.start_instance("b1")
        built.run_for(2.0)
        self.assertEqual(built.ask("b1", edit("e2")).revision, 2)
        built.resume("a1")
        built.run_for(8.0)
        reply = built.response(exchange_id)
        found = {record.edit_id for record in stored(built).edits}
        self.assertIn("e2", found)
        if isinstance(reply, messages.EditAccepted):
            self.assertIn("e1", found)
        else:
            self.assertTrue(reply.unknown)

    def test_a_restore_before_the_reply_to_a_write_loses_no_edit(self):
        """Guards against an acceptance of a write that is no longer there."""
        built = small_fabric()
        backup = built.store.copy_entries()
        first = built.send("a1", edit("e1", WORTH))
        run_until_writing(built, "a1")
        built.network = fabric.Network(min_delay_s=1.0, max_delay_s=1.0)
        while built.store.calls.get("Write", 0) == 0:
            built.run_for(0.0005)
        built.network = fabric.Network()
        built.store.restore(backup)
        second = built.send("b1", edit("e2"))
        replies = [await_response(built, first), await_response(built, second)]
        self.assertEqual({reply.revision for reply in replies}, {2, 3})
        applied = {record.edit_id for record in stored(built).edits}
        self.assertEqual(applied, {"e1", "e2"})

    def test_refuses_to_edit_before_the_instance_list_was_read(self):
        built = small_fabric()
        built.list_reachable = False
        built.crash("a1")
        built.start_instance("a1")
        reply = built.ask("a1", edit("e1"))
        self.assertIs(reply.problem.kind, errors.ProblemKind.PEER_UNAVAILABLE)


class DistributionTest(unittest.TestCase):
    """Every instance keeps the highest valid revision."""

    def test_few_calls_to_the_store(self):
        built = small_fabric()
        before = sum(built.store.calls.values())
        built.run_for(60.0)
        calls = sum(built.store.calls.values()) - before
        self.assertLessEqual(calls, 3 * 60 / 4)

    def test_an_invalid_document_is_not_adopted(self):
        for text in INVALID_DOCUMENTS:
            with self.subTest(text[:40]):
                built = small_fabric()
                built.store.versions += 1
                built.store.entries[KEY] = store_lib.Entry(
                    built.store.versions, text
                )
                built.run_for(8.0)
                self.assertEqual(revisions(built), {1})
                reply = built.ask("a1", edit("e1"))
                higher = adoption.revision_of(text) > 1
                refused = isinstance(reply, messages.EditRefused)
                self.assertEqual(refused, higher)

    def test_a_restored_store_gets_the_highest_revision_back(self):
        built = small_fabric()
        backup = built.store.copy_entries()
        built.ask("a1", edit("e1"))
        for copy in (backup, {}):
            built.store.restore(copy)
            built.run_for(6.0)
            self.assertEqual(stored(built).revision, 2)
            self.assertEqual(revisions(built), {2})

    def test_a_lost_edit_is_logged_when_two_histories_meet(self):
        """The limit of 2.6: nobody who saw the edit could be reached."""
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
        for number in (2, 3):
            reply = built.ask("b1", edit(f"e{number}"))
            self.assertEqual(reply.revision, number)
        built.heal()
        built.run_for(8.0)
        self.assertEqual(revisions(built), {3})
        lost = [note for note in built.notes if "e1 of mori" in note]
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
        self.assertEqual(stored(built).revision, 2)

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

        No announcement arrives either: the acceptor is cut from "a".
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
        self.assertEqual(edits.edits[0].paths, [SHARE])
        simulated = built.ask("b1", messages.SimulateEdit(edit("e2", WORTH)))
        changed = {(c.organisation, c.setting) for c in simulated.changes}
        self.assertEqual(changed, {("ward", WORTH), ("station", WORTH)})
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
        built.store.handle(store_messages.Write(KEY, 1, None, "clear"))
        built.start_instance("a1")
        built.run_for(4.0)
        self.assertEqual(built.ask("a1", messages.ReadTree()).tree, {})
        reply = built.ask("a1", edit("e1", "branches", {"ward": {}}))
        self.assertEqual(reply.revision, 1)


if __name__ == "__main__":
    unittest.main()
