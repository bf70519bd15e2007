"""Tests of the simulations that compare scheduling policies."""

import unittest

from bench import experiment
from bench import load_patterns


class ExperimentTest(unittest.TestCase):
    """Simulations are repeatable and value jobs by their objectives."""

    def test_the_same_seed_gives_the_same_load(self):
        """Guards against a comparison of policies on different workloads."""
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
        """Guards against late jobs that earn the worth of punctual ones."""
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
            result = experiment.JobResult(
                arrival, arrival.submit_s + took_s - 1e-9
            )
            self.assertEqual(result.earned_worth(), worth)
        self.assertEqual(experiment.JobResult(arrival).earned_worth(), 0.0)

    def test_a_simulation_completes_jobs(self):
        """Guards against a simulation in which hardly any job completes."""
        row = experiment.measure(("small-targets", "wave", "product", 1))
        self.assertGreater(row["worth"], 0.5)


if __name__ == "__main__":
    unittest.main()
