"""Tests of the live set under stale lists, partitions, restarts and stalls."""

import unittest
from unittest import mock

import msgspec

from dandelionpick import events
from dandelionpick import kinds
from dandelionpick import listing
from dandelionpick import membership
from dandelionpick import peer_messages
from dandelionpick import reducer
from dandelionpick import runtime
from tests import builders
from tests import fabric
from tests import routing_cases as cases

# HTTP headers of a request and its reply, both ways, without the bodies.
HEADER_BYTES = 500


def live(built, name):
    """Returns the live instances of a failure domain as one of them sees it."""
    state = built.instances[name].state
    return sorted(membership.live_instances(state, built.now_s))


def preferred(built, name):
    """Returns the preferred instance as one instance sees it."""
    state = built.instances[name].state
    return membership.preferred_instance(state, built.now_s)


class LiveSetTest(unittest.TestCase):
    def test_crashed_peer_is_suspected_and_live_again_after_restart(self):
        """Guards against a lagging list that shows a crashed peer as live."""
        built = cases.build({"a": (3, 1)})
        built.list.lag_s = 1000.0
        everyone = ["a-entry-1", "a-entry-2", "a-entry-3"]
        self.assertEqual(live(built, "a-entry-1"), everyone)
        built.crash("a-entry-2")
        built.run_for(1.5)
        self.assertEqual(live(built, "a-entry-1"), everyone)
        built.run_for(3.0)
        self.assertEqual(live(built, "a-entry-1"), ["a-entry-1", "a-entry-3"])
        built.start_instance("a-entry-2")
        built.run_for(2.0)
        self.assertEqual(live(built, "a-entry-1"), everyone)
        self.assertIn(
            "a-entry-1 membership: instance a-entry-2 was restarted",
            built.log_lines,
        )

    def test_late_heartbeat_of_an_earlier_incarnation_is_ignored(self):
        """Guards against a late message that changes whether a peer is live."""
        built = cases.build({"a": (2, 0)})
        state = built.instances["a-entry-1"].state
        peer = state.members.peers["a-entry-2"]
        old = msgspec.structs.replace(peer.heartbeat, leaving=True)
        built.crash("a-entry-2")
        built.start_instance("a-entry-2")
        built.run_for(3.0)
        built.send("a-entry-1", old)
        self.assertEqual(live(built, "a-entry-1"), ["a-entry-1", "a-entry-2"])
        # A later message can't revoke that the incarnation is leaving.
        new = peer.heartbeat
        built.send("a-entry-1", msgspec.structs.replace(new, leaving=True))
        built.send("a-entry-1", new)
        self.assertEqual(live(built, "a-entry-1"), ["a-entry-1"])

    def test_different_live_sets_only_differ_in_the_preferred_instance(self):
        """Guards against requests failing while instances disagree."""
        built = cases.build({"a": (2, 2)})
        both = {preferred(built, "a-entry-1"), preferred(built, "a-entry-2")}
        self.assertEqual(len(both), 1)
        # No heartbeat passes between the two; the targets stay reachable.
        original = built.is_cut
        built.is_cut = lambda name, destination: (
            destination.service is kinds.Service.PEER
            or original(name, destination)
        )
        built.run_for(5.0)
        self.assertEqual(preferred(built, "a-entry-1"), "a-entry-1")
        self.assertEqual(preferred(built, "a-entry-2"), "a-entry-2")
        sent = cases.send(built, "x", 50)
        sent += cases.send(built, "y", 50, "a-entry-2")
        built.run_for(5.0)
        cases.assert_completed(self, built, sent)

    def test_leaving_in_the_list_takes_effect_at_once(self):
        """Guards against waiting for a heartbeat that confirms the list."""
        built = cases.build({"a": (2, 2)})
        cases.set_listed_state(built, "a-entry-2", kinds.Liveness.LEAVING)
        cases.set_listed_state(built, "a-executor-1", kinds.Liveness.LEAVING)
        built.run_for(built.list.lag_s + 1.5)
        self.assertEqual(live(built, "a-entry-1"), ["a-entry-1"])
        before = cases.runs_of(built, "a-executor-1")
        cases.send(built, "k", 20)
        built.run_for(3.0)
        self.assertEqual(cases.runs_of(built, "a-executor-1"), before)

    def test_platform_outage_keeps_the_last_list(self):
        """Guards against dropping the last list during a platform outage."""
        built = cases.build({"a": (2, 2), "b": (1, 1)})
        built.cut("a", fabric.PLATFORM)
        built.run_for(60.0)
        self.assertEqual(live(built, "a-entry-1"), ["a-entry-1", "a-entry-2"])
        sent = cases.send(built, "k", 20)
        built.run_for(3.0)
        cases.assert_completed(self, built, sent)


class ShrunkenListTest(unittest.TestCase):
    def list_only(self, built, keep):
        """Makes the list show only the entries that `keep` accepts."""
        entries = [e for e in built.entries.values() if keep(e)]
        built.list.set_entries(entries, built.now_s)

    def test_empty_or_partial_list_removes_nothing_at_once(self):
        """Guards against an incomplete list that stops a failure domain."""
        table = {
            "empty": lambda entry: False,
            "no executors": lambda entry: entry.role is kinds.Role.ENTRY,
            "no failure domain": lambda entry: entry.failure_domain != "a",
            "first of four": lambda entry: (
                not entry.id.startswith("a-") or entry.id.endswith("1")
            ),
        }
        for name, keep in table.items():
            with self.subTest(name):
                built = cases.build({"a": (4, 4), "b": (1, 1)})
                self.list_only(built, keep)
                built.run_for(listing.RETAIN_S * 3)
                self.assertEqual(len(live(built, "a-entry-1")), 4)
                sent = cases.send(built, "k", 20)
                built.run_for(3.0)
                outcomes = set(cases.outcomes(built, sent))
                self.assertEqual(outcomes, {"completed"})

    def test_plausible_removal_takes_effect_at_once(self):
        """Guards against sending work to entries that the platform removed."""
        built = cases.build({"a": (1, 4)})
        self.list_only(built, lambda entry: entry.id != "a-executor-1")
        built.run_for(3.0)
        state = built.instances["a-entry-1"].state
        self.assertNotIn("a-executor-1", state.members.entries)

    def test_removed_and_silent_entries_are_dropped_in_the_end(self):
        """Guards against keeping a removed group of entries forever."""
        built = cases.build({"a": (1, 4)})
        for name in list(built.targets):
            del built.targets[name]
        self.list_only(built, lambda entry: entry.role is kinds.Role.ENTRY)
        built.run_for(listing.RETAIN_S + 10.0)
        state = built.instances["a-entry-1"].state
        self.assertEqual(list(state.members.entries), ["a-entry-1"])


class StallTest(unittest.TestCase):
    def test_paused_instance_does_not_act_on_stale_state(self):
        """Guards against a paused instance that resumes as preferred."""
        for name in ("a-entry-1", "a-entry-2"):
            with self.subTest(name):
                built = cases.build({"a": (2, 1)})
                other = {"a-entry-1", "a-entry-2"} - {name}
                built.pause(name)
                built.run_for(20.0)
                built.instances[name].paused = False
                built.deliver(name, events.Stalled(built.moment(), 20.0))
                self.assertEqual({preferred(built, name)}, other)
                state = built.instances[name].state
                self.assertTrue(state.routing.starts_paused)
                built.resume(name)
                built.run_for(2.0)
                self.assertFalse(state.routing.starts_paused)
                both = {preferred(built, "a-entry-1")}
                both.add(preferred(built, "a-entry-2"))
                self.assertEqual(len(both), 1)

    def test_stall_without_platform_ends_in_bounded_time(self):
        """Guards against a cut-off instance that never starts work again."""
        built = cases.build({"a": (1, 1)})
        built.cut("a", fabric.PLATFORM)
        built.pause("a-entry-1")
        built.run_for(20.0)
        built.resume("a-entry-1")
        answer = built.ask("a-entry-1", builders.request("k"), 5.0)
        self.assertEqual(answer.outcome, kinds.Outcome.COMPLETED)

    def test_stall_is_delivered_before_the_event_that_shows_it(self):
        """Guards against handling a message before its stall is handled."""
        state = cases.build({"a": (1, 1)}).instances["a-entry-1"].state
        driver = runtime.Runtime(
            state, reducer.reduce_guarded, mock.Mock(), mock.Mock()
        )
        now_s = driver.last_tick_s + 20.0
        with mock.patch.object(runtime, "_perform"):
            request = builders.request("k")
            moment = events.Moment(now_s, fabric.START_UNIX_MS, 0.5)
            driver.deliver(events.Received(moment, "x1", request))
        self.assertEqual(state.members.stall_count, 1)
        self.assertEqual(len(state.routing.queue), 1)

    def test_stall_is_no_evidence_against_executors(self):
        """Guards against blaming executors for the instance's own pause."""
        built = cases.build({"a": (1, 4)})
        cases.send(built, "warm", 40)
        built.run_for(3.0)
        cases.send(built, "k", 30)
        built.run_for(0.01)
        built.pause("a-entry-1")
        built.run_for(20.0)
        built.resume("a-entry-1")
        built.run_for(1.0)
        state = built.instances["a-entry-1"].state
        for health in state.routing.health.values():
            self.assertIsNone(health.quarantined_until_s)
        histogram = state.routing.run_times.histogram_of(
            ("ward", "confirmation")
        )
        self.assertLess(histogram.quantile(1.0), 1.0)


class TrafficTest(unittest.TestCase):
    def test_control_traffic_stays_within_22_kb_a_second(self):
        """Guards against all-to-all heartbeats with 9 failure domains."""
        built = cases.build(
            {f"domain-{number}": (10, 0) for number in range(9)},
            settle_s=8.0,
        )
        sent = dict.fromkeys(built.instances, 0)
        original = built._call

        def count(name, state, call):
            if isinstance(call.message, peer_messages.Heartbeat):
                size = len(msgspec.json.encode(call.message))
                for end in (name, call.destination.name):
                    sent[end] += 2 * size + HEADER_BYTES
            original(name, state, call)

        built._call = count
        built.run_for(12.0)
        most = max(sent.values()) / 12.0
        self.assertLess(most, 22_000)
        state = built.instances["domain-0-entry-1"].state
        usable = {
            peer.entry.failure_domain
            for peer in membership.peers_in_other_domains(state, built.now_s)
        }
        self.assertEqual(len(usable), 8)

    def test_failed_contact_is_replaced(self):
        """Guards against losing a failure domain with its contact peer."""
        built = cases.build({"a": (4, 0), "b": (3, 0)})
        for name in ("b-entry-1", "b-entry-2"):
            built.crash(name)
        built.run_for(12.0)
        for number in range(1, 5):
            state = built.instances[f"a-entry-{number}"].state
            usable = [
                peer.entry.id
                for peer in membership.peers_in_other_domains(
                    state, built.now_s
                )
            ]
            self.assertEqual(usable, ["b-entry-3"])


class FirstListTest(unittest.TestCase):
    def test_new_instance_settles_until_its_peers_are_heard(self):
        """Guards against a new instance that considers itself preferred."""
        built = fabric.Fabric(1)
        built.list.lag_s = 0.0
        built.add_instance("entry-1", "a")
        self.assertEqual(preferred(built, "entry-1"), "")
        built.run_for(0.3)
        self.assertEqual(preferred(built, "entry-1"), "entry-1")
