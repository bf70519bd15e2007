"""Shared state of the simulated targets, and an oracle that checks it."""

import dataclasses
from collections.abc import Callable
from typing import Any

# Tasks of a cancelled job may still start for this long after the cancellation
# was acknowledged.
CANCEL_GRACE_S = 3.0
# A task that has crashed this many targets must be given up.
MAX_CRASHES = 3
# Starts after that many crashes that violate the guarantee. Fewer may happen if
# schedulers are lost before they have recorded a crash.
EXCESS_STARTS = 3
# Nothing may start in a failure domain this long after the request to evacuate
# it was acknowledged.
EVACUATION_BOUND_S = 5.0


@dataclasses.dataclass
class Run:
    """A run of a task on a target.

    Attributes:
        worked_s: work done; a gang only works while all members are present.
        stop_at_s: when a requested stop takes effect; infinity without one.
    """

    task: str
    attempt: int
    payload: dict[str, Any]
    started_s: float
    worked_s: float = 0.0
    stop_at_s: float = float("inf")


class World:
    """All targets, the jobs they are asked to run, and the oracle.

    Attributes:
        phases: steps of the submitted jobs, by job.
        refused: jobs of which every submission was refused.
        cancelled_s: when a cancellation was acknowledged, by job.
        evacuated_s: when the request to evacuate a failure domain was
            acknowledged, by domain.
        order_sent_s: when the order was sent that a target carries out late;
            None while none is.
        done: tasks that ended as "done"; True once the scheduler has
            acknowledged that end and the target has dropped it.
        failures: number of failed runs that were acknowledged, by task.
        broken: violations that were found, one line each.
        starts: number of starts by task.
        started_s: when each start of a task took place, by task.
        crashes: number of targets that a task has crashed, by task.
        crashes_under: number of targets that have crashed while they ran a
            task, by task.
        excess_starts: number of its starts after it had crashed as many targets
            as a task may, by task.
        advance_period_s: targets are advanced once in this time at most, as
            that takes time in proportion to all runs.
        on_crash: is called with a target that a task has crashed.
        targets_started_on: targets on which a task was started, by task.
        wasted_core_s: work that was discarded, in core seconds; an
            accelerator counts as eight cores.
    """

    def __init__(self):
        self.targets: dict[str, Any] = {}
        self.phases: dict[str, list[dict[str, Any]]] = {}
        self.refused: set[str] = set()
        self.cancelled_s: dict[str, float] = {}
        self.evacuated_s: dict[str, float] = {}
        self.order_sent_s: float | None = None
        self.done: dict[str, bool] = {}
        self.failures: dict[str, int] = {}
        self.attempts: dict[str, int] = {}
        self.broken: list[str] = []
        self.starts: dict[str, int] = {}
        self.started_s: dict[str, list[float]] = {}
        self.crashes: dict[str, int] = {}
        self.crashes_under: dict[str, int] = {}
        self.excess_starts: dict[str, int] = {}
        self.advance_period_s = 0.0
        self.advanced_s = float("-inf")
        self.on_crash: Callable[[Any], None] = lambda target: None
        self.targets_started_on: dict[str, set[str]] = {}
        self.wasted_core_s = 0.0

    def phase_of(self, task: str) -> dict[str, Any]:
        """Returns the step of a task, or {} if it was never submitted."""
        job, _, number, index = task.split(".")
        phases = self.phases.get(job, [])
        if int(number) >= len(phases):
            return {}
        phase = phases[int(number)]
        return phase if int(index) < phase["count"] else {}

    def advance(self, now_s: float) -> bool:
        """Advances all targets to the given time, unless that was done lately.

        Returns:
            Whether the targets were advanced.
        """
        if now_s - self.advanced_s < self.advance_period_s:
            return False
        self.advanced_s = now_s
        for target in self.targets.values():
            target.advance(now_s)
        for target in self.targets.values():
            target.end_incomplete_gangs(now_s)
        return True

    def record_wasted(self, run: Run) -> None:
        """Counts the work of a run that ended without a result as discarded.

        The work of a task that writes checkpoints does not count.
        """
        phase = self.phase_of(run.task)
        if not phase.get("checkpointing"):
            cores = phase.get("cpu", 0) / 1_000 + 8 * phase.get("gpu", 0)
            self.wasted_core_s += cores * run.worked_s

    def record_crashed_runs(self, target: Any) -> None:
        """Records that a target crashes under its runs."""
        for run in target.runs.values():
            count = self.crashes_under.get(run.task, 0)
            self.crashes_under[run.task] = count + 1

    def record_crash(self, target: Any, run: Run) -> None:
        """Records that a run has crashed its target."""
        self.crashes[run.task] = self.crashes.get(run.task, 0) + 1
        for other in target.runs.values():
            self.record_wasted(other)
        self.on_crash(target)

    def running(self, task: str) -> list[tuple[Any, Run]]:
        """Returns the runs of a task on targets that are up."""
        targets = (
            self.targets[name] for name in self.targets_started_on.get(task, ())
        )
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

    def is_gang_present(self, run: Run) -> bool:
        """Returns whether all members of a run's gang run with its attempt."""
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
        """Counts the start of a task and records the rules that it violates."""
        phase = self.phase_of(task)
        self.starts[task] = self.starts.get(task, 0) + 1
        self.started_s.setdefault(task, []).append(now_s)
        if not phase:
            self.broken.append(f"{task} was never submitted")
            return
        job = task.split(".")[0]
        sent_s = now_s if self.order_sent_s is None else self.order_sent_s
        evacuated_s = self.evacuated_s.get(target.zone, float("inf"))
        if self.crashes.get(task, 0) >= MAX_CRASHES:
            self.excess_starts[task] = self.excess_starts.get(task, 0) + 1
        problems = {
            f"runs twice, at {now_s:.2f} s": bool(self.running(task)),
            "starts after its acknowledged end": bool(
                self.done.get(task) and not phase.get("long_running")
            ),
            "starts although its job was refused": job in self.refused,
            "starts after its last attempt": (
                self.failures.get(task, 0) >= self.attempts.get(job, 99)
            ),
            "starts although it crashes every target": (
                self.excess_starts.get(task, 0) >= EXCESS_STARTS
            ),
            "starts long after its cancellation": (
                now_s > self.cancelled_s.get(job, float("inf")) + CANCEL_GRACE_S
            ),
            f"starts in the evacuated domain {target.zone}": (
                sent_s > evacuated_s + EVACUATION_BOUND_S
            ),
            "starts before an earlier step": self._starts_before_dependencies(
                task, phase
            ),
            "needs a label that the target lacks": (
                phase.get("requirements", "") not in (*target.labels, "")
            ),
            f"exceeds the capacity of {target.id}": self._exceeds_capacity(
                target, task
            ),
        }
        self.broken.extend(
            f"{task} {problem}" for problem, found in problems.items() if found
        )

    def check_acknowledged_end(
        self, target: Any, task: str, ended_s: float
    ) -> None:
        """Records a start after an end as "done" that is acknowledged later.

        An end does not count if the lease of its target has lapsed since.

        Args:
            target: the target that drops the end.
            task: the task that has ended there.
            ended_s: when it ended.
        """
        phase = self.phase_of(task)
        if phase.get("long_running") or phase.get("allow_duplicates"):
            return
        if target.lapsed_s > ended_s:
            return
        late = [at_s for at_s in self.started_s[task] if at_s > ended_s]
        if late:
            self.broken.append(
                f"{task} ended on {target.id} at {ended_s:.2f} s, starts again"
                f" at {late[0]:.2f} s, and the end is acknowledged"
            )

    def _starts_before_dependencies(
        self, task: str, phase: dict[str, Any]
    ) -> bool:
        job, occurrence, _, _ = task.split(".")
        return not all(
            f"{job}.{occurrence}.{earlier}.{index}" in self.done
            for earlier in phase.get("after", ())
            for index in range(self.phases[job][earlier]["count"])
        )

    def _exceeds_capacity(self, target: Any, task: str) -> bool:
        if not any(self.phase_of(task).get(field) for field in target.capacity):
            return False
        used = [self.phase_of(name) for name in (*target.runs, task)]
        return any(
            sum(phase.get(field, 0) for phase in used) > limit
            for field, limit in target.capacity.items()
        )
