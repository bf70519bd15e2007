"""Errors of estimated and expected run times in a simulation."""

from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

from dandelionpick import effects
from dandelionpick import log_search
from dandelionpick import run_time_errors
from tests import batch_fabric


class Fabric(batch_fabric.Fabric):
    """Instances that keep the log lines about run times.

    Attributes:
        run_time_lines: these lines, with their fields.
    """

    def __init__(self, seed: int):
        self.run_time_lines: list[log_search.LogLine] = []
        super().__init__(seed=seed, target_count=0)

    def _perform(
        self, instance: batch_fabric.Instance, effect: effects.Effect
    ) -> None:
        super()._perform(instance, effect)
        if (
            isinstance(effect, effects.Note)
            and effect.text == run_time_errors.MESSAGE
        ):
            self.run_time_lines.append(
                log_search.LogLine("", "", "", effect.text, "", effect.fields)
            )


def format_tables(results: Sequence[dict[str, Any]]) -> Iterator[str]:
    """Yields the lines of a table for each site, pattern and policy.

    Args:
        results: one for each simulation, with the fields of its log lines as
            `run_times`.
    """
    found: dict[tuple[str, str, str], list[log_search.LogLine]] = {}
    for row in results:
        key = row["site"], row["pattern"], row["policy"]
        found.setdefault(key, []).extend(
            log_search.LogLine("", "", "", run_time_errors.MESSAGE, "", fields)
            for fields in row["run_times"]
        )
    for key, lines in found.items():
        if lines:
            yield " ".join(key)
            yield from run_time_errors.format_table(
                run_time_errors.errors_by_queue(lines)
            )
