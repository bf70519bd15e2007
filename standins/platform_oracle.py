"""What the targets of a platform run, and what must not happen on them."""

import dataclasses
from typing import Any

# A job's tasks may start for this long after its cancellation.
CANCEL_S = 3.0


@dataclasses.dataclass
class Run:
    """A run on a target.

    Attributes:
        worked_s: work done; a gang works only while all members are present.
        lease_ms: on the target's clock.
    """

    task: str
    attempt: int
    payload: dict[str, Any]
    started_s: float
    worked_s: float = 0.0
    stops_s: float = float("inf")


class World:
    """All targets, the jobs they are asked to run, and the oracle.

    Attributes:
        phases: steps of the submitted jobs, by job.
        refused: jobs of which every submission was refused.
        cancelled_s: when a cancellation was acknowledged, by job.
        done: tasks that ended as done, and whether a target has forgotten it.
        failures: failed runs that were acknowledged, by task.
        broken: what must not have happened.
        starts: starts by task.
        places: targets on which a task was started.
        wasted_core_s: work that was thrown away; an accelerator counts as
            eight cores.
    """

    def __init__(self):
        self.targets: dict[str, Any] = {}
        self.phases: dict[str, list[dict[str, Any]]] = {}
        self.refused: set[str] = set()
        self.cancelled_s: dict[str, float] = {}
        self.done: dict[str, bool] = {}
        self.failures: dict[str, int] = {}
        self.attempts: dict[str, int] = {}
        self.broken: list[str] = []
        self.starts: dict[str, int] = {}
        self.places: dict[str, set[str]] = {}
        self.wasted_core_s = 0.0

    def phase_of(self, task: str) -> dict[str, Any]:
        """Returns the step of a task, or {} if nobody submitted it."""
        job, _, number, index = task.split(".")
        phases = self.phases.get(job, [])
        if int(number) >= len(phases):
            return {}
        phase = phases[int(number)]
        return phase if int(index) < phase["count"] else {}

    def advance(self, now_s: float) -> None:
        """Lets time pass on all targets."""
        for target in self.targets.values():
            target.advance(now_s)
        for target in self.targets.values():
            target.end_gangs(now_s)

    def note_wasted(self, run: Run) -> None:
        """Counts the work of a run that ended without a result."""
        phase = self.phase_of(run.task)
        if not phase.get("checkpointing"):
            cores = phase.get("cpu", 0) / 1_000 + 8 * phase.get("gpu", 0)
            self.wasted_core_s += cores * run.worked_s

    def running(self, task: str) -> list[tuple[Any, Run]]:
        """Returns the runs of a task on targets that are up."""
        targets = (self.targets[name] for name in self.places.get(task, ()))
        return [
            (target, target.runs[task])
            for target in targets
            if target.up and task in target.runs
        ]

    def gang_of(self, run: Run) -> list[str]:
        """Returns the names of all members of a run's gang."""
        job, occurrence, number, _ = run.task.split(".")
        count = self.phase_of(run.task)["count"]
        return [f"{job}.{occurrence}.{number}.{i}" for i in range(count)]

    def is_present(self, run: Run) -> bool:
        """Returns whether all members of a run's gang are present."""
        return all(
            any(other.attempt == run.attempt for _, other in self.running(name))
            for name in self.gang_of(run)
        )

    def is_done(self, run: Run, phase: dict[str, Any]) -> bool:
        """Returns whether a run, or its whole gang, has done its work."""
        if not phase.get("gang"):
            return True
        work_s = run.payload.get("work_s", 1.0)
        return all(
            other.worked_s >= work_s
            for name in self.gang_of(run)
            for _, other in self.running(name)
        )

    def check_start(self, target: Any, task: str, now_s: float) -> None:
        """Records what a start breaks."""
        phase = self.phase_of(task)
        self.starts[task] = self.starts.get(task, 0) + 1
        if not phase:
            self.broken.append(f"{task} was submitted by nobody")
            return
        job = task.split(".")[0]
        problems = {
            f"runs twice, at {now_s:.2f} s": bool(self.running(task)),
            "starts after its noted end": bool(
                self.done.get(task) and not phase.get("long_running")
            ),
            "starts although its job was refused": job in self.refused,
            "starts after its last attempt": (
                self.failures.get(task, 0) >= self.attempts.get(job, 99)
            ),
            "starts long after its cancellation": (
                now_s > self.cancelled_s.get(job, float("inf")) + CANCEL_S
            ),
            "starts before an earlier step": self._is_early(task, phase),
            "lacks its label": (
                phase.get("requirements", "") not in (*target.labels, "")
            ),
            f"has too little room on {target.id}": self._is_over(target, task),
        }
        self.broken.extend(
            f"{task} {problem}" for problem, found in problems.items() if found
        )

    def _is_early(self, task: str, phase: dict[str, Any]) -> bool:
        job, occurrence, _, _ = task.split(".")
        return not all(
            f"{job}.{occurrence}.{earlier}.{index}" in self.done
            for earlier in phase.get("after", ())
            for index in range(self.phases[job][earlier]["count"])
        )

    def _is_over(self, target: Any, task: str) -> bool:
        used = [self.phase_of(name) for name in (*target.runs, task)]
        return any(
            sum(phase.get(field, 0) for phase in used) > most
            for field, most in target.capacity.items()
        )
