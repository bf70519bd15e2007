"""Jobs while instances, targets, links and the store fail.

The oracle of the targets checks after each test that nothing ran twice, over
the room, after its noted end, or although it was refused.
"""

import unittest

from dandelionpick import errors
from dandelionpick.batch import messages
from dandelionpick.batch import model
from dandelionpick.batch import readiness
from dandelionpick.batch import state as state_lib
from standins import platform_store
from tests import batch_builders as builders
from tests import batch_fabric
from tests import test_batch_jobs

# What issue 10 allows for a scheduler that was killed or cut off.
KILLED_TAKEOVER_S = 2.5
STORE = "store"


class SchedulerTest(test_batch_jobs.BatchTest):
    """The scheduler goes, and another one takes its work over."""

    def test_killed_scheduler_is_replaced(self):
        """Guards against work that ends with the scheduler."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(6), work_s=4.0))
        fabric.run_for(1.0)
        first = fabric.scheduler()
        fabric.kill(first.name)
        taken_s = fabric.run_until(
            lambda: fabric.scheduler() not in (None, first), 5.0
        )
        self.assertLess(taken_s, KILLED_TAKEOVER_S)
        fabric.until_completed(1, limit_s=6.0)
        self.assertEqual(sum(fabric.world.starts.values()), 6)

    def test_planned_stop_hands_the_role_over_at_once(self):
        """Guards against a lease that has to expire at a planned stop."""
        fabric = self.build()
        first = fabric.scheduler()
        fabric.stop(first.name)
        taken_s = fabric.run_until(
            lambda: fabric.scheduler() not in (None, first), 5.0
        )
        self.assertLess(taken_s, 0.6)
        fabric.run_for(4.0)
        self.assertTrue(first.exited)

    def test_open_requests_are_answered_before_the_process_is_killed(self):
        """Guards against a stop that cuts a request off."""
        fabric = self.build()
        fabric.store.outages[""] = platform_store.Outage.SILENT
        fabric.stop("e1")
        fabric.run_for(2.3)
        spec = model.JobSpec("", (model.StepSpec(1),))
        message = builders.submit(1, spec, deadline_s=9.0)
        replies = fabric.send("e1", message)
        fabric.run_for(2.9)
        self.assertTrue(fabric.instances["e1"].exited)
        self.assertTrue(replies)

    def test_scheduler_that_the_store_refuses_is_replaced(self):
        """Guards against two schedulers that start the same task."""
        for outage in platform_store.Outage:
            with self.subTest(outage):
                fabric = self.build()
                fabric.submit(1, builders.body(builders.phase(6), work_s=6.0))
                first = fabric.scheduler()
                fabric.store.outages[first.name] = outage
                fabric.run_until(
                    lambda fabric=fabric, first=first: (
                        fabric.scheduler() not in (None, first)
                    ),
                    5.0,
                )
                fabric.submit(2, builders.body(), name=fabric.scheduler().name)
                fabric.until_completed(2, limit_s=4.0)
                self.assertIs(
                    batch_fabric.role_of(first), state_lib.Role.FOLLOWING
                )
                fabric.until_completed(1, limit_s=8.0)
                self.assertEqual(fabric.world.broken, [])

    def test_frozen_scheduler_orders_nothing_after_its_replacement(self):
        """Guards against orders of a scheduler whose lease has expired."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(8), work_s=5.0))
        first = fabric.scheduler()
        fabric.run_for(0.5)
        fabric.freeze(first.name)
        fabric.run_for(3.0)
        second = fabric.scheduler()
        self.assertIsNot(second, first)
        fabric.submit(2, builders.body(), name=second.name)
        fabric.thaw(first.name)
        fabric.until_completed(1, 2, limit_s=10.0)

    def test_all_instances_restart(self):
        """Guards against state that only the processes had."""
        fabric = self.build()
        steps = (builders.phase(4), builders.phase(4, after=[0]))
        fabric.submit(1, builders.body(*steps, work_s=2.0))
        fabric.run_for(1.0)
        for name in list(fabric.instances):
            fabric.kill(name)
        fabric.run_for(3.0)
        for name in list(fabric.instances):
            fabric.start_instance(name)
        fabric.until_completed(1, limit_s=10.0)
        self.assertEqual(sum(fabric.world.starts.values()), 8)

    def test_restarted_scheduler_does_not_wait_for_its_own_lease(self):
        """Guards against a pause after all instances were restarted."""
        fabric = self.build()
        for name in list(fabric.instances):
            fabric.kill(name)
        fabric.run_for(0.2)
        for name in list(fabric.instances):
            fabric.start_instance(name)
        taken_s = fabric.run_until(fabric.scheduler, 5.0)
        self.assertLess(taken_s, 0.6)

    def test_takeover_with_a_target_that_cannot_be_read(self):
        """Guards against a second start of what runs behind a cut."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(12), work_s=40.0), 2)
        fabric.run_for(1.0)
        first = fabric.scheduler()
        self.assertEqual(len(fabric.world.targets["t0"].runs), 8)
        self.part_from_others(fabric, first.name, "t0")
        fabric.part(first.name, STORE)
        fabric.run_for(60.0)
        self.assertEqual(fabric.world.broken, [])
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=90.0)

    def part_from_others(
        self, fabric: batch_fabric.Fabric, name: str, target: str
    ) -> None:
        for other in fabric.instances:
            if other != name:
                fabric.part(other, target)

    def test_silent_target_is_extended_only_after_the_store_knows(self):
        """Guards against a successor that trusts an outdated lease end."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(12), work_s=60.0), 2)
        fabric.run_for(1.0)
        first = fabric.scheduler()
        self.part_from_others(fabric, first.name, "t0")
        fabric.part(first.name, "t0")
        fabric.run_for(2.5)
        fabric.store.outages[""] = platform_store.Outage.SILENT
        fabric.cut.discard(frozenset((first.name, "t0")))
        fabric.run_for(7.0)
        fabric.kill(first.name)
        fabric.store.outages.clear()
        fabric.run_for(20.0)
        self.assertEqual(fabric.world.broken, [])

    def test_adopted_runs_keep_the_lease_of_their_first_scheduler(self):
        """Guards against a second start of what an earlier scheduler extended.

        Seen on a played day: the target was marked as silent, so that the new
        scheduler had extended nothing there when one listing got no reply.
        """
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(12), work_s=8.0), 2)
        fabric.run_for(1.0)
        first = fabric.scheduler()
        for name in fabric.instances:
            fabric.part(name, "t0")
        fabric.run_for(2.5)
        fabric.kill(first.name)
        fabric.cut.clear()
        fabric.run_until(lambda: fabric.scheduler() not in (None, first), 5.0)
        for name in fabric.instances:
            fabric.part(name, "t0")
        fabric.run_for(2.0)
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=8.0)
        self.assertEqual(sum(fabric.world.starts.values()), 12)

    def test_end_during_an_outage_survives_all_instances(self):
        """Guards against an end that nobody remembers."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(2), work_s=2.0))
        fabric.run_for(1.0)
        fabric.store.outages[""] = platform_store.Outage.SILENT
        # Idle targets are listed every 3 s.
        fabric.run_for(6.0)
        for name in fabric.instances:
            fabric.kill(name)
        fabric.store.outages.clear()
        for name in list(fabric.instances):
            fabric.start_instance(name)
        fabric.until_completed(1, limit_s=10.0)
        self.assertEqual(sum(fabric.world.starts.values()), 2)

    def test_target_that_left_before_the_takeover_holds_nothing_up(self):
        """Guards against tasks that wait for a target that is gone."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(24), work_s=8.0))
        fabric.run_for(1.0)
        fabric.crash_target("t0")
        fabric.run_for(14.0)
        fabric.kill(fabric.scheduler().name)
        fabric.until_completed(1, limit_s=14.0)


class StoreTest(test_batch_jobs.BatchTest):
    """The store is away, slow to remember, or loses replies."""

    def test_running_work_outlives_an_outage(self):
        """Guards against leases that end with the store."""
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

    def test_refusal_during_an_outage_is_true_and_says_when(self):
        """Guards against a refused job that runs later."""
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
        """Guards against a job that is accepted twice, or said not to be."""
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
        """Guards against a refusal of a job that was stored."""
        fabric = self.build()
        fabric.store.lost_share = 1.0
        reply = fabric.submit(1, builders.body())
        self.assertIs(reply.problem.kind, errors.ProblemKind.OUTCOME_UNKNOWN)

    def test_write_in_doubt_is_resolved_through_the_scheduler(self):
        """Guards against an unknown outcome that another instance can settle.

        Seen on a played day: the store reset the write of one instance, and
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

    def test_forgotten_history_is_listed_again(self):
        """Guards against changes that are missed with the history."""
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
        """Guards against an instance that accepts a key removed long ago."""
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


class TargetTest(test_batch_jobs.BatchTest):
    """Targets crash, are cut off, leave, or carry orders out late."""

    def test_work_of_a_crashed_target_is_started_elsewhere(self):
        """Guards against work that waits for a target that is gone."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(24), work_s=3.0))
        fabric.run_for(1.0)
        fabric.crash_target("t0")
        fabric.until_completed(1, limit_s=22.0)

    def test_work_of_a_reborn_target_is_started_at_once(self):
        """Guards against a lease of an earlier life that holds work up."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(24), work_s=3.0))
        fabric.run_for(1.0)
        fabric.crash_target("t0", back_s=1.0)
        fabric.until_completed(1, limit_s=8.0)

    def test_ends_of_a_reborn_target_are_not_forgotten(self):
        """Guards against an acknowledgement of the last life's numbers."""
        fabric = self.build(target_count=1)
        fabric.submit(1, builders.body(builders.phase(8), work_s=0.5))
        fabric.until_completed(1)
        fabric.crash_target("t0", back_s=0.2)
        fabric.run_for(0.3)
        fabric.submit(2, builders.body(builders.phase(4), work_s=0.5))
        fabric.until_completed(2, limit_s=20.0)

    def test_work_on_a_cut_off_target_is_kept(self):
        """Guards against work that is thrown away in a short cut."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(24), work_s=9.0))
        fabric.run_for(1.0)
        for name in fabric.instances:
            fabric.part(name, "t1")
        fabric.run_for(5.5)
        fabric.cut.clear()
        fabric.until_completed(1, limit_s=8.0)
        self.assertEqual(sum(fabric.world.starts.values()), 24)

    def test_draining_target_gets_no_new_work(self):
        """Guards against work that ends with a target that leaves."""
        fabric = self.build()
        fabric.drain_target("t0", leaves_s=6.0)
        fabric.run_for(0.5)
        fabric.submit(1, builders.body(builders.phase(24), work_s=1.0))
        fabric.run_for(1.0)
        self.assertFalse(fabric.world.targets["t0"].runs)
        fabric.until_completed(1)

    def test_orders_that_are_carried_out_late(self):
        """Guards against a start that takes effect after its successor."""
        for seed in range(6):
            with self.subTest(seed=seed):
                fabric = self.build(seed=seed)
                fabric.late_share = 0.3
                gang = builders.phase(4, gang=True)
                fabric.submit(1, builders.body(builders.phase(8)))
                fabric.submit(2, builders.body(gang))
                fabric.run_for(8.0)
                fabric.late_share = 0.0
                fabric.until_completed(1, 2, limit_s=30.0)
                self.assertEqual(fabric.world.broken, [])

    def test_cancelled_start_that_is_carried_out_late_is_stopped(self):
        """Guards against late work of a job that was cancelled."""
        fabric = self.build()
        fabric.late_share = 1.0
        fabric.submit(1, builders.body(builders.phase(4), work_s=30.0))
        fabric.run_for(0.3)
        fabric.ask("e0", builders.cancel(1))
        fabric.late_share = 0.0
        fabric.run_for(8.0)
        self.assertFalse(any(t.runs for t in fabric.world.targets.values()))
        self.assertIs(fabric.state_of(1), model.JobState.CANCELLED)

    def test_unreadable_entries_are_ignored(self):
        """Guards against an entry of another writer that stops the rest."""
        fabric = self.build()
        for number, value in enumerate((b"", b"\xff", b"{}", b"[1]")):
            fabric.store.put(f"servers/odd-{number}", value)
        fabric.run_for(0.5)
        fabric.submit(1, builders.body(builders.phase(4)))
        fabric.until_completed(1)


if __name__ == "__main__":
    unittest.main()
