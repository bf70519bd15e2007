"""The table of regression runs is read from the bench's output."""

import unittest

from bench import regression

OUTPUT = """\
7 days, 2 at a time
score on the standard days of deployment-large (set 4299885c): 0.519
day                  own/srv  score  worth served refused failed  weakest part
quiet-1               97/540   0.71  0.769  0.995   0.000  0.000  windows 0.96
trouble-3             97/540   0.00  -0.097  0.409   0.040  0.220  windows 0.15
GATE failed: trouble-3: LOST broken
"""


class ParseTest(unittest.TestCase):
    """Guards against a broken rule that the table does not show."""

    def test_score_days_and_gate_are_read(self):
        result = regression.parse("large", "abc", OUTPUT)
        self.assertEqual(result.score, 0.519)
        self.assertEqual(result.worth, {"quiet-1": 0.769, "trouble-3": -0.097})
        self.assertEqual(result.gate, "GATE failed: trouble-3: LOST broken")

    def test_play_that_did_not_finish_does_not_pass(self):
        result = regression.parse("large", "abc", "no cores are free\n")
        self.assertIsNone(result.score)
        self.assertNotEqual(result.gate, "GATE passed")


if __name__ == "__main__":
    unittest.main()
