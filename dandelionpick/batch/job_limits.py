"""Bounds of the numbers in a job that no caller can mean to exceed."""

from collections.abc import Iterator

from dandelionpick.batch import model

# All tasks of a job are kept in memory; the system is designed for 20,000
# running tasks.
MAX_TASKS = 20_000
# The members of a gang are started together. Eight times the widest gangs that
# the system is designed for.
MAX_GANG_TASKS = 2_048
# Unix milliseconds at the end of the year 9999.
MAX_UNIX_MS = 253_402_300_799_999
# Ten years.
MAX_DURATION_MS = 315_576_000_000
# A thousand times what the largest machines have: a million cores, a petabyte,
# a million accelerators.
MAX_CPU_MILLIS = 1_000_000_000
MAX_MEMORY_MB = 1_000_000_000
MAX_ACCELERATORS = 1_000_000
# Integers up to this size are exact as floating-point numbers; much larger ones
# can't be converted.
MAX_NUMBER = 2**53


def find_problem(spec: model.JobSpec) -> str:
    """Returns why an accepted job can't be carried out, or "".

    An earlier release may have accepted numbers that are refused now. Those
    that can be computed with are carried out.

    Args:
        spec: the job as the store has it.
    """
    for name, value in _numbers_of(spec):
        if abs(value) > MAX_NUMBER:
            return f"{name} is beyond {MAX_NUMBER:,}"
    for number, step in enumerate(spec.steps):
        if step.gang and step.tasks > MAX_GANG_TASKS:
            return f"steps[{number}] is a gang of over {MAX_GANG_TASKS:,} tasks"
    return ""


def last_due_ms(first_due_ms: int, interval_ms: int, occurrences: int) -> int:
    """Returns when the last occurrence is due, in Unix milliseconds."""
    return first_due_ms + max(0, occurrences - 1) * interval_ms


def _numbers_of(spec: model.JobSpec) -> Iterator[tuple[str, int]]:
    yield "occurrences", spec.occurrences
    yield "first_due_ms", spec.first_due_ms
    yield "interval_ms", spec.interval_ms
    for number, step in enumerate(spec.steps):
        prefix = f"steps[{number}]."
        yield prefix + "tasks", step.tasks
        yield prefix + "cpu_millis", step.needs.cpu_millis
        yield prefix + "memory_mb", step.needs.memory_mb
        yield prefix + "accelerators", step.needs.accelerators
        yield prefix + "estimate_ms", step.estimate_ms
        yield prefix + "max_per_target", step.max_per_target
        yield prefix + "tail_target_ms", step.tail_target_ms
        yield prefix + "tolerated_absent", step.tolerated_absent
