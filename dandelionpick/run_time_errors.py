"""Computes from log lines how far off estimates of run times were.

Compares the callers' estimates with what the scheduler expected.
"""

import math
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from dandelionpick import log_search

MESSAGE = "run times of a step"
# Shares of the quantiles in a table.
MEDIAN, HIGH = 0.5, 0.9


class QueueErrors(NamedTuple):
    """Errors in doublings: |log2(actual / predicted)|, by step.

    Attributes:
        estimates: errors of the callers' estimates, rising; a step without an
            estimate has none.
        expectations: errors of what was expected, rising.
    """

    queue: str
    steps: int
    estimates: tuple[float, ...]
    expectations: tuple[float, ...]


def errors_by_queue(
    lines: Iterable[log_search.LogLine],
) -> list[QueueErrors]:
    """Returns the errors of each queue, sorted by its name."""
    fields_by_queue: dict[str, list[dict[str, object]]] = {}
    for line in lines:
        if line.message == MESSAGE:
            queue = str(line.fields.get("queue", ""))
            fields_by_queue.setdefault(queue, []).append(line.fields)
    return [
        QueueErrors(
            queue,
            len(found),
            _errors(found, "estimate_s"),
            _errors(found, "expected_s"),
        )
        for queue, found in sorted(fields_by_queue.items())
    ]


def _errors(lines: Iterable[dict[str, object]], name: str) -> tuple[float, ...]:
    errors = []
    for fields in lines:
        actual, predicted = fields.get("actual_s"), fields.get(name)
        if (
            isinstance(actual, int | float)
            and isinstance(predicted, int | float)
            and actual > 0
            and predicted > 0
        ):
            errors.append(abs(math.log2(actual / predicted)))
    return tuple(sorted(errors))


def quantile(errors: Sequence[float], share: float) -> float | None:
    """Returns a quantile of sorted errors, or None if there are none."""
    if not errors:
        return None
    return errors[min(len(errors) - 1, int(share * len(errors)))]


def format_table(rows: Iterable[QueueErrors]) -> list[str]:
    """Returns the lines of a table of the errors."""
    lines = [
        f"{'queue':20} {'steps':>6} {'estimate: median':>17} {'90%':>6}"
        f" {'expected: median':>17} {'90%':>6}"
    ]
    for row in rows:
        cells = [
            _cell(quantile(errors, share))
            for errors in (row.estimates, row.expectations)
            for share in (MEDIAN, HIGH)
        ]
        lines.append(
            f"{row.queue:20} {row.steps:>6} {cells[0]:>17} {cells[1]:>6}"
            f" {cells[2]:>17} {cells[3]:>6}"
        )
    return lines


def _cell(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"
