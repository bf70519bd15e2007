"""Tests of the plan of guaranteed shapes."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies

from dandelionpick import plan
from dandelionpick import tree
from tests import builders
from tests import fuzzing

WORKERS_PER_RACK = 4


def workers(count: int) -> list:
    """Builds workers of 8 accelerators, four to a rack."""
    return [
        builders.worker_entry(
            f"w{number:02}", "a", f"r{number // WORKERS_PER_RACK}"
        )
        for number in range(count)
    ]


def organisations(shapes: list[tuple[int, int, int]]) -> dict:
    """Builds organisations from (tasks, accelerators, count)."""
    branches = {
        f"org-{number}": {
            "guarantees": {
                "g": {
                    "failure_domain": "a",
                    "tasks": tasks,
                    "accelerators": accelerators,
                    "count": count,
                }
            }
        }
        for number, (tasks, accelerators, count) in enumerate(shapes)
    }
    return tree.resolve({"branches": branches}).unwrap()


def count_moved(before: plan.Plan, after: plan.Plan) -> int:
    """Counts the shapes that are planned elsewhere or no longer planned."""
    places = {shape.name: shape.parts for shape in after.shapes}
    return sum(places.get(s.name) != s.parts for s in before.shapes)


shapes = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 8),
        strategies.sampled_from((1, 2, 3, 4, 8)),
        strategies.integers(1, 3),
    ),
    max_size=6,
)


class PlanTest(unittest.TestCase):
    @fuzzing.profile("plan", examples=100, steps=1)
    @given(shapes, strategies.integers(1, 12), strategies.randoms())
    def test_is_valid_and_the_same_in_any_order(self, wanted, count, order):
        """Guards against instances that plan differently or overlap."""
        entries = workers(count)
        made = plan.make_plan(organisations(wanted), entries, "a")
        shuffled = list(organisations(wanted).items())
        order.shuffle(shuffled)
        order.shuffle(entries)
        again = plan.make_plan(dict(shuffled), entries, "a")
        self.assertEqual(made, again)
        names = [shape.name for shape in made.shapes] + list(made.unplaced)
        self.assertEqual(len(names), sum(count for _, _, count in wanted))
        taken = [
            (part.worker, index)
            for shape in made.shapes
            for part in shape.parts
            for index in part.accelerators
        ]
        self.assertEqual(len(taken), len(set(taken)))
        self.assertTrue(all(0 <= index < 8 for _, index in taken))

    def test_a_lost_worker_moves_few_shapes(self):
        """Guards against replanning all organisations when a worker is lost."""
        wanted = organisations([(1, 8, 2)] * 6)
        entries = workers(16)
        before = plan.make_plan(wanted, entries, "a")
        for lost in range(16):
            left = [e for n, e in enumerate(entries) if n != lost]
            after = plan.make_plan(wanted, left, "a")
            self.assertEqual(after.unplaced, ())
            self.assertLessEqual(count_moved(before, after), 3)

    def test_a_new_guarantee_moves_few_shapes(self):
        """Guards against a small edit that moves all shapes."""
        wanted = [(1, 8, 2)] * 5
        before = plan.make_plan(organisations(wanted), workers(16), "a")
        wanted.append((1, 8, 1))
        after = plan.make_plan(organisations(wanted), workers(16), "a")
        self.assertLessEqual(count_moved(before, after), 3)

    def test_keeps_a_shape_within_one_rack_on_adjacent_accelerators(self):
        """Guards long-running gangs against slow links and fragmentation."""
        wanted = organisations([(8, 4, 1), (2, 2, 4)])
        made = plan.make_plan(wanted, workers(12), "a")
        racks = {entry.id: entry.rack for entry in workers(12)}
        for shape in made.shapes:
            self.assertEqual(len({racks[p.worker] for p in shape.parts}), 1)
            for part in shape.parts:
                first, last = part.accelerators[0], part.accelerators[-1]
                self.assertEqual(last - first + 1, len(part.accelerators))

    def test_fills_partly_used_workers_first(self):
        """Guards against small shapes that are spread over many workers.

        Wide gangs would then find no free workers.
        """
        wanted = organisations([(1, 4, 4), (1, 2, 4)])
        made = plan.make_plan(wanted, workers(8), "a")
        used = {p.worker for shape in made.shapes for p in shape.parts}
        self.assertEqual(len(used), 3)

    def test_lists_shapes_that_do_not_fit(self):
        """Guards against a shape that is silently dropped."""
        wanted = organisations([(2, 8, 2)])
        made = plan.make_plan(wanted, workers(3), "a")
        self.assertEqual(len(made.shapes), 1)
        self.assertEqual([name.number for name in made.unplaced], [1])

    def test_ignores_other_failure_domains(self):
        entries = workers(2)
        entries.append(builders.worker_entry("far", "b"))
        random.Random(1).shuffle(entries)
        made = plan.make_plan(organisations([(3, 8, 1)]), entries, "a")
        self.assertEqual(made.shapes, ())


if __name__ == "__main__":
    unittest.main()
