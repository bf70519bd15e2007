"""Finds what the logs of many instances say about one job."""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

# Parts whose lines tell about the scheduler and the targets; they explain gaps
# in a job's own lines.
SURROUNDING_PARTS = ("scheduler", "store")
TARGET_PART = "targets"
# Keys of a line that are shown apart from its further fields.
OWN_KEYS = ("time", "level", "instance", "part", "message", "job")


class LogLine(msgspec.Struct, frozen=True):
    """A line of a log.

    Attributes:
        time: ISO 8601; such times of one zone sort as text.
        fields: further values, by name.
    """

    time: str
    instance: str
    part: str
    message: str
    job: str
    fields: dict[str, Any]


def parse(lines: Iterable[str]) -> Iterator[LogLine]:
    """Reads log lines; what comes before the JSON object is ignored."""
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            values = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            # Other programs write to the same files.
            continue
        if not isinstance(values, dict) or "message" not in values:
            continue
        yield LogLine(
            *(str(values.get(key, "")) for key in OWN_KEYS if key != "level"),
            {key: values[key] for key in values if key not in OWN_KEYS},
        )


def about(lines: Iterable[LogLine], job: str) -> list[LogLine]:
    """Returns the lines that explain what became of a job, by time.

    These are the job's own lines and, between the first and the last of them,
    those about the election, the store, and the targets that ran it.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if _names(line, job)]
    if not own:
        return []
    targets = {
        target for line in own for target in line.fields.get("targets", ())
    }
    first, last = own[0].time, own[-1].time
    return [
        line
        for line in ordered
        if _names(line, job)
        or (first <= line.time <= last and _explains(line, targets))
    ]


def _names(line: LogLine, job: str) -> bool:
    return line.job == job or job in line.message


def _explains(line: LogLine, targets: set[str]) -> bool:
    if line.job:
        return False
    if line.part in SURROUNDING_PARTS:
        return True
    return line.part == TARGET_PART and any(
        target in line.message for target in targets
    )
