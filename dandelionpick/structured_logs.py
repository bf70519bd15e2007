"""Log lines as JSON objects on standard output, bounded in number.

A line is dropped, and counted, if more come than the limit allows or if the
reader of the pipe is too slow: writing never blocks the event loop.
"""

import datetime
import logging
import os
import sys
import time
from typing import Any
from typing import TextIO

import msgspec

from dandelionpick import metrics

# Lines a second over a longer time, and at once. A crest of the users' load
# writes about 60 lines a second on the scheduler.
LINES_PER_S = 200.0
BURST_LINES = 1_000.0
LEVELS = {
    logging.DEBUG: "debug",
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
    logging.CRITICAL: "error",
}


class Budget:
    """A token bucket.

    Attributes:
        left: lines that may be written at once.
    """

    def __init__(self, rate_per_s: float, burst: float, now_s: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.left = burst
        self.filled_s = now_s

    def spend(self, now_s: float) -> bool:
        """Returns whether a line may be written now."""
        gained = (now_s - self.filled_s) * self.rate_per_s
        self.left = min(self.burst, self.left + gained)
        self.filled_s = now_s
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


def format_record(
    record: logging.LogRecord, instance: str, dropped: int
) -> bytes:
    """Returns a log line.

    Args:
        record: the record; `fields` holds further values, by name.
        instance: the process's instance.
        dropped: lines that were dropped since the last one.
    """
    part, colon, text = record.getMessage().partition(": ")
    if not colon:
        part, text = record.name, record.getMessage()
    at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    line: dict[str, Any] = {
        "time": at.isoformat(timespec="milliseconds"),
        "level": LEVELS.get(record.levelno, "info"),
        "instance": instance,
        "part": part,
        "message": text,
        **getattr(record, "fields", {}),
    }
    if dropped:
        line["dropped_lines"] = dropped
    if record.exc_info:
        line["error"] = logging.Formatter().formatException(record.exc_info)
    return msgspec.json.encode(line) + b"\n"


class Handler(logging.Handler):
    """Writes records to a file descriptor that does not block."""

    def __init__(self, instance: str, stream: TextIO):
        super().__init__()
        self.instance = instance
        self.descriptor = stream.fileno()
        self.budget = Budget(LINES_PER_S, BURST_LINES, time.monotonic())
        self.dropped = 0
        os.set_blocking(self.descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as dropped."""
        if not self.budget.spend(time.monotonic()):
            self._drop()
            return
        line = format_record(record, self.instance, self.dropped)
        try:
            os.write(self.descriptor, line)
        except OSError:
            # The pipe is full or closed; there is nowhere to report it to.
            self._drop()
            return
        self.dropped = 0

    def _drop(self) -> None:
        self.dropped += 1
        metrics.add("log_lines_dropped_total", (), 1.0)


def install(instance: str, level: int) -> None:
    """Sends all log records of the process to standard output.

    Args:
        instance: named in each line.
        level: least severe level of the standard library that is written.
    """
    root = logging.getLogger()
    root.handlers = [Handler(instance, sys.stdout)]
    root.setLevel(level)
