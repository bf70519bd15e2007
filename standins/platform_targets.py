"""Stand-ins for the platform's targets.

A task's payload is JSON: `work_s` is its amount of work in seconds, and `fails`
the number of its first starts that fail. With `crashes`, the first task of each
step crashes its target soon after it has started.
"""

import dataclasses
import json
from typing import Any

from standins import platform_oracle
from standins import platform_store

MIN_CLOCK_RATE = 0.98
STOP_S = 0.1
GANG_TIMEOUT_S = 3.0
MAX_LEASE_S = 10.0
MAX_ENDS_PER_LISTING = 500
# Time from the start of a task that crashes its target to the crash.
CRASH_AFTER_S = 0.01
# Factor on the run time of work in the wrong rack or of a gang across racks.
REMOTE_FACTOR = 3.0


@dataclasses.dataclass
class WaitingListing:
    """A request for a listing that waits until a run ends."""

    acknowledged: int
    expires_s: float
    done: platform_store.ReplyCallback


class Target:
    """A target that starts the tasks that the scheduler orders.

    Attributes:
        address: address in its entry.
        up: whether it answers and its runs make progress.
        hangs: whether its runs make no progress.
        fails: whether all its runs fail.
        fails_after_s: time from a start to that failure.
        speed: seconds of work done per second.
        cold_until_s: until when its entry says that it is cold.
        stop_s: seconds from the request to stop a run to its end.
        leaves_s: when it will be taken away; inf if that is not planned.
        clock_rate: speed of its clock relative to real time.
        fencing_token: highest fencing token that it has seen.
        advanced_s: when its runs were last advanced.
        lease_ms: when the lease of all its runs ends, on its clock.
        lapsed_s: when its lease was last seen to have ended, whether anything
            ran or not.
        ended_s: when each run ended, by the number of its end.
        number: sequence number of the last end.
        last_ended_attempt: highest attempt that was stopped or ended, by task.
    """

    def __init__(
        self,
        world: platform_oracle.World,
        target_id: str,
        pool: str = "pool",
        zone: str = "a",
        rack: str = "r1",
        capacity: dict[str, int] | None = None,
        now_s: float = 0.0,
    ):
        self.world = world
        self.id = target_id
        self.pool = pool
        self.zone = zone
        self.labels = ["kind", rack]
        self.capacity = capacity or {"cpu": 64_000, "mem_mb": 131_072, "gpu": 8}
        self.address = f"{target_id}:80"
        self.up = True
        self.hangs = False
        self.fails = False
        self.fails_after_s = 0.0
        self.draining = False
        self.leaves_s = float("inf")
        self.speed = 1.0
        self.cold_until_s = 0.0
        self.stop_s = STOP_S
        self.clock_rate = 1.0
        world.targets[target_id] = self
        self.boot(now_s)

    def boot(self, now_s: float) -> None:
        """Starts the target with empty state, as after a reboot."""
        self.up = True
        self.born_s = now_s
        self.now_s = now_s
        self.advanced_s = now_s
        self.fencing_token = 0
        self.lease_ms = 0.0
        self.lapsed_s = now_s
        self.ended_s: dict[int, float] = {}
        self.runs: dict[str, platform_oracle.Run] = {}
        self.unacknowledged_ends: list[list[Any]] = []
        self.number = 0
        self.last_ended_attempt: dict[str, int] = {}
        self.waiting: list[WaitingListing] = []

    def crash(self) -> None:
        """Loses all runs and answers no waiting request."""
        self.up = False
        self.world.record_crashed_runs(self)
        self.runs.clear()
        self.waiting.clear()

    def entry(self) -> bytes:
        """Returns the value of its entry in the store."""
        remaining: dict[str, int] = {}
        if self.leaves_s < float("inf"):
            left_s = max(0.0, self.leaves_s - self.now_s)
            remaining["remaining_ms"] = int(left_s * 1_000)
        return json.dumps(
            {
                **remaining,
                "service": self.pool,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "cold_remaining_ms": 1_000
                * max(0.0, self.cold_until_s - self.now_s),
                "capacity": self.capacity,
                "labels": self.labels,
                "clock_ms": self.clock_ms(),
                "sequence": 1,
                "born": self.boot_ms(),
            }
        ).encode()

    def boot_ms(self) -> int:
        """Returns the Unix time of its last boot in milliseconds."""
        return int(self.born_s * 1_000) + 1

    def clock_ms(self) -> int:
        """Returns the milliseconds since its boot on its own clock."""
        return int((self.now_s - self.born_s) * 1_000 * self.clock_rate)

    def serve(
        self,
        path: str,
        body: dict[str, Any],
        now_s: float,
        done: platform_store.ReplyCallback,
    ) -> None:
        """Serves a request; one with an outdated fencing token is refused."""
        if not self.world.advance(now_s):
            # Its clock goes on; its runs are advanced with those of all.
            self.now_s = max(self.now_s, now_s)
        if body["fencing_token"] < self.fencing_token:
            done((409, {"clock_ms": self.clock_ms(), "reason": "fence"}))
            return
        self.fencing_token = body["fencing_token"]
        if path == "/hold":
            self._hold(body, now_s, done)
        elif path == "/run-start":
            done(self._start(body, now_s))
        elif path == "/run-stop":
            done(self._stop(body, now_s))
        else:
            done((404, {}))

    def _extend(self, deadline_ms: Any) -> None:
        if deadline_ms is not None:
            longest = self.clock_ms() + MAX_LEASE_S * 1_000
            self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    def _start(
        self, body: dict[str, Any], now_s: float
    ) -> platform_store.Reply:
        task, attempt = body["task"], body["attempt"]
        clock = {"clock_ms": self.clock_ms()}
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {**clock, "reason": "late"}
        self._extend(body["deadline_ms"])
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            return 200, clock
        if attempt <= self.last_ended_attempt.get(task, 0) or run is not None:
            return 409, {**clock, "reason": "old"}
        self.world.check_start(self, task, now_s)
        self.world.targets_started_on.setdefault(task, set()).add(self.id)
        payload = json.loads(body["spec"] or "{}")
        self.runs[task] = platform_oracle.Run(task, attempt, payload, now_s)
        return 200, clock

    def _stop(self, body: dict[str, Any], now_s: float) -> platform_store.Reply:
        task, attempt = body["task"], body["attempt"]
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt:
            run.stop_at_s = min(run.stop_at_s, now_s + self.stop_s)
        self.last_ended_attempt[task] = max(
            self.last_ended_attempt.get(task, 0), attempt
        )
        return 200, {"clock_ms": self.clock_ms()}

    def _hold(
        self,
        body: dict[str, Any],
        now_s: float,
        done: platform_store.ReplyCallback,
    ) -> None:
        self._extend(body.get("deadline_ms"))
        for row in self.unacknowledged_ends:
            if row[0] <= body["acked_through"]:
                self._record_acknowledged(row)
        self.unacknowledged_ends = [
            row
            for row in self.unacknowledged_ends
            if row[0] > body["acked_through"]
        ]
        ends_s = now_s + body.get("wait_ms", 0) / 1_000
        self.waiting.append(WaitingListing(body["acked_through"], ends_s, done))
        self._answer_listings()

    def _record_acknowledged(self, row: list[Any]) -> None:
        number, task, _, outcome, _ = row
        if outcome == "done":
            self.world.done[task] = True
            self.world.check_acknowledged_end(self, task, self.ended_s[number])
        elif outcome == "failed":
            count = self.world.failures.get(task, 0)
            self.world.failures[task] = count + 1

    def _answer_listings(self) -> None:
        waiting, self.waiting = self.waiting, []
        for listing in waiting:
            if not self.unacknowledged_ends and self.now_s < listing.expires_s:
                self.waiting.append(listing)
                continue
            listing.done((200, self._listing()))

    def _listing(self) -> dict[str, Any]:
        running = [
            [
                run.task,
                run.attempt,
                self._checkpoint(run),
                self._progress_percent(run),
            ]
            for run in self.runs.values()
        ]
        return {
            "clock_ms": self.clock_ms(),
            "born": self.boot_ms(),
            "running": running,
            "finished": self.unacknowledged_ends[:MAX_ENDS_PER_LISTING],
        }

    def _progress_percent(self, run: platform_oracle.Run) -> int:
        return int(100 * run.worked_s / run.payload.get("work_s", 1.0))

    def _checkpoint(self, run: platform_oracle.Run) -> str:
        phase = self.world.phase_of(run.task)
        return str(run.worked_s) if phase.get("checkpointing") else ""

    def end(self, run: platform_oracle.Run, outcome: str) -> None:
        """Ends a run, and with it the runs of the other members of its gang."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.number += 1
        self.ended_s[self.number] = self.now_s
        checkpoint = self._checkpoint(run) if outcome == "stopped" else ""
        self.unacknowledged_ends.append(
            [self.number, run.task, run.attempt, outcome, checkpoint]
        )
        self.last_ended_attempt[run.task] = max(
            self.last_ended_attempt.get(run.task, 0), run.attempt
        )
        if outcome == "done":
            self.world.done.setdefault(run.task, False)
        else:
            self.world.record_wasted(run)
        if self.world.phase_of(run.task).get("gang"):
            self._end_members(run, outcome)

    def _end_members(self, run: platform_oracle.Run, outcome: str) -> None:
        member_outcome = "done" if outcome == "done" else "broken"
        for name in self.world.gang_of(run):
            for target, other in self.world.running(name):
                if other.attempt == run.attempt:
                    target.end(other, member_outcome)

    def advance(self, now_s: float) -> None:
        """Advances its runs, which work, stop, fail, lapse or complete."""
        elapsed_s = max(0.0, now_s - self.advanced_s)
        self.now_s = max(self.now_s, now_s)
        self.advanced_s = max(self.advanced_s, now_s)
        if not self.up:
            return
        has_lapsed = self.clock_ms() >= self.lease_ms
        if has_lapsed:
            self.lapsed_s = self.now_s
        if has_lapsed and self.runs:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
            # Ends from before the lapse no longer count as acknowledged.
            for row in self.unacknowledged_ends:
                if row[3] == "done":
                    self.world.done[row[1]] = False
        for run in list(self.runs.values()):
            if self._crashes_target(run):
                self.world.record_crash(self, run)
                self.crash()
                return
        for run in list(self.runs.values()):
            self._advance_run(run, elapsed_s, now_s)
        self._answer_listings()

    def _crashes_target(self, run: platform_oracle.Run) -> bool:
        return (
            run.payload.get("crashes", False)
            and run.task.endswith(".0")
            and self.now_s >= run.started_s + CRASH_AFTER_S
        )

    def _advance_run(
        self, run: platform_oracle.Run, elapsed_s: float, now_s: float
    ) -> None:
        if now_s >= run.stop_at_s:
            self.end(run, "stopped")
            return
        phase = self.world.phase_of(run.task)
        if phase.get("gang") and not self.world.is_gang_present(run):
            return
        fails = self.fails and now_s >= run.started_s + self.fails_after_s
        if fails or self._fails_attempt(run):
            self.end(run, "failed")
            return
        if not self.hangs:
            factor = REMOTE_FACTOR if self._is_remote(run, phase) else 1.0
            run.worked_s += elapsed_s * self.speed / factor
        work_s = run.payload.get("work_s", 1.0)
        run.worked_s = min(run.worked_s, work_s)
        if run.worked_s >= work_s and self.world.is_done(run, phase):
            self.end(run, "done")

    def _is_remote(
        self, run: platform_oracle.Run, phase: dict[str, Any]
    ) -> bool:
        rack = self.labels[-1]
        if phase.get("affinity", rack) != rack:
            return True
        return bool(phase.get("same_rack")) and any(
            target.labels[-1] != rack
            for name in self.world.gang_of(run)
            for target, _ in self.world.running(name)
        )

    def _fails_attempt(self, run: platform_oracle.Run) -> bool:
        fails = run.payload.get("fails", 0)
        return self.world.starts.get(run.task, 0) <= fails

    def end_incomplete_gangs(self, now_s: float) -> None:
        """Ends runs that waited too long for other members of their gang."""
        for run in list(self.runs.values()):
            if (
                self.world.phase_of(run.task).get("gang")
                and not run.worked_s
                and now_s - run.started_s > GANG_TIMEOUT_S
                and not self.world.is_gang_present(run)
            ):
                self.end(run, "alone")
