"""Judges the rule TWICE as RULES.md states it, by what executors have seen."""

import dataclasses
import time
from typing import Any


@dataclasses.dataclass
class RunSeen:
    """A run as its executor saw it; `ended_s` is infinite while it runs."""

    task: str
    attempt: int
    executor: str
    started_s: float
    ended_s: float = float("inf")
    how: str = ""
    noted: bool = False


class Judge:
    """Collects the runs of all work items.

    Attributes:
        specs: the spec of each job that a consumer sent, by job.
    """

    def __init__(self, record: Any):
        self.record = record
        self.runs: list[RunSeen] = []
        self.specs: dict[str, str] = {}

    def started(
        self, task: str, attempt: int, executor: str, spec: str
    ) -> None:
        """Records a start."""
        del spec
        self.runs.append(RunSeen(task, attempt, executor, time.monotonic()))
        self.record(f"{executor}: starts {task} run {attempt}")

    def ended(self, task: str, attempt: int, executor: str, how: str) -> None:
        """Records the end of a run."""
        for run in self.runs:
            key = run.task, run.attempt, run.executor
            if key == (task, attempt, executor) and not run.how:
                run.ended_s = time.monotonic()
                run.how = how
        self.record(f"{executor}: {task} run {attempt} ends {how}")

    def noted(self, task: str, attempt: int, how: str) -> None:
        """Records that the end of a run was taken note of."""
        for run in self.runs:
            if (run.task, run.attempt, run.how) == (task, attempt, how):
                run.noted = True

    def broken(self) -> list[str]:
        """Returns what breaks TWICE.

        That is two runs of one work item at the same time on executors that
        are up (a run ends at the latest as its executor crashes), or a start
        after a run has ended `done`, if that end is taken note of.
        """
        found = []
        for i, one in enumerate(self.runs):
            for other in self.runs[i + 1 :]:
                if one.task != other.task:
                    continue
                first, second = sorted(
                    (one, other), key=lambda run: run.started_s
                )
                overlap_s = min(first.ended_s, second.ended_s)
                overlap_s -= second.started_s
                if overlap_s > 0:
                    found.append(
                        f"TWICE: {one.task} runs on {first.executor} (run"
                        f" {first.attempt}) and on {second.executor} (run"
                        f" {second.attempt}) at the same time"
                        f" for {overlap_s:.2f} s"
                    )
                elif first.how == "done" and first.noted:
                    found.append(
                        f"TWICE: {one.task} starts on {second.executor} (run"
                        f" {second.attempt}) after run {first.attempt} has"
                        " ended done, which is taken note of"
                    )
        return found
