"""How much room is kept for urgent work, and what that does under load."""

import unittest

from dandelionpick import ids
from dandelionpick.batch import headroom
from dandelionpick.batch import model
from dandelionpick.batch import placement
from dandelionpick.batch import schedule_state
from tests import batch_builders as builders
from tests import test_batch_jobs

POOL = ids.PoolName("pool")
NOW_MS = 1_000_000
SLOW_STOP_S = 0.9
FAST_STOP_S = 0.2


def urgent_job(
    accepted_ms: int = NOW_MS, priority: int = 0
) -> schedule_state.Job:
    """Builds a job of four tasks with two accelerators and 1 s to spare."""
    step = model.StepSpec(4, model.Resources(accelerators=2), 1_000)
    terms = model.QueueTerms(
        POOL, priority, objective_factor=1.5, objective_extra_s=0.5
    )
    record = model.JobRecord(
        ids.QueueName("q"),
        ids.OrganisationId("o"),
        terms,
        model.JobSpec("", (step,)),
        accepted_ms,
    )
    return schedule_state.Job(ids.JobId("j"), record, 1)


def room(name: str, rack: str, accelerators: int) -> placement.Room:
    """Builds a target with free accelerators."""
    free = model.Resources(64_000, 131_072, accelerators)
    return placement.Room(ids.TargetId(name), ids.Rack(rack), free, 99)


class WantedTest(unittest.TestCase):
    """The room follows the demand of the last seconds."""

    def wanted(self, *jobs, stop_s=SLOW_STOP_S) -> int:
        return headroom.wanted(jobs, NOW_MS, stop_s).get(POOL, 0)

    def test_grows_with_the_demand_and_the_time_of_a_stop(self):
        """Guards against room for a gang that never comes."""
        one = self.wanted(urgent_job())
        self.assertEqual(one, int(8 * 6 * SLOW_STOP_S / 10))
        self.assertEqual(self.wanted(urgent_job(), urgent_job()), 2 * one)

    def test_old_demand_and_other_work_do_not_count(self):
        """Guards against room that stays empty after a burst."""
        old = urgent_job(NOW_MS - 11_000)
        self.assertEqual(self.wanted(old, urgent_job(priority=1)), 0)

    def test_work_that_can_wait_for_a_stop_needs_no_room(self):
        """Guards against room that is kept although stops are short."""
        self.assertEqual(self.wanted(urgent_job(), stop_s=FAST_STOP_S), 0)


class WithoutKeptTest(unittest.TestCase):
    """Room is kept together, where most of it is."""

    def left(self, rooms, accelerators) -> dict[str, int]:
        remaining = headroom.without_kept(rooms, accelerators)
        return {room.target: room.free.accelerators for room in remaining}

    def test_room_is_kept_in_one_rack(self):
        """Guards against kept room that no gang fits into."""
        rooms = [room("a", "r1", 8), room("b", "r2", 6), room("c", "r2", 8)]
        self.assertEqual(self.left(rooms, 10), {"a": 8, "b": 4})

    def test_a_full_rack_keeps_what_it_has(self):
        """Guards against room taken from a second rack."""
        rooms = [room("a", "r1", 1), room("b", "r2", 2)]
        self.assertEqual(self.left(rooms, 10), {"a": 1})

    def test_nothing_is_kept_without_demand(self):
        """Guards against idle accelerators."""
        rooms = [room("a", "r1", 1)]
        self.assertEqual(self.left(rooms, 0), {"a": 1})


class CrestTest(test_batch_jobs.BatchTest):
    """Urgent gangs, one after the other, on a pool full of long work."""

    def test_urgent_gangs_meet_their_objective_where_stops_are_slow(self):
        """Guards against urgent work that waits for a stop every time."""
        fabric = self.build(target_count=6)
        terms = {"stretch_factor": 1.5, "target_latency_ms": 200}
        routes = [
            builders.route(0, **terms),
            builders.route(1),
            builders.route(2),
        ]
        value = builders.configuration_value(2, routes=routes)
        fabric.store.put("op/config", value)
        for instance in fabric.instances.values():
            instance.state.limits.stop_s = SLOW_STOP_S
        for target in fabric.world.targets.values():
            target.stop_s = SLOW_STOP_S
        fabric.run_for(0.2)
        late = 0
        for number in range(1, 21):
            batch = builders.body(builders.phase(24), work_s=4.0)
            fabric.submit(100 + number, batch, 2)
            gang = builders.phase(2, gpu=4, gang=True, same_rack=True)
            fabric.submit(number, builders.body(gang, work_s=1.0), 0)
            due_s = fabric.now_s + 1.7
            while fabric.now_s < due_s:
                fabric.run_for(0.1)
            done = fabric.state_of(number, 0) is model.JobState.COMPLETED
            late += number > 5 and not done
        self.assertEqual(late, 0)


if __name__ == "__main__":
    unittest.main()
