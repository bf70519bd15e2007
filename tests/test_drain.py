"""Tests of the planned stop."""

import collections
import unittest
from unittest import mock

from dandelionpick import drain
from dandelionpick import events
from dandelionpick import kinds
from dandelionpick import state as state_lib
from tests import builders
from tests import routing_cases as cases


def stop(built, name):
    """Requests a planned stop of an instance."""
    built.deliver(name, events.StopRequested(built.moment()))


class DrainTest(unittest.TestCase):
    def test_drain_under_load_loses_nothing(self):
        """Guards against a stop that drops queued or running requests."""
        built = cases.build({"a": (2, 2)})
        sent = []
        for number in range(60):
            if number == 10:
                stop(built, "a-entry-1")
            if built.instances["a-entry-1"].exited:
                break
            for job_class in ("confirmation", "assessment"):
                sent.append(
                    built.send(
                        "a-entry-1",
                        builders.request(
                            f"k{number}-{job_class}",
                            job_class,
                            deadline_s=20.0,
                        ),
                    )
                )
            built.run_for(0.1)
        exited = built.run_until(lambda: built.instances["a-entry-1"].exited)
        self.assertTrue(exited)
        count = collections.Counter(cases.outcomes(built, sent))
        self.assertEqual(set(count), {"completed", "leaving"})
        refused = {
            built.response(one).outcome
            for one in sent
            if built.response(one).problem is not None
        }
        self.assertEqual(refused, {kinds.Outcome.NOT_RUN})
        # 3 s of notice at 20 requests a second, and 1 s before the stop.
        self.assertGreaterEqual(count["completed"], 80)

    def test_peers_stop_forwarding_to_a_draining_instance(self):
        """Guards against forwarding new requests to a leaving instance."""
        built = cases.build({"a": (1, 1), "b": (2, 1)})
        cases.stop_executors(built, "a")
        stop(built, "b-entry-1")
        built.run_for(0.05)
        seen = cases.watch_forwards(built)
        cases.send(built, "k", 20)
        built.run_for(2.0)
        self.assertEqual({name for name, _, _ in seen}, {"b-entry-2"})

    def test_exits_within_the_limit_with_correct_outcomes(self):
        """Guards against a stop that waits forever for a silent executor.

        The drain limit is 10 s. The two requests that were started end as
        unknown, and the queued one as not run.
        """
        limits = state_lib.Limits(drain_limit_s=10.0)
        built = cases.build({"a": (1, 1)}, limits=limits, slots=2)
        built.targets["a-executor-1"].factor = 1e6
        sent = cases.send(built, "k", 3, deadline_s=900.0)
        built.run_for(1.0)
        stop(built, "a-entry-1")
        built.run_for(9.0)
        self.assertFalse(built.instances["a-entry-1"].exited)
        built.run_for(1.5)
        self.assertTrue(built.instances["a-entry-1"].exited)
        found = collections.Counter(built.response(one).outcome for one in sent)
        expected = {kinds.Outcome.UNKNOWN: 2, kinds.Outcome.NOT_RUN: 1}
        self.assertEqual(found, expected)
        self.assertEqual(cases.started(built, "k"), 2)

    def test_waits_for_pending_hand_overs(self):
        """Guards against an exit while a hand-over callback is unfinished."""
        with mock.patch.object(drain, "_hand_overs", []):
            done = []
            drain.on_leaving(lambda state, step: bool(done))
            built = cases.build({"a": (1, 1)})
            stop(built, "a-entry-1")
            built.run_for(8.0)
            self.assertFalse(built.instances["a-entry-1"].exited)
            done.append(True)
            built.run_for(0.5)
            self.assertTrue(built.instances["a-entry-1"].exited)
