"""Tests of jobs while the store is unavailable or loses history or replies."""

import unittest

from dandelionpick import errors
from dandelionpick.batch import messages
from dandelionpick.batch import readiness
from standins import platform_store
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

STORE = "store"


class StoreTest(test_batch_jobs.BatchTest):
    """The store is unavailable, drops its history, or loses replies."""

    def test_running_work_survives_an_outage(self):
        """Guards against runs whose leases expire during an outage."""
        for lapse in (False, True):
            with self.subTest(lapse=lapse):
                fabric = self.build()
                fabric.store.lapse = lapse
                body = builders.body(builders.phase(6), work_s=12.0)
                fabric.submit(1, body)
                fabric.run_for(1.0)
                fabric.store.outages[""] = platform_store.Outage.SILENT
                fabric.run_for(9.0)
                fabric.store.outages.clear()
                fabric.until_completed(1, limit_s=8.0)
                self.assertEqual(sum(fabric.world.starts.values()), 6)

    def test_refusal_during_an_outage_is_final_and_has_a_retry_time(self):
        """Guards against a refused job that runs after the outage."""
        fabric = self.build()
        fabric.store.outages[""] = platform_store.Outage.BUSY
        fabric.run_for(3.0)
        for name in fabric.instances:
            reply = fabric.submit(1, builders.body(), name=name)
            self.assertIs(
                reply.problem.kind, errors.ProblemKind.STORE_UNAVAILABLE
            )
            self.assertGreater(reply.retry_after_s, 1.0)
        fabric.world.refused.add(builders.job_id(1))
        fabric.store.outages.clear()
        fabric.run_for(10.0)

    def test_lost_reply_is_resolved_by_the_same_write(self):
        """Guards against accepting a job twice, or refusing a stored one.

        The replies of all writes are lost for 1 s; a write takes effect at once
        or 4 s later. The retry has the same conditions as the lost write.
        """
        for late_s in (0.0, 4.0):
            with self.subTest(late_s=late_s):
                fabric = self.build()
                fabric.store.lost_share = 1.0
                fabric.store.late_s = late_s
                replies = []
                body = builders.body()
                fabric.register(1, body)
                spec = batch_fabric.jobs.decode(body).unwrap()
                message = builders.submit(1, spec)
                fabric.exchange("e0", message, replies.append)
                fabric.run_for(1.0)
                fabric.store.lost_share = 0.0
                fabric.run_until(lambda r=replies: r, 5.0)
                self.assertIsInstance(replies[0], messages.Accepted)
                fabric.until_completed(1)
                fabric.run_for(5.0)
                self.assertEqual(sum(fabric.world.starts.values()), 1)

    def test_outcome_of_a_lost_write_is_unknown(self):
        """Guards against reporting a job as refused that was stored."""
        fabric = self.build()
        fabric.store.lost_share = 1.0
        reply = fabric.submit(1, builders.body())
        self.assertIs(reply.problem.kind, errors.ProblemKind.OUTCOME_UNKNOWN)

    def test_uncertain_write_is_resolved_through_the_scheduler(self):
        """Guards against an unknown outcome that another instance can resolve.

        Found in a simulated day: the store reset the write of one instance, and
        the caller could not tell whether its job ran.
        """
        fabric = self.build()
        scheduler = fabric.scheduler().name
        name = next(other for other in fabric.instances if other != scheduler)
        body = builders.body()
        fabric.register(1, body)
        spec = batch_fabric.jobs.decode(body).unwrap()
        fabric.store.lost_share = 1.0
        replies = fabric.send(name, builders.submit(1, spec))
        fabric.run_for(0.1)
        fabric.store.lost_share = 0.0
        for refused in (name, scheduler):
            fabric.store.outages[refused] = platform_store.Outage.BUSY
        fabric.run_for(0.8)
        fabric.store.outages.clear()
        fabric.run_until(lambda: replies, 3.0)
        self.assertIsInstance(replies[0], messages.Accepted)

    def test_prefix_is_listed_again_after_its_history_is_lost(self):
        """Guards against missing changes that the store has dropped."""
        fabric = self.build()
        fabric.store.forget_history()
        fabric.store.put("op/config", builders.configuration_value(7))
        fabric.store.forget_history()
        fabric.run_for(1.0)
        for instance in fabric.instances.values():
            self.assertEqual(instance.state.catalog.current.version, 7)
        fabric.submit(1, builders.body())
        fabric.until_completed(1)

    def test_instance_without_the_store_is_not_ready(self):
        """Guards against accepting removed keys without access to the store."""
        fabric = self.build()
        instance = fabric.instances["e2"]
        fabric.part("e2", STORE)
        fabric.run_for(4.0)
        fabric.store.put(
            "op/config", builders.configuration_value(2, tenants=[])
        )
        reason = readiness.reason_not_ready(instance.state, fabric.now_s)
        self.assertTrue(reason)
        fabric.run_for(1.0)
        reply = fabric.submit(1, builders.body(), name="e2")
        self.assertIsInstance(reply, messages.Refused)


if __name__ == "__main__":
    unittest.main()
