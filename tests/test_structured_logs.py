"""Tests of JSON log lines, their rate limit and non-blocking writes."""

import json
import logging
import os
import unittest

from dandelionpick import structured_logs


class Pipe:
    """A pipe with the interface of a stream."""

    def __init__(self):
        self.reader, self.writer = os.pipe()

    def fileno(self) -> int:
        """Returns the file descriptor of the write end."""
        return self.writer

    def lines(self) -> list[dict]:
        """Returns the decoded lines written since the last call."""
        os.set_blocking(self.reader, False)
        text = os.read(self.reader, 1 << 20)
        return [json.loads(line) for line in text.splitlines()]


def record(text: str, **fields) -> logging.LogRecord:
    """Builds a log record."""
    built = logging.LogRecord("absl", logging.INFO, "", 1, text, (), None)
    built.fields = fields
    return built


class HandlerTest(unittest.TestCase):
    """Guards against logging that blocks the process or miscounts lines."""

    def setUp(self):
        self.pipe = Pipe()
        self.handler = structured_logs.JsonLinesHandler("e0", self.pipe)

    def test_line_has_part_message_and_fields(self):
        self.handler.emit(record("intake: Submit accepted", job="a1"))
        (line,) = self.pipe.lines()
        self.assertEqual(line["part"], "intake")
        self.assertEqual(line["message"], "Submit accepted")
        self.assertEqual(line["job"], "a1")
        self.assertEqual(line["instance"], "e0")
        self.assertEqual(line["level"], "info")

    def test_lines_above_the_limit_are_dropped_and_counted(self):
        self.handler.rate_limiter.tokens = 2.0
        self.handler.rate_limiter.rate_per_s = 0.0
        for _ in range(5):
            self.handler.emit(record("a: b"))
        self.assertEqual(len(self.pipe.lines()), 2)
        self.handler.rate_limiter.tokens = 1.0
        self.handler.emit(record("a: c"))
        self.assertEqual(self.pipe.lines()[0]["dropped_lines"], 3)

    def test_full_pipe_does_not_block(self):
        self.handler.rate_limiter.tokens = self.handler.rate_limiter.burst = 1e9
        for _ in range(2_000):
            self.handler.emit(record("a: " + "x" * 200))
        self.assertGreater(self.handler.dropped_lines, 0)


if __name__ == "__main__":
    unittest.main()
