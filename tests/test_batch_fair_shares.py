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
        self,
        organisations: int,
        fair_shares: bool,
        takeover_tick: int = MAX_TICKS,
    ) -> dict[str, list[float]]:
        """Returns the waits, by organisation; the large one is "o0".

        All jobs are sent in the first 4 s. Ten times a share is what the pool
        can do then, or less with 180 organisations; "o0" sends as much.
        """
        targets = 4
        share = max(4, 4 * SLOTS * targets // organisations)
        replay = builders.Replay(targets, fair_shares)
        for number in range(MAX_TICKS):
            if number == takeover_tick:
                replay.schedule.contention = contention.Contention()
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
        self, organisations: int, fair_shares: bool, **options: int
    ) -> tuple[float, float]:
        """Returns the mean wait of the others and the longest of "o0"."""
        waits = self.replay(organisations, fair_shares, **options)
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

    def test_a_takeover_amid_the_peak(self):
        """Guards against a successor that never learns who uses the pool."""
        without, _ = self.mean_waits(10, False)
        fair, _ = self.mean_waits(10, True, takeover_tick=8)
        self.assertLess(fair, 0.5 * without)

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


if __name__ == "__main__":
    unittest.main()
