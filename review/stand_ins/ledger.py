"""Records what was sent, answered and run, and checks the rules on it."""

import dataclasses
import pathlib
import time
from typing import Any


@dataclasses.dataclass
class End:
    """A run that has ended on a worker.

    Attributes:
        noted_s: when `acked_through` reached it; None before.
        excused: the worker's lease lapsed between the two.
    """

    task: str
    attempt: int
    worker: str
    how: str
    at_s: float
    noted_s: float | None = None
    excused: bool = False


@dataclasses.dataclass
class Start:
    """A work item that a worker has begun on an order."""

    task: str
    attempt: int
    worker: str
    at_s: float


class Ledger:
    """The record of one run of a script.

    Attributes:
        jobs: phases of the submitted jobs, by id.
        broken: violations, one line each.
    """

    def __init__(self, path: pathlib.Path):
        self.file = path.open("w")
        self.began_s = time.monotonic()
        self.jobs: dict[str, list[dict[str, Any]]] = {}
        self.starts: list[Start] = []
        self.ends: list[End] = []
        self.broken: list[str] = []

    def now_s(self) -> float:
        """Returns the seconds since the script began."""
        return time.monotonic() - self.began_s

    def write(self, kind: str, **fields: Any) -> None:
        """Appends a line to the record."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now_s():8.3f} {kind} {text}\n")
        self.file.flush()

    def record_broken(self, rule: str, text: str) -> None:
        """Records that a rule was broken."""
        self.broken.append(f"{rule}: {text}")
        self.write("BROKEN", rule=rule, what=text)

    def phase_of(self, task: str) -> dict[str, Any]:
        """Returns the phase of a work item; {} if nobody sent it."""
        job, _, number, _ = task.split(".")
        phases = self.jobs.get(job, [])
        return phases[int(number)] if int(number) < len(phases) else {}

    def check_ends(self) -> None:
        """Checks TWICE: no start after a `done` end that is taken note of."""
        for end in self.ends:
            if end.how != "done" or end.noted_s is None or end.excused:
                continue
            for start in self.starts:
                if start.task == end.task and start.at_s > end.at_s:
                    self.record_broken(
                        "TWICE",
                        f"{end.task} attempt {end.attempt} ended done on"
                        f" {end.worker} at {end.at_s:.3f}, attempt"
                        f" {start.attempt} started on {start.worker} at"
                        f" {start.at_s:.3f}, the end was taken note of at"
                        f" {end.noted_s:.3f}",
                    )
