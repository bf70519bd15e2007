"""A stand-in of an executor that runs work items, as PROTOCOL.md describes it.

The spec of a job is JSON; `work_s` is the work of each work item in seconds.
"""

import asyncio
import dataclasses
import json
import time
from typing import Any

from review.stand_ins import ledger as ledger_lib

MAX_LEASE_MS = 10_000.0
MAX_ENDS = 500
STOP_S = 0.2


@dataclasses.dataclass
class Run:
    """A run on a worker."""

    task: str
    attempt: int
    work_s: float
    started_s: float
    stop_at_s: float = float("inf")

    def percent(self, now_s: float) -> int:
        """Returns how much of the work is done."""
        done = (now_s - self.started_s) / self.work_s
        return min(100, int(100 * done))


class Worker:
    """An executor; one life of it at a time.

    Attributes:
        peers: all workers, for the check of TWICE.
        labels: its kind and its rack.
        state: `ready` or `draining`.
        up: whether it runs.
        refuses: whether it answers each order with 503, and does nothing.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        labels: list[str],
        ledger: ledger_lib.Ledger,
        peers: "dict[str, Worker]",
        capacity: dict[str, int],
    ):
        self.name = name
        self.zone = zone
        self.labels = labels
        self.ledger = ledger
        self.peers = peers
        self.capacity = capacity
        self.address = ""
        self.sequence = 0
        self.refuses = False
        peers[name] = self
        self.boot()

    def boot(self) -> None:
        """Starts a life: nothing runs, and no fencing token was seen."""
        self.up = True
        self.state = "ready"
        self.boot_s = time.monotonic()
        self.born = int(time.time() * 1_000)
        self.token = 0
        self.lease_ms = 0.0
        self.lapses_s: list[float] = []
        self.runs: dict[str, Run] = {}
        self.number = 0
        self.ends: list[tuple[list[Any], ledger_lib.End]] = []
        self.last_ended: dict[str, int] = {}
        self.changed = asyncio.Event()

    def crash(self) -> None:
        """Ends the life; what runs is gone."""
        self.up = False
        for run in self.runs.values():
            self.ledger.write(
                "gone", task=run.task, attempt=run.attempt, worker=self.name
            )
        self.runs.clear()
        self.changed.set()

    def entry(self) -> bytes:
        """Returns its entry in the store."""
        self.sequence += 1
        fields = {
            "service": "fitting-desk",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "capacity": self.capacity,
            "labels": self.labels,
            "born": self.born,
        }
        if self.state == "draining":
            fields["remaining_ms"] = 2_500
        return json.dumps(fields).encode()

    def clock_ms(self) -> int:
        """Returns its steady clock."""
        return int((time.monotonic() - self.boot_s) * 1_000)

    async def serve(
        self, method: str, path: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        """Serves an order; None if there is no reply."""
        if not self.up:
            return None
        self.advance()
        if self.refuses:
            self.ledger.write("refused", worker=self.name, path=path)
            return 503, {}
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        token = body.get("fencing_token", 0)
        if token < self.token:
            self.ledger.write(
                "fenced", worker=self.name, path=path, token=token
            )
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = token
        return await self._obey(path, body)

    async def _obey(
        self, path: str, body: dict[str, Any]
    ) -> tuple[int, Any] | None:
        if path == "/hold":
            return await self._hold(body)
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            return self._stop(body)
        return 404, {}

    def _extend(self, deadline_ms: float | None) -> None:
        clock_ms = self.clock_ms()
        if self.lease_ms and clock_ms > self.lease_ms:
            self.lapses_s.append(self.ledger.now_s())
        if deadline_ms is not None:
            longest = clock_ms + MAX_LEASE_MS
            self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    def _start(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, attempt = body["task"], body["attempt"]
        clock = {"clock_ms": self.clock_ms()}
        if body["deadline_ms"] <= clock["clock_ms"]:
            return 409, {**clock, "reason": "late"}
        self._extend(body["deadline_ms"])
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            return 200, clock
        if run is not None or attempt <= self.last_ended.get(task, 0):
            return 409, {**clock, "reason": "old"}
        self._check_start(task, attempt, body["fencing_token"])
        work_s = json.loads(body["spec"])["work_s"]
        self.runs[task] = Run(task, attempt, work_s, time.monotonic())
        return 200, clock

    def _check_start(self, task: str, attempt: int, token: int) -> None:
        ledger = self.ledger
        at_s = ledger.now_s()
        ledger.starts.append(ledger_lib.Start(task, attempt, self.name, at_s))
        ledger.write(
            "start", task=task, attempt=attempt, worker=self.name, token=token
        )
        for other in self.peers.values():
            other.advance()
            run = other.runs.get(task)
            if other is not self and other.up and run is not None:
                ledger.record_broken(
                    "TWICE",
                    f"{task} runs on {other.name} as attempt {run.attempt}"
                    f" (token {other.token}) while attempt {attempt} starts on"
                    f" {self.name} (token {token})",
                )
        label = ledger.phase_of(task).get("requirements", "")
        if label and label not in self.labels:
            ledger.record_broken(
                "ROUTE",
                f"{task} requires {label!r} and starts on {self.name}, whose"
                f" labels are {self.labels}",
            )

    def _stop(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, attempt = body["task"], body["attempt"]
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt:
            run.stop_at_s = min(run.stop_at_s, time.monotonic() + STOP_S)
        self.last_ended[task] = max(self.last_ended.get(task, 0), attempt)
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any] | None:
        self._extend(body.get("deadline_ms"))
        self._take_note(body["acked_through"])
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1_000
        while self.up and not self.ends and time.monotonic() < until_s:
            self.changed.clear()
            try:
                async with asyncio.timeout(until_s - time.monotonic()):
                    await self.changed.wait()
            except TimeoutError:
                break
        if not self.up:
            return None
        now_s = time.monotonic()
        running = [
            [run.task, run.attempt, "", run.percent(now_s), 0]
            for run in self.runs.values()
        ]
        finished = [row for row, _ in self.ends[:MAX_ENDS]]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "finished": finished,
        }

    def _take_note(self, acked_through: int) -> None:
        now_s = self.ledger.now_s()
        noted = [end for row, end in self.ends if row[0] <= acked_through]
        for end in noted:
            end.noted_s = now_s
            end.excused = any(end.at_s < at_s for at_s in self.lapses_s)
        if noted:
            self.ledger.write(
                "acked",
                worker=self.name,
                through=acked_through,
                ends=len(noted),
            )
        self.ends = [pair for pair in self.ends if pair[0][0] > acked_through]

    def advance(self) -> None:
        """Ends the runs that are done, stopped or without a lease."""
        if not self.up:
            return
        now_s = time.monotonic()
        lapsed = bool(self.runs) and self.clock_ms() >= self.lease_ms
        for run in list(self.runs.values()):
            if lapsed:
                self._end(run, "lapsed")
            elif now_s >= run.stop_at_s:
                self._end(run, "stopped")
            elif now_s >= run.started_s + run.work_s:
                self._end(run, "done")
        if lapsed:
            self.lapses_s.append(self.ledger.now_s())

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.number += 1
        end = ledger_lib.End(
            run.task, run.attempt, self.name, how, self.ledger.now_s()
        )
        self.ledger.ends.append(end)
        row = [self.number, run.task, run.attempt, how, ""]
        self.ends.append((row, end))
        self.last_ended[run.task] = max(
            self.last_ended.get(run.task, 0), run.attempt
        )
        self.ledger.write(
            "end",
            task=run.task,
            attempt=run.attempt,
            worker=self.name,
            how=how,
            number=self.number,
        )
        self.changed.set()
