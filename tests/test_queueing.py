"""Tests of the queue's order and of the run-time estimates."""

import random
import unittest

from dandelionpick import estimates
from dandelionpick import queueing


def item(key: str, organisation: str = "ward", **fields) -> queueing.Item:
    """Builds a queue item with defaults."""
    defaults = {
        "lane": queueing.Lane.NORMAL,
        "worth": 1.0,
        "deadline_s": 10.0,
        "cost_s": 1.0,
    }
    return queueing.Item((organisation, key), **{**defaults, **fields})


def drain(queue: queueing.Queue, lane=queueing.Lane.NORMAL) -> list[str]:
    """Starts all items of a lane; returns their keys in order."""
    keys = []
    while (head := queue.head(lane)) is not None:
        queue.start(head)
        keys.append(head.name[1])
    return keys


class QueueTest(unittest.TestCase):
    def test_worth_goes_before_deadline(self):
        """Guards against serving a low worth first for its early deadline."""
        queue = queueing.Queue()
        queue.push(item("low", worth=1.0, deadline_s=1.0))
        queue.push(item("late", worth=5.0, deadline_s=9.0))
        queue.push(item("early", worth=5.0, deadline_s=2.0))
        self.assertEqual(drain(queue), ["early", "late", "low"])

    def test_organisations_get_starts_by_share(self):
        """Guards against a burst of one organisation starving another."""
        queue = queueing.Queue()
        for number in range(300):
            queue.push(item(f"a{number}", "large", share=1.0))
        for number in range(300):
            queue.push(item(f"b{number}", "small", share=2.0))
        first = drain(queue)[:300]
        small = sum(key.startswith("b") for key in first)
        self.assertAlmostEqual(small, 200, delta=1)

    def test_idle_organisation_accumulates_no_credit(self):
        """Guards against a returning organisation taking every start."""
        queue = queueing.Queue()
        for number in range(100):
            queue.push(item(f"a{number}", "busy"))
        for _ in range(50):
            queue.start(queue.head(queueing.Lane.NORMAL))
        for number in range(50):
            queue.push(item(f"b{number}", "idle"))
        first = drain(queue)[:20]
        self.assertEqual(sum(key.startswith("b") for key in first), 10)

    def test_agrees_with_a_sorted_list(self):
        """Guards against errors in the lazy removal from the heaps."""
        draws = random.Random(7)
        queue = queueing.Queue()
        kept: dict[str, queueing.Item] = {}
        for number in range(3000):
            if draws.random() < 0.55 or not kept:
                key = f"k{number}"
                kept[key] = item(
                    key,
                    worth=float(draws.randrange(3)),
                    deadline_s=draws.random() * 100,
                )
                queue.push(kept[key])
                continue
            key = draws.choice(sorted(kept))
            if draws.random() < 0.5:
                head = queue.head(queueing.Lane.NORMAL)
                self.assertIs(head, min(kept.values(), key=order_of))
                key = head.name[1]
            else:
                victim = queue.least_valuable()
                self.assertIs(victim, max(kept.values(), key=order_of))
            queue.remove(("ward", key))
            del kept[key]
            self.assertEqual(len(queue), len(kept))
            work_s = queue.work_ahead(item("x", worth=-1.0))
            self.assertAlmostEqual(work_s, len(kept))
        expected = sorted(kept.values(), key=order_of)
        self.assertEqual(drain(queue), [one.name[1] for one in expected])

    def test_work_ahead_counts_what_goes_first_only(self):
        """Guards against refusing an urgent request because of a long queue."""
        queue = queueing.Queue()
        for number in range(50):
            queue.push(item(f"k{number}", deadline_s=100.0))
        self.assertEqual(queue.work_ahead(item("u", deadline_s=5.0)), 0.0)
        self.assertEqual(queue.work_ahead(item("l", deadline_s=200.0)), 50.0)
        other = item("o", "station", deadline_s=200.0)
        self.assertEqual(queue.work_ahead(other), 1.0)

    def test_sent_request_is_never_evicted(self):
        """Guards against refusing as not run a request that was sent before."""
        queue = queueing.Queue()
        queue.push(item("sent", never_sent=False))
        self.assertIsNone(queue.least_valuable())


def order_of(one: queueing.Item) -> tuple[float, float, int]:
    """Returns the sort key of items of the same organisation."""
    return -one.worth, one.deadline_s, one.number


class EstimatesTest(unittest.TestCase):
    key = ("ward", "confirmation")

    def test_class_is_demoted_and_promoted_again(self):
        """Guards against a class that is declared short but runs long."""
        run_times = estimates.Estimates()
        self.assertTrue(run_times.is_short(self.key, True, 0.5))
        for _ in range(estimates.MIN_SAMPLES):
            run_times.observe(self.key, 3.0, 1.0)
        self.assertFalse(run_times.is_short(self.key, True, 0.5))
        for _ in range(300):
            run_times.observe(self.key, 0.02, 2.0)
        self.assertTrue(run_times.is_short(self.key, True, 0.5))

    def test_one_straggler_demotes_nothing(self):
        """Guards against demoting a class because of one slow task."""
        run_times = estimates.Estimates()
        for number in range(20):
            run_times.observe(self.key, 60.0 if number == 5 else 0.02, 1.0)
        self.assertTrue(run_times.is_short(self.key, True, 0.5))

    def test_memory_is_bounded(self):
        """Guards against growth with the number of classes ever seen."""
        run_times = estimates.Estimates()
        for number in range(estimates.MAX_CLASSES + 10):
            run_times.observe(("ward", f"c{number}"), 1.0, 1.0)
        self.assertEqual(len(run_times.classes), estimates.MAX_CLASSES)

    def test_quantiles_are_within_a_bucket(self):
        """Guards against wrong bucket bounds."""
        run_times = estimates.Estimates()
        for number in range(1, 101):
            run_times.observe(self.key, number / 100, 1.0)
        histogram = run_times.recent_histogram(self.key, 1.0)
        for share in (0.1, 0.5, 0.9):
            ratio = histogram.quantile(share) / share
            self.assertTrue(0.8 <= ratio <= 1.25, ratio)
        self.assertLessEqual(histogram.fastest(), 0.01)
        self.assertIsNone(
            run_times.recent_histogram(self.key, 1.0 + estimates.MAX_AGE_S + 1)
        )
