"""Failure domains that operators evacuate while work keeps arriving."""

import unittest
from collections.abc import Callable

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

BOUND_S = 5.0


class EvacuationTest(test_batch_jobs.BatchTest):
    """Targets t0 and t1 are in domain a, t2 and t3 in domain b.

    The oracle of the targets records each start that is ordered in a domain
    later than the bound.
    """

    def build(self, **options) -> batch_fabric.Fabric:
        options = {"target_count": 4, "domains": 2, **options}
        return super().build(**{"evacuate_s": BOUND_S, **options})

    def feed(self, fabric: batch_fabric.Fabric, seconds: float) -> None:
        """Submits a short job every 0.2 s to an instance that is up."""
        for _ in range(round(seconds / 0.2)):
            up = [
                name
                for name, instance in fabric.instances.items()
                if instance.up and not instance.frozen
            ]
            number = len(fabric.world.phases) + 100
            body = builders.body(work_s=0.5)
            fabric.register(number, body)
            spec = jobs.decode(body).unwrap()
            fabric.send(up[0], builders.submit(number, spec))
            fabric.run_for(0.2)

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

    def fill(self, fabric: batch_fabric.Fabric, work_s: float) -> None:
        """Fills all targets with jobs 1 to 4 of the lowest priority."""
        for number in range(1, 5):
            body = builders.body(builders.phase(8), work_s=work_s)
            fabric.submit(number, body, priority=2)
        fabric.run_until(lambda: len(fabric.world.starts) == 32)

    def test_starts_end_in_the_domain_and_go_on_elsewhere(self):
        """Guards against a request that is missed while something else fails.

        The long job runs in the domain to its end. Its targets have the least
        room, so that they would get the short jobs.
        """

        def lose_history(fabric):
            name = fabric.scheduler().name
            fabric.part(name, "store")
            fabric.run_for(0.3)
            fabric.evacuate("b")
            fabric.store.forget_history()
            fabric.cut.clear()

        def lose_store(fabric):
            fabric.store.lapse = False
            fabric.store.outages[""] = platform_store.Outage.SILENT
            fabric.run_for(2.0)
            fabric.evacuate("b")
            fabric.run_for(1.0)
            fabric.store.outages.clear()

        def kill_at_once(fabric):
            fabric.evacuate("b")
            fabric.kill(fabric.scheduler().name)

        def restart(fabric):
            fabric.evacuate("b")
            fabric.run_for(1.0)
            for name in list(fabric.instances):
                fabric.kill(name)
                fabric.start_instance(name)

        def freeze(fabric):
            fabric.evacuate("b")
            name = fabric.scheduler().name
            fabric.freeze(name)
            fabric.call_later(4.0, lambda: fabric.thaw(name))

        cases: tuple[Callable, ...] = (
            lambda fabric: fabric.evacuate("b"),
            lose_history,
            lose_store,
            kill_at_once,
            restart,
            freeze,
        )
        for number, case in enumerate(cases):
            with self.subTest(case.__name__, number=number):
                fabric = self.build()
                long = builders.phase(2, gpu=3, affinity="r1")
                fabric.submit(1, builders.body(long, work_s=16.0))
                self.feed(fabric, 1.0)
                case(fabric)
                self.feed(fabric, BOUND_S)
                earlier = len(fabric.world.starts)
                self.feed(fabric, 4.0)
                self.assertGreater(len(fabric.world.starts), earlier + 10)
                fabric.until_completed(1)
                self.assertEqual(self.zones_of(fabric, 1), {"b"})
                fabric.run_for(1.0)
                self.assertTrue(self.lines(fabric, "nothing runs in b any"))
                fabric.readmit("b")
                fabric.run_for(0.1)
                far = builders.phase(1, affinity="r1")
                fabric.submit(2, builders.body(far), name="e1")
                fabric.run_for(1.0)
                self.assertEqual(self.zones_of(fabric, 2), {"b"})

    def test_all_domains_and_odd_requests(self):
        """Guards against requests that only the usual form of has an effect."""
        fabric = self.build()
        fabric.evacuate("a", b"\xff{")
        fabric.evacuate("b", b"")
        fabric.evacuate("b", b"{}")
        fabric.evacuate("nowhere")
        fabric.run_for(0.5)
        fabric.submit(1, builders.body())
        fabric.run_for(1.0)
        self.assertEqual(fabric.world.starts, {})
        self.assertEqual(self.lines(fabric, "evacuating b: nothing"), 1)
        self.assertEqual(self.lines(fabric, "no target belongs to nowhere"), 1)
        self.assertEqual(self.lines(fabric, "all failure domains"), 1)
        gauges = fabric.scheduler().state.gauges()
        self.assertEqual(gauges["evacuated_domains"], 3)
        # One reply tells of the removal and of the next request.
        waiting, fabric.store.watches = fabric.store.watches, []
        fabric.readmit("a")
        fabric.evacuate("a", b"")
        fabric.store.watches = waiting
        fabric.store.put("other", b"")
        fabric.run_for(1.0)
        self.assertEqual(fabric.world.starts, {})
        fabric.readmit("b")
        fabric.until_completed(1)
        self.assertEqual(self.zones_of(fabric, 1), {"b"})

    def test_gang_does_not_wait_for_a_rack_in_the_domain(self):
        """Guards against a gang that waits as long as for a busy rack."""
        fabric = self.build()
        fabric.evacuate("b")
        fabric.run_for(0.5)
        gang = builders.phase(
            2, gang=True, same_rack=True, affinity="r1", estimate_ms=60_000
        )
        fabric.submit(1, builders.body(gang))
        fabric.until_completed(1, limit_s=6.0)
        self.assertEqual(self.zones_of(fabric, 1), {"a"})

    def test_nothing_is_stopped_or_reserved_for_room_in_the_domain(self):
        """Guards against stops in vain, and urgent work that waits for them."""
        for is_early in (True, False):
            with self.subTest(is_early=is_early):
                fabric = self.build()
                self.fill(fabric, 30.0)
                if is_early:
                    fabric.evacuate("b")
                    fabric.run_for(0.5)
                gang = builders.phase(2, gpu=2, gang=True, same_rack=True)
                fabric.submit(5, builders.body(gang), priority=0)
                schedule = fabric.scheduler().state.schedule
                fabric.run_until(lambda s=schedule: s.reservations, 1.0)
                (reservation,) = schedule.reservations.values()
                zones = {
                    fabric.world.targets[name].zone
                    for name in reservation.resources
                }
                if is_early:
                    self.assertEqual(zones, {"a"})
                closed = "b" if is_early else zones.pop()
                fabric.evacuate(closed)
                fabric.run_for(0.02)
                if not is_early:
                    self.assertEqual(schedule.reservations, {})
                fabric.until_completed(5, limit_s=8.0)
                self.assertNotIn(closed, self.zones_of(fabric, 5))

    def test_cold_targets_come_last_after_the_return(self):
        """Guards against a burst of work on targets that are still slow."""
        fabric = self.build()
        fabric.evacuate("b")
        for name in ("t2", "t3"):
            target = fabric.world.targets[name]
            target.cold_until_s = fabric.now_s + 5.0
            fabric.store.put(keys.TARGETS_PREFIX + name, target.entry())
        fabric.readmit("b")
        fabric.run_for(0.5)
        # It fills a rack that is cold better than one that isn't.
        fabric.submit(1, builders.body(builders.phase(1), work_s=3.0))
        gang = builders.phase(4, gpu=2, gang=True, same_rack=True)
        fabric.submit(2, builders.body(gang, work_s=3.0))
        fabric.submit(3, builders.body(builders.phase(8), work_s=3.0))
        fabric.run_for(0.5)
        for number, zones in ((1, {"a"}), (2, {"a"}), (3, {"a", "b"})):
            self.assertEqual(self.zones_of(fabric, number), zones)
        fabric.run_for(6.0)
        fabric.submit(4, builders.body(builders.phase(32), work_s=3.0))
        fabric.run_for(0.5)
        self.assertEqual(self.zones_of(fabric, 4), {"a", "b"})

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
        started = len(fabric.world.starts)
        fabric.kill(fabric.scheduler().name)
        self.feed(fabric, 3.0)
        self.assertIsNone(fabric.scheduler())
        self.assertEqual(len(fabric.world.starts), started)
        fabric.store.serve = serve
        self.feed(fabric, 2.0)
        self.assertGreater(len(fabric.world.starts), started + 20)

    def test_nothing_is_watched_without_the_setting(self):
        """Guards against calls that a deployment without evacuations pays."""
        fabric = self.build(evacuate_s=0.0)
        fabric.evacuate("a")
        fabric.world.evacuated_s.clear()
        fabric.run_for(1.0)
        scheduler = fabric.scheduler()
        self.assertNotIn(watches.EvacuationsWatch, scheduler.state.watches)
        fabric.submit(1, builders.body())
        fabric.until_completed(1)

    def test_command_shows_what_the_scheduler_knows(self):
        """Guards against a table from an instance that knows nothing."""
        fabric = self.build()
        scheduler = fabric.scheduler().name
        other = next(name for name in fabric.instances if name != scheduler)
        fabric.submit(1, builders.body(builders.phase(2, affinity="r1")))
        fabric.run_for(0.3)
        fabric.evacuate("b")
        fabric.run_for(0.3)
        reply = fabric.ask(other, messages.ReadEvacuations())
        self.assertEqual(reply.scheduler, scheduler)
        replies = {("POST", "/v1/peer"): [reply, messages.NotScheduler()]}
        with fake_server.FakeServer(replies) as server:
            table = program.run("evacuations", address=server.address)
            refused = program.run("evacuations --json", address=server.address)
        self.assertRegex(table.output, r"b +\| 2023-\S+ \S+ +\| 2 +\| 2 ")
        self.assertEqual((table.status, refused.status), (0, 5))
        self.assertIn(b'"domain":"b"', wire.encode(reply))


if __name__ == "__main__":
    unittest.main()
