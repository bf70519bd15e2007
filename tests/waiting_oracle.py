"""An oracle of work that stands still although it could run.

It looks at the stand-ins only: at what runs on the targets, and at what the
store has. The rule: a task whose turn has come has a run within 3 s if no
disturbance lies in these 3 s and the 4 s before, the targets have room for it
twice over, and under half of their capacity is in use.
"""

import base64
import dataclasses
from collections.abc import Iterator
from typing import Any

import msgspec

from dandelionpick import effects
from dandelionpick.batch import model
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import target_api
from dandelionpick.platform import keys
from standins import platform_targets
from tests import batch_fabric

SAMPLE_PERIOD_S = 0.25
MAX_WAIT_S = 3.0
# The same for tasks that run until they are cancelled, from their last run.
MAX_LASTING_WAIT_S = 6.0
CALM_S = 4.0
# What ran on a target that is gone may be at work there, as far as anybody can
# tell, until its lease has ended on a clock that runs 2% slow.
# The margin is what it takes to notice that it does not answer.
LEASE_S = platform_targets.MAX_LEASE_S * 1.02 + 1.5
# A predecessor may extend leases for this long after a takeover.
PREDECESSOR_S = 3.0
# A new scheduler that lasts for this long has recorded which targets are gone.
RECORD_S = 1.0
# A new scheduler has read the store and listed the targets by then.
TAKEOVER_S = 0.75
USED_SHARE = 0.5
TWICE = 2

_decoder = msgspec.json.Decoder(model.Progress)


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A task that could run and did not.

    Attributes:
        since_s: when it last had no reason to wait.
        others: how many other tasks stood still so at that time.
        moving: how many tasks had a run.
    """

    task: str
    since_s: float
    until_s: float
    starts: int
    others: int
    moving: int


@dataclasses.dataclass
class Takeover:
    """A new scheduler, as the targets see it.

    Attributes:
        gone: targets that were down then and have not come back.
        known: jobs that were accepted before.
        seen: tasks that had a run soon after, or have had one since.
    """

    at_s: float
    gone: set[str]
    known: set[str]
    seen: set[str] = dataclasses.field(default_factory=set)


class WatchedFabric(batch_fabric.Fabric):
    """A simulation that tells to which target a task was last sent.

    Attributes:
        last_starts: target of the last start of a task, and when it was sent.
    """

    def __init__(self, **options: Any):
        self.last_starts: dict[str, tuple[str, float]] = {}
        super().__init__(**options)

    def _perform(
        self, instance: batch_fabric.Instance, effect: effects.Effect
    ) -> None:
        if isinstance(effect, effects.Call) and isinstance(
            effect.message, target_api.StartRun
        ):
            start = effect.message
            task = f"{start.task.job_id}.{start.task.task_name()}"
            self.last_starts[task] = start.target, self.now_s
        super()._perform(instance, effect)


class WaitingOracle:
    """Samples which tasks of the accepted jobs could run and have no run.

    Attributes:
        count_crashed: what the stand-ins do when a target crashes.
        crashed_s: when a target crashed last.
        disturbed_until_s: a disturbance lasts until then.
        finished_s: from then on, no disturbance is a reason to wait.
        idle_since_s: since when a task has had no run and no reason for it.
        takeovers: the latest, and earlier ones with targets that are gone.
        waited_for: targets that were gone at a takeover already.
        epoch: highest fencing token that the targets have seen.
        violations: what was found, in the order of time.
    """

    def __init__(self, fabric: WatchedFabric):
        self.fabric = fabric
        self.crashed_s: dict[str, float] = {}
        self.disturbed_until_s = 0.0
        self.finished_s = float("inf")
        self.idle_since_s: dict[str, float] = {}
        self.takeovers: list[Takeover] = []
        self.waited_for: set[str] = set()
        self.epoch = 0
        self.violations: list[Violation] = []
        self.reported: set[str] = set()
        self.count_crashed = fabric.world.record_crashed_runs
        fabric.world.record_crashed_runs = self._record_crash
        self.fabric.call_later(0.0, self._sample)

    def disturb(self, seconds: float = 0.0) -> None:
        """Records a disturbance that lasts for a while from now."""
        until_s = self.fabric.now_s + seconds
        self.disturbed_until_s = max(self.disturbed_until_s, until_s)

    def _sample(self) -> None:
        self.fabric.call_later(SAMPLE_PERIOD_S, self._sample)
        now_s = self.fabric.now_s
        open_tasks = dict(self._open_tasks())
        idle = {name for name in open_tasks if not self._runs(name)}
        self._record_takeovers()
        usable = list(self._usable_targets())
        half_free = self._is_half_free(usable)
        standing = []
        for name in idle:
            room = half_free and self._has_room(name, idle, usable)
            if not room or now_s < self._may_run_until_s(name):
                self.idle_since_s[name] = now_s
            since_s = self.idle_since_s.setdefault(name, now_s)
            lasts = open_tasks[name].get("long_running", False)
            limit_s = MAX_LASTING_WAIT_S if lasts else MAX_WAIT_S
            calm_s = min(self.disturbed_until_s + CALM_S, self.finished_s)
            if now_s - max(since_s, calm_s) >= limit_s:
                standing.append((name, since_s))
        for name in set(self.idle_since_s) - idle:
            del self.idle_since_s[name]
            self.reported.discard(name)
        for name, since_s in standing:
            if name not in self.reported:
                self.reported.add(name)
                starts = self.fabric.world.starts.get(name, 0)
                moving = len(open_tasks) - len(idle)
                others = len(standing) - 1
                self.violations.append(
                    Violation(name, since_s, now_s, starts, others, moving)
                )

    def _may_run_until_s(self, name: str) -> float:
        """Returns until when a task may be at work on a target that is gone."""
        phase = self.fabric.world.phase_of(name)
        members = _gang_members(name, phase) if phase.get("gang") else [name]
        lost_s = max(map(self._lost_s, members))
        unseen_s = max(
            (
                takeover.at_s
                for takeover in self.takeovers
                if takeover.gone and not self._is_seen(takeover, name, members)
            ),
            default=float("-inf"),
        )
        return max(lost_s + LEASE_S, unseen_s + PREDECESSOR_S + LEASE_S)

    def _lost_s(self, name: str) -> float:
        """Returns when the target crashed to which a task was last sent."""
        target, sent_s = self.fabric.last_starts.get(name, ("", 0.0))
        crashed_s = self.crashed_s.get(target, float("-inf"))
        found = self.fabric.world.targets.get(target)
        if found is not None and not found.up:
            return max(sent_s, crashed_s)
        return crashed_s if crashed_s >= sent_s else float("-inf")

    def _is_seen(
        self, takeover: Takeover, name: str, members: list[str]
    ) -> bool:
        """Returns whether a task can't run where the predecessor started it.

        The new scheduler has seen its run, or the run of a task after which it
        comes, or the job is newer.
        """
        job, _, number, _ = name.split(".")
        if job not in takeover.known or takeover.seen.issuperset(members):
            return True
        phases = self.fabric.world.phases[job]
        return any(
            f"{job}.0.{earlier}.{index}" in takeover.seen
            for earlier in phases[int(number)].get("after", ())
            if not phases[earlier].get("gang")
            and not phases[earlier].get("allow_duplicates")
            for index in range(phases[earlier]["count"])
        )

    def _record_takeovers(self) -> None:
        """Records a change of the scheduler, and what it has seen since."""
        fabric = self.fabric
        targets = fabric.world.targets
        running = {
            name
            for target in targets.values()
            if target.up
            for name in target.runs
        }
        for takeover in self.takeovers:
            takeover.gone = {
                name for name in takeover.gone if not targets[name].up
            }
            if fabric.now_s >= takeover.at_s + TAKEOVER_S:
                takeover.seen |= running
        self.takeovers = [
            it for it in self.takeovers if it.gone or it is self.takeovers[-1]
        ]
        tokens = [it.fencing_token for it in targets.values() if it.up]
        epoch = max(tokens, default=0)
        if epoch <= self.epoch:
            return
        self.epoch = epoch
        if self.takeovers and fabric.now_s < self.takeovers[-1].at_s + RECORD_S:
            self.waited_for -= self.takeovers[-1].gone
        # A target that was gone at an earlier takeover is no new reason.
        gone = {
            name
            for name, crashed_s in self.crashed_s.items()
            if not targets[name].up
            and name not in self.waited_for
            and fabric.now_s - crashed_s < LEASE_S
        }
        self.waited_for |= gone
        prefix = state_lib.JOBS_PREFIX
        known = {
            key.removeprefix(prefix)
            for key, item in fabric.store.items.items()
            if key.startswith(prefix) and item.created <= epoch
        }
        self.takeovers.append(Takeover(fabric.now_s, gone, known))

    def _record_crash(self, target: platform_targets.Target) -> None:
        self.crashed_s[target.id] = self.fabric.now_s
        self.waited_for.discard(target.id)
        if self.takeovers and target.fencing_token < self.epoch:
            # It was cut off at the takeover, and has not been listed since.
            self.takeovers[-1].gone.add(target.id)
            self.waited_for.add(target.id)
        self.count_crashed(target)

    def _open_tasks(self) -> Iterator[tuple[str, dict[str, Any]]]:
        """Yields the tasks whose turn has come, with their step."""
        items = self.fabric.store.items
        prefix = state_lib.JOBS_PREFIX
        for key in [key for key in items if key.startswith(prefix)]:
            job = key.removeprefix(prefix)
            if state_lib.CANCELS_PREFIX + job in items:
                continue
            progress = self._progress_of(job)
            if progress.state in model.ENDED_STATES:
                continue
            phases = self.fabric.world.phases.get(job, [])
            done = [
                self._done_indices(job, number, phase, progress)
                for number, phase in enumerate(phases)
            ]
            for number, phase in enumerate(phases):
                if any(
                    len(done[earlier]) < phases[earlier]["count"]
                    for earlier in phase.get("after", ())
                ):
                    continue
                for index in range(phase["count"]):
                    if index not in done[number]:
                        yield f"{job}.0.{number}.{index}", phase

    def _progress_of(self, job: str) -> model.Progress:
        item = self.fabric.store.items.get(state_lib.PROGRESS_PREFIX + job)
        if item is None:
            return model.Progress()
        return _decoder.decode(base64.b64decode(item.value))

    def _done_indices(
        self,
        job: str,
        number: int,
        phase: dict[str, Any],
        progress: model.Progress,
    ) -> set[int]:
        """Returns the tasks that are done, and whose end can be known."""
        if phase.get("long_running"):
            return set()
        done = set(progress.done.get(f"0.{number}", ()))
        names = {
            f"{job}.0.{number}.{index}": index
            for index in range(phase["count"])
        }
        for target in self.fabric.world.targets.values():
            if target.up:
                for _, name, _, outcome, _ in target.unacknowledged_ends:
                    if outcome == "done" and name in names:
                        done.add(names[name])
        if phase.get("gang") and done:
            return set(names.values())
        return done

    def _runs(self, name: str) -> bool:
        return bool(self.fabric.world.running(name))

    def _usable_targets(self) -> Iterator[platform_targets.Target]:
        """Yields the targets that are ready, sound and reachable."""
        fabric = self.fabric
        instances = [name for name, it in fabric.instances.items() if it.up]
        for target in fabric.world.targets.values():
            if (
                target.up
                and not target.draining
                and not target.fails
                and not target.hangs
                and keys.TARGETS_PREFIX + target.id in fabric.store.items
                and target.zone not in fabric.world.evacuated_s
                and target.id not in fabric.muted_targets
                and target.id not in fabric.replaced_targets
                and not any(
                    frozenset((name, target.id)) in fabric.cut
                    for name in instances
                )
            ):
                yield target

    def _is_half_free(self, usable: list[platform_targets.Target]) -> bool:
        for field in ("cpu", "mem_mb", "gpu"):
            capacity = sum(target.capacity[field] for target in usable)
            used = sum(self._used(target, field) for target in usable)
            if used >= USED_SHARE * capacity:
                return False
        return True

    def _used(self, target: platform_targets.Target, field: str) -> int:
        phases = map(self.fabric.world.phase_of, target.runs)
        return sum(phase.get(field, 0) for phase in phases)

    def _has_room(
        self,
        name: str,
        idle: set[str],
        usable: list[platform_targets.Target],
    ) -> bool:
        """Returns whether the waiting tasks of a step fit twice over."""
        world = self.fabric.world
        phase = world.phase_of(name)
        step = name.rpartition(".")[0]
        members = _gang_members(name, phase)
        waiting = sum(member in idle for member in members)
        fitting = 0
        for target in usable:
            if phase.get("requirements", "") not in (*target.labels, ""):
                continue
            counts = [
                (target.capacity[field] - self._used(target, field))
                // phase[field]
                for field in ("cpu", "mem_mb", "gpu")
                if phase.get(field)
            ]
            if phase.get("anti_affinity"):
                there = sum(run.startswith(f"{step}.") for run in target.runs)
                counts.append(phase["anti_affinity"] - there)
            fitting += max(0, min(counts, default=TWICE * waiting))
        return fitting >= TWICE * waiting


def _gang_members(name: str, phase: dict[str, Any]) -> list[str]:
    step = name.rpartition(".")[0]
    return [f"{step}.{index}" for index in range(phase["count"])]


def describe(violations: list[Violation]) -> str:
    """Returns one line for each violation."""
    return "\n".join(
        f"{it.task} has no run from {it.since_s:.2f} to {it.until_s:.2f},"
        f" {it.starts} runs so far; {it.others} more stand so,"
        f" {it.moving} have a run"
        for it in violations
    )
