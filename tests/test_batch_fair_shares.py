"""Order of waiting work by what its organisation has used."""

import unittest

from dandelionpick.batch import contention
from tests import contention_builders as builders

# Capacity of a target: tasks of one accelerator, which run for 1 s.
SLOTS = 8
MAX_TICKS = 400
MAX_HOLD_S = 10.0


class PeakTest(unittest.TestCase):
    """One organisation sends ten times its share, beside 1, 9 or 179 others."""

    def replay(
        self, organisations: int, fair_shares: bool
    ) -> dict[str, list[float]]:
        """Returns the waits, by organisation; the large one is "o0".

        All jobs are sent in the first 4 s. Ten times a share is what the pool
        can do then, or less with 180 organisations; "o0" sends as much.
        """
        targets = 4
        share = max(4, 4 * SLOTS * targets // organisations)
        replay = builders.Replay(targets, fair_shares)
        for number in range(MAX_TICKS):
            if number < 16:
                for other in range(organisations):
                    total = share * (1 if other else 10)
                    sent = total * (number + 1) // 16 - total * number // 16
                    for _ in range(sent):
                        replay.submit(f"o{other}")
            replay.advance()
            if number >= 16 and not replay.schedule.jobs:
                return replay.waits
        raise AssertionError("jobs wait for ever")

    def mean_waits(
        self, organisations: int, fair_shares: bool
    ) -> tuple[float, float]:
        """Returns the mean wait of the others and the longest of "o0"."""
        waits = self.replay(organisations, fair_shares)
        longest = max(waits.pop("o0"))
        others = [wait for found in waits.values() for wait in found]
        return sum(others) / len(others), longest

    def test_others_wait_less(self):
        """Guards against small organisations that wait behind a peak."""
        for organisations, part in ((2, 0.25), (10, 0.5), (180, 0.99)):
            with self.subTest(organisations):
                without, longest_without = self.mean_waits(organisations, False)
                fair, longest = self.mean_waits(organisations, True)
                self.assertLessEqual(fair, part * without)
                self.assertLess(longest, longest_without + MAX_HOLD_S)

    def test_nothing_changes_with_one_organisation(self):
        """Guards against another order where nobody competes."""
        self.assertEqual(self.replay(1, True), self.replay(1, False))


class HoldTest(unittest.TestCase):
    """Order by share holds a job back for a bounded time."""

    def test_job_of_a_heavy_organisation_starts(self):
        """Guards against a job that waits while small ones keep coming."""
        replay = builders.Replay(1, fair_shares=True)
        use = replay.schedule.contention.use
        use.add_sample({(builders.TERMS.pool, "o0"): 1e9}, 0.5)
        for _ in range(2 * SLOTS):
            replay.submit("o1")
        replay.submit("o0")
        for _ in range(120):
            for _ in range(4):
                replay.submit("o1")
            replay.advance()
        (wait_s,) = replay.waits["o0"]
        self.assertGreater(wait_s, 5.0)
        self.assertLess(wait_s, 13.0)


class OrganisationUseTest(unittest.TestCase):
    """Use is averaged over the last tens of seconds."""

    def test_old_use_loses_weight(self):
        """Guards against an organisation that pays for a peak for minutes."""
        use = contention.OrganisationUse()
        sender = (builders.TERMS.pool, "o0")
        use.add_sample({sender: 8.0}, 0.0)
        self.assertEqual(use.averages[sender], 8.0)
        use.add_sample({}, contention.DECAY_S)
        self.assertAlmostEqual(use.averages[sender], 8.0 / 2.718, places=2)


if __name__ == "__main__":
    unittest.main()
