"""The tool that compares policies on loads."""

import unittest

from bench import experiment
from bench import load_patterns


class ExperimentTest(unittest.TestCase):
    """Plays are repeatable and judge by the objectives."""

    def test_the_same_seed_gives_the_same_load(self):
        """Guards against policies that are compared on different loads."""
        pattern = load_patterns.PATTERNS[0]
        site = load_patterns.SMALL
        first, second = (
            list(load_patterns.arrivals(site, pattern, 7, 20.0))
            for _ in range(2)
        )
        self.assertEqual(first, second)
        self.assertNotEqual(
            first, list(load_patterns.arrivals(site, pattern, 8, 20.0))
        )

    def test_worth_depends_on_the_objective(self):
        """Guards against late work that counts as work in time."""
        pattern = load_patterns.PATTERNS[0]
        arrival = next(
            iter(load_patterns.arrivals(load_patterns.SMALL, pattern, 1, 20.0))
        )
        objective_s = arrival.objective_s
        for took_s, worth in (
            (objective_s, arrival.worth),
            (2 * objective_s, arrival.late_worth),
            (4 * objective_s, 0.0),
        ):
            entry = experiment.Entry(arrival, arrival.at_s + took_s - 1e-9)
            self.assertEqual(entry.earned(), worth)
        self.assertEqual(experiment.Entry(arrival).earned(), 0.0)

    def test_a_play_serves_the_load(self):
        """Guards against a tool that measures nothing."""
        row = experiment.measure(("small-targets", "wave", "product", 1))
        self.assertGreater(row["worth"], 0.5)


if __name__ == "__main__":
    unittest.main()
