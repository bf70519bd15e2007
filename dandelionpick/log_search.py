"""Finds the lines about one job in the logs of many instances."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

# Parts whose lines report on the scheduler, the store and the targets. They
# explain gaps between a job's own lines.
CONTEXT_PARTS = ("scheduler", "store")
TARGET_PART = "targets"
# Keys that are not copied to `fields`. Each is a field of LogLine, except for
# the level, which is omitted.
STANDARD_KEYS = ("time", "level", "instance", "part", "message", "job")


class LogLine(msgspec.Struct, frozen=True):
    """A parsed log line.

    Attributes:
        time: ISO 8601 time; times in the same time zone sort as text.
        fields: extra fields by name.
    """

    time: str
    instance: str
    part: str
    message: str
    job: str
    fields: dict[str, Any]


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parses log lines; text before the JSON object is ignored."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            values = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            # Other programs may write to the same files.
            continue
        if not isinstance(values, dict) or "message" not in values:
            continue
        yield LogLine(
            *(
                str(values.get(key, ""))
                for key in STANDARD_KEYS
                if key != "level"
            ),
            {key: values[key] for key in values if key not in STANDARD_KEYS},
        )


def lines_about_job(lines: Iterable[LogLine], job: str) -> list[LogLine]:
    """Returns the lines that explain the course of a job, sorted by time.

    These are the lines that name the job and, between the first and last of
    them, the lines about the scheduler election, the store, and the targets
    that ran the job.
    """
    sorted_lines = sorted(lines, key=lambda line: line.time)
    job_lines = [line for line in sorted_lines if _mentions_job(line, job)]
    if not job_lines:
        return []
    targets = {
        target
        for line in job_lines
        for target in line.fields.get("targets", ())
    }
    first, last = job_lines[0].time, job_lines[-1].time
    return [
        line
        for line in sorted_lines
        if _mentions_job(line, job)
        or (first <= line.time <= last and _is_context(line, targets))
    ]


def _mentions_job(line: LogLine, job: str) -> bool:
    return line.job == job or job in line.message


def _is_context(line: LogLine, targets: set[str]) -> bool:
    if line.job:
        return False
    if line.part in CONTEXT_PARTS:
        return True
    return line.part == TARGET_PART and any(
        target in line.message for target in targets
    )
