"""Prints what a run has played and checked."""

import collections

from cleo.commands import command

from soak import ledger as ledger_lib
from soak import plan


def write(
    asked: command.Command,
    faults: list[plan.Fault],
    ledger: ledger_lib.Ledger,
) -> None:
    """Prints tables of the faults, the answers and the promises.

    Args:
        asked: the command that prints.
        faults: all faults of the run.
        ledger: what was checked.
    """
    kinds = collections.Counter(
        f"{record['fault']} {record.get('action', '')}"
        for record in map(plan.to_record, faults)
    )
    broken = collections.Counter(promise for promise, _ in ledger.violations)
    promises = [
        (it.value, ledger.checks[it], broken[it]) for it in ledger_lib.Promise
    ]
    for headers, rows in (
        (["fault", "times"], sorted(kinds.items())),
        (["status", "answers"], sorted(ledger.outcomes.items())),
        (["promise", "checks", "broken"], promises),
    ):
        table = asked.table()
        table.set_headers(headers)
        table.set_rows([list(map(str, row)) for row in rows])
        table.render()
    for promise, text in ledger.violations:
        asked.line_error(f"{promise.value}: {text}")
