"""Failure domains that operators evacuate while work keeps arriving."""

import unittest

from dandelionpick import wire
from dandelionpick.batch import messages
from dandelionpick.batch import watches
from dandelionpick.platform import jobs
from dandelionpick.platform import keys
from standins import platform_store
from tests import batch_builders as builders
from tests import batch_fabric
from tests import fake_server
from tests import program
from tests import test_batch_jobs


def lose_history(fabric: batch_fabric.Fabric) -> None:
    """Requests an evacuation that the scheduler's watch can't report."""
    fabric.part(fabric.scheduler().name, "store")
    fabric.run_for(0.3)
    fabric.evacuate("b")
    fabric.store.forget_history()
    fabric.cut.clear()


def lose_store(fabric: batch_fabric.Fabric) -> None:
    """Requests an evacuation during an outage of the store."""
    fabric.store.lapse = False
    fabric.store.outages[""] = platform_store.Outage.SILENT
    fabric.run_for(2.0)
    fabric.evacuate("b")
    fabric.run_for(1.0)
    fabric.store.outages.clear()


def kill(fabric: batch_fabric.Fabric) -> None:
    """Kills the scheduler before it can learn of an evacuation."""
    fabric.evacuate("b")
    fabric.kill(fabric.scheduler().name)


def restart(fabric: batch_fabric.Fabric) -> None:
    """Restarts all instances during an evacuation."""
    fabric.evacuate("b")
    fabric.run_for(1.0)
    for name in list(fabric.instances):
        fabric.kill(name)
        fabric.start_instance(name)


class EvacuationTest(test_batch_jobs.BatchTest):
    """Targets t0 and t1 are in domain a, t2 and t3 in domain b.

    The oracle of the targets records each start that is ordered in a domain
    later than the bound.
    """

    def build(self, evacuate_s: float = 5.0) -> batch_fabric.Fabric:
        return super().build(target_count=4, domains=2, evacuate_s=evacuate_s)

    def feed(self, fabric: batch_fabric.Fabric, seconds: float) -> int:
        """Submits a short job every 0.2 s; returns how many tasks started."""
        earlier = len(fabric.world.starts)
        for _ in range(round(seconds / 0.2)):
            up = [name for name, it in fabric.instances.items() if it.up]
            number = len(fabric.world.phases) + 100
            fabric.register(number, builders.body(work_s=0.5))
            spec = jobs.decode(builders.body(work_s=0.5)).unwrap()
            fabric.send(up[0], builders.submit(number, spec))
            fabric.run_for(0.2)
        return len(fabric.world.starts) - earlier

    def zones_of(self, fabric: batch_fabric.Fabric, number: int) -> set[str]:
        """Returns the domains of the targets on which a job was started."""
        return {
            fabric.world.targets[name].zone
            for task, names in fabric.world.targets_started_on.items()
            if task.startswith(builders.job_id(number))
            for name in names
        }

    def lines(self, fabric: batch_fabric.Fabric, text: str) -> int:
        return sum(text in line for line in fabric.log)

    def test_starts_end_in_the_domain_and_go_on_elsewhere(self):
        """Guards against a request that is missed while something else fails.

        The long job runs in the domain to its end. Its targets have the least
        room, so that they would get the short jobs.
        """
        for request in (
            lambda fabric: fabric.evacuate("b"),
            lose_history,
            lose_store,
            kill,
            restart,
        ):
            with self.subTest(request.__name__):
                fabric = self.build()
                long = builders.phase(2, gpu=3, affinity="r1")
                fabric.submit(1, builders.body(long, work_s=16.0))
                self.feed(fabric, 1.0)
                request(fabric)
                self.feed(fabric, 5.0)
                self.assertGreater(self.feed(fabric, 4.0), 10)
                fabric.until_completed(1)
                self.assertEqual(self.zones_of(fabric, 1), {"b"})
                fabric.run_for(0.2)
                self.assertTrue(self.lines(fabric, "nothing runs in b any"))

    def test_all_domains_and_odd_requests(self):
        """Guards against requests that only the usual form of has an effect.

        Work does not wait for a rack of one evacuated domain, and waits for it
        again when the domain has returned.
        """
        fabric = self.build()
        fabric.evacuate("b", b"")
        fabric.run_for(0.5)
        near = {"gpu": 8, "affinity": "r1", "estimate_ms": 60_000}
        gang = builders.phase(2, gang=True, same_rack=True, **near)
        fabric.submit(1, builders.body(gang))
        fabric.until_completed(1, limit_s=6.0)
        self.assertEqual(self.zones_of(fabric, 1), {"a"})
        fabric.evacuate("a", b"\xff{")
        fabric.evacuate("b", b"{}")
        fabric.evacuate("nowhere")
        fabric.run_for(0.5)
        fabric.submit(2, builders.body(builders.phase(3, **near)))
        fabric.run_for(1.0)
        self.assertEqual(self.lines(fabric, "evacuating b: nothing"), 1)
        self.assertEqual(self.lines(fabric, "no target belongs to nowhere"), 1)
        self.assertEqual(self.lines(fabric, "all failure domains"), 1)
        state = fabric.scheduler().state
        self.assertEqual(state.gauges()["evacuated_domains"], 3)
        # One reply tells of the removal and of the next request.
        waiting, fabric.store.watches = fabric.store.watches, []
        fabric.readmit("a")
        fabric.evacuate("a", b"")
        fabric.store.watches = waiting
        fabric.store.put("other", b"")
        fabric.run_for(1.0)
        self.assertEqual(self.zones_of(fabric, 2), set())
        # What the racks can hold is cached for 1 s.
        views = dict(state.schedule.pool_views)
        fabric.run_until(lambda: state.schedule.pool_views != views)
        fabric.readmit("b")
        fabric.readmit("a")
        fabric.run_for(0.03)
        fabric.submit(3, builders.body())
        fabric.until_completed(2, 3)
        self.assertEqual(self.zones_of(fabric, 2), {"b"})

    def test_nothing_is_stopped_or_reserved_for_room_in_the_domain(self):
        """Guards against stops in vain, and urgent work that waits for them.

        The second evacuation begins when room is reserved already.
        """
        fabric = self.build()
        body = builders.body(builders.phase(32), work_s=30.0)
        fabric.submit(1, body, priority=2)
        fabric.run_until(lambda: len(fabric.world.starts) == 32)
        schedule = fabric.scheduler().state.schedule
        gang = builders.phase(2, gpu=2, gang=True, same_rack=True)
        for number, closed in ((2, "b"), (3, "a")):
            if number == 2:
                fabric.evacuate("b")
                fabric.run_for(0.5)
            fabric.submit(number, builders.body(gang), priority=0)
            fabric.run_until(lambda: schedule.reservations, 1.0)
            (reservation,) = schedule.reservations.values()
            self.assertLessEqual(set(reservation.resources), {"t0", "t1"})
            if number == 3:
                fabric.evacuate("a")
                fabric.readmit("b")
                fabric.run_for(0.01)
                self.assertNotIn(reservation, schedule.reservations.values())
            fabric.until_completed(number, limit_s=8.0)
            self.assertNotIn(closed, self.zones_of(fabric, number))

    def test_cold_targets_come_last_after_the_return(self):
        """Guards against a burst of work on targets that are still slow.

        Without the rule, each job starts on a cold target first.
        """
        fabric = self.build()
        fabric.evacuate("a")
        for name in ("t0", "t1"):
            target = fabric.world.targets[name]
            target.cold_until_s = fabric.now_s + 5.0
            fabric.store.put(keys.TARGETS_PREFIX + name, target.entry())
        fabric.readmit("a")
        fabric.run_for(0.5)
        gang = builders.phase(4, gpu=2, gang=True, same_rack=True)
        steps = (gang, builders.phase(1), builders.phase(8))
        for number, step in enumerate(steps, 1):
            fabric.submit(number, builders.body(step, work_s=3.0))
        for number, zones in ((1, {"b"}), (2, {"b"}), (3, {"a", "b"})):
            self.assertEqual(self.zones_of(fabric, number), zones)
        fabric.run_for(6.0)
        fabric.submit(4, builders.body())
        fabric.until_completed(4)
        self.assertEqual(self.zones_of(fabric, 4), {"a"})

    def test_nothing_starts_if_only_the_evacuations_can_not_be_read(self):
        """Guards against starts by a view that is older than the bound."""
        fabric = self.build()
        serve = fabric.store.serve

        def serve_others(method, target, *rest):
            if "evacuate" not in target:
                serve(method, target, *rest)

        fabric.store.serve = serve_others
        fabric.evacuate("b")
        self.feed(fabric, 8.0)
        self.assertTrue(self.lines(fabric, "evacuations could not be read"))
        fabric.kill(fabric.scheduler().name)
        self.assertEqual(self.feed(fabric, 3.0), 0)
        self.assertIsNone(fabric.scheduler())
        fabric.store.serve = serve
        self.assertGreater(self.feed(fabric, 2.0), 20)

    def test_nothing_is_watched_without_the_setting(self):
        """Guards against calls that a deployment without evacuations pays."""
        fabric = self.build(evacuate_s=0.0)
        fabric.store.put(keys.EVACUATIONS_PREFIX + "a", b"{}")
        fabric.submit(1, builders.body())
        fabric.until_completed(1)
        self.assertEqual(self.zones_of(fabric, 1), {"a"})
        for instance in fabric.instances.values():
            self.assertNotIn(watches.EvacuationsWatch, instance.state.watches)

    def test_command_shows_what_the_scheduler_knows(self):
        """Guards against a table from an instance that knows nothing."""
        fabric = self.build()
        fabric.submit(1, builders.body(builders.phase(2, affinity="r1")))
        fabric.run_for(0.3)
        fabric.evacuate("b")
        fabric.run_for(0.3)
        for name in fabric.instances:
            reply = fabric.ask(name, messages.ReadEvacuations())
            self.assertEqual(reply.scheduler, fabric.scheduler().name)
        replies = {("POST", "/v1/peer"): [reply, messages.NotScheduler()]}
        with fake_server.FakeServer(replies) as server:
            table = program.run("evacuations", address=server.address)
            refused = program.run("evacuations --json", address=server.address)
        self.assertRegex(table.output, r"b +\| 2023-\S+ \S+ +\| 2 +\| 2 ")
        self.assertEqual((table.status, refused.status), (0, 5))
        self.assertIn(b'"domain":"b"', wire.encode(reply))


if __name__ == "__main__":
    unittest.main()
