"""Log lines are whole JSON objects, bounded in number, and never block."""

import json
import logging
import os
import unittest

from dandelionpick import structured_logs


class Pipe:
    """A pipe as a stream."""

    def __init__(self):
        self.reader, self.writer = os.pipe()

    def fileno(self) -> int:
        """Returns the descriptor that is written to."""
        return self.writer

    def lines(self) -> list[dict]:
        """Returns what was written so far."""
        os.set_blocking(self.reader, False)
        text = os.read(self.reader, 1 << 20)
        return [json.loads(line) for line in text.splitlines()]


def record(text: str, **fields) -> logging.LogRecord:
    """Builds a log record."""
    built = logging.LogRecord("absl", logging.INFO, "", 1, text, (), None)
    built.fields = fields
    return built


class HandlerTest(unittest.TestCase):
    """Guards against logs that stop the process or lose their count."""

    def setUp(self):
        self.pipe = Pipe()
        self.handler = structured_logs.Handler("e0", self.pipe)

    def test_line_has_part_message_and_fields(self):
        self.handler.emit(record("intake: Submit accepted", job="a1"))
        (line,) = self.pipe.lines()
        self.assertEqual(line["part"], "intake")
        self.assertEqual(line["message"], "Submit accepted")
        self.assertEqual(line["job"], "a1")
        self.assertEqual(line["instance"], "e0")
        self.assertEqual(line["level"], "info")

    def test_lines_above_the_limit_are_dropped_and_counted(self):
        self.handler.budget.left = 2.0
        self.handler.budget.rate_per_s = 0.0
        for _ in range(5):
            self.handler.emit(record("a: b"))
        self.assertEqual(len(self.pipe.lines()), 2)
        self.handler.budget.left = 1.0
        self.handler.emit(record("a: c"))
        self.assertEqual(self.pipe.lines()[0]["dropped_lines"], 3)

    def test_full_pipe_blocks_nothing(self):
        self.handler.budget.left = self.handler.budget.burst = 1e9
        for _ in range(2_000):
            self.handler.emit(record("a: " + "x" * 200))
        self.assertGreater(self.handler.dropped, 0)


if __name__ == "__main__":
    unittest.main()
