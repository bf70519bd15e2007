"""Writes rate-limited log lines as JSON objects to standard output.

Lines above the rate limit, or that a slow reader of the pipe has no room for,
are dropped and counted. Writing never blocks the event loop.
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

# Sustained rate and burst size of the rate limit. At the users' peak load, the
# scheduler writes about 60 lines per second.
MAX_LINES_PER_S = 200.0
MAX_BURST_LINES = 1_000.0
LEVEL_NAMES = {
    logging.DEBUG: "debug",
    logging.INFO: "info",
    logging.WARNING: "warning",
    logging.ERROR: "error",
    logging.CRITICAL: "error",
}


class TokenBucket:
    """A token bucket.

    Attributes:
        tokens: lines that may be written now.
        refilled_s: monotonic seconds of the last refill.
    """

    def __init__(self, rate_per_s: float, burst: float, now_s: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.tokens = burst
        self.refilled_s = now_s

    def spend(self, now_s: float) -> bool:
        """Takes a token; returns False if none is left."""
        gained = (now_s - self.refilled_s) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + gained)
        self.refilled_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def format_record(
    record: logging.LogRecord, instance: str, dropped_lines: int
) -> bytes:
    """Formats a record as a JSON log line.

    The prefix of the message up to the first ": " becomes the `part` field.

    Args:
        record: the record; its `fields` attribute holds extra fields by name.
        instance: name of the instance that this process runs.
        dropped_lines: lines dropped since the last written one.
    """
    part, colon, text = record.getMessage().partition(": ")
    if not colon:
        part, text = record.name, record.getMessage()
    at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    line: dict[str, Any] = {
        "time": at.isoformat(timespec="milliseconds"),
        "level": LEVEL_NAMES.get(record.levelno, "info"),
        "instance": instance,
        "part": part,
        "message": text,
        **getattr(record, "fields", {}),
    }
    if dropped_lines:
        line["dropped_lines"] = dropped_lines
    if record.exc_info:
        line["error"] = logging.Formatter().formatException(record.exc_info)
    return msgspec.json.encode(line) + b"\n"


class JsonLinesHandler(logging.Handler):
    """Writes records to a non-blocking file descriptor.

    Attributes:
        dropped_lines: lines dropped since the last written one.
    """

    def __init__(self, instance: str, stream: TextIO):
        super().__init__()
        self.instance = instance
        self.file_descriptor = stream.fileno()
        self.rate_limiter = TokenBucket(
            MAX_LINES_PER_S, MAX_BURST_LINES, time.monotonic()
        )
        self.dropped_lines = 0
        os.set_blocking(self.file_descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or counts it as dropped."""
        if not self.rate_limiter.spend(time.monotonic()):
            self._drop()
            return
        line = format_record(record, self.instance, self.dropped_lines)
        try:
            os.write(self.file_descriptor, line)
        except OSError:
            # The pipe is full or closed, so the error cannot be logged.
            self._drop()
            return
        self.dropped_lines = 0

    def _drop(self) -> None:
        self.dropped_lines += 1
        metrics.add("log_lines_dropped_total", (), 1.0)


def install(instance: str, level: int) -> None:
    """Routes all log records of the process to standard output.

    Args:
        instance: instance name that each line contains.
        level: minimum level to write, as a level of the logging module.
    """
    root = logging.getLogger()
    root.handlers = [JsonLinesHandler(instance, sys.stdout)]
    root.setLevel(level)
