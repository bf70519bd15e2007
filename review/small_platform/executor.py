"""Stand-in of an executor, as PROTOCOL.md describes it.

It starts what it is told (`preconditions` is false), under the newest fencing
token that it has seen. The judge learns of each start and each end.
"""

import asyncio
import dataclasses
import json
import time
from typing import Any

from review.small_platform import http_server
from review.small_platform import store as store_lib

HEARTBEAT_S = 1.5
ENTRY_TTL_S = 3 * HEARTBEAT_S
HOLD_MAX_MS = 10_000
STOP_S = 0.2
DRAIN_MS = 2_500
TICK_S = 0.01
CAPACITY = {"cpu": 64_000, "mem_mb": 128_000, "gpu": 8}


@dataclasses.dataclass
class Run:
    """A run in progress; `work_s` is the length of its work."""

    task: str
    attempt: int
    work_s: float
    started_s: float
    stop_at_s: float = float("inf")


class Executor:
    """One executor, which may start again under its id.

    Attributes:
        up: whether its process runs.
        store_cut: whether it is cut off from the store.
        draining: whether it has reported that it drains.
        reported_s: when it last wrote its entry.
    """

    def __init__(
        self, name: str, store: store_lib.Store, judge: Any, record: Any
    ):
        self.id = name
        self.store = store
        self.judge = judge
        self.record = record
        self.server = http_server.Server(self._handle)
        self.sequence = 0
        self.up = False
        self.store_cut = False
        self.draining = False
        self.reported_s = time.monotonic()
        self.next_report_s = 0.0
        self.ended = asyncio.Condition()
        self._boot()

    def _boot(self) -> None:
        """Begins a lifetime that holds and knows nothing of before."""
        self.born_s = time.monotonic()
        self.born_ms = time.time_ns() // 1_000_000
        self.fence = 0
        self.lease_ms = 0
        self.runs: dict[str, Run] = {}
        self.ends: list[list[Any]] = []
        self.ends_born_s: dict[int, float] = {}
        self.number = 0
        self.highest: dict[str, int] = {}
        self.lapses: list[float] = []

    async def start(self) -> None:
        """Starts for the first time and registers."""
        await self.server.start()
        self.up = True
        self.next_report_s = time.monotonic()

    async def crash(self) -> None:
        """Ends the process; the machine resets its connections."""
        self.up = False
        self.record(f"{self.id}: crashes")
        await self.server.stop()
        for run in list(self.runs.values()):
            self.judge.ended(run.task, run.attempt, self.id, "crashed")
        self.runs.clear()

    async def start_again(self, report_after_s: float) -> None:
        """Starts again under the same id and address.

        Args:
            report_after_s: when it writes its entry, which is at most one
                heartbeat after it has begun to listen.
        """
        assert report_after_s <= HEARTBEAT_S
        self._boot()
        await self.server.start(int(self.server.address.rpartition(":")[2]))
        self.up = True
        self.next_report_s = time.monotonic() + report_after_s
        self.record(f"{self.id}: is up again, born {self.born_ms}")

    def clock_ms(self) -> int:
        """Returns the milliseconds of its own clock."""
        return int((time.monotonic() - self.born_s) * 1_000)

    async def run(self) -> None:
        """Does the work, and reports to the store each heartbeat."""
        while True:
            await asyncio.sleep(TICK_S)
            if self.up:
                await self._advance()
            now_s = time.monotonic()
            if now_s >= self.next_report_s:
                self.next_report_s = max(
                    now_s, self.next_report_s + HEARTBEAT_S
                )
                if self.up and not self.store_cut:
                    await self._report()
            await self._expire_entry(now_s)

    async def _expire_entry(self, now_s: float) -> None:
        """Lets the store remove the entry after three heartbeats of silence."""
        key = f"servers/{self.id}"
        silent = now_s - self.reported_s > ENTRY_TTL_S
        if silent and self.store.value_of(key):
            self.record(f"{self.id}: its entry expires")
            await self.store.remove(key)

    async def drain(self) -> None:
        """Reports that it drains; it goes on serving what it has."""
        self.draining = True
        self.record(f"{self.id}: reports that it drains")
        self.next_report_s = time.monotonic() + HEARTBEAT_S
        await self._report()

    async def _report(self) -> None:
        self.sequence += 1
        self.reported_s = time.monotonic()
        entry = {
            "service": "pool",
            "address": self.server.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "capacity": CAPACITY,
            "labels": ["kind", "r1"],
            "born": self.born_ms,
        }
        if self.draining:
            entry["remaining_ms"] = DRAIN_MS
        known = self.store.value_of(f"servers/{self.id}")
        if known and json.loads(known)["born"] != self.born_ms:
            self.record(f"{self.id}: reports its new start to the store")
        await self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def _advance(self) -> None:
        now_s = time.monotonic()
        if self.runs and self.clock_ms() >= self.lease_ms:
            self.lapses.append(now_s)
            for run in list(self.runs.values()):
                await self._end(run, "lapsed")
        for run in list(self.runs.values()):
            if now_s >= run.stop_at_s:
                await self._end(run, "stopped")
            elif now_s >= run.started_s + run.work_s:
                await self._end(run, "done")

    async def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.number += 1
        self.ends.append([self.number, run.task, run.attempt, how, ""])
        self.ends_born_s[self.number] = time.monotonic()
        self._raise_highest(run.task, run.attempt)
        self.judge.ended(run.task, run.attempt, self.id, how)
        async with self.ended:
            self.ended.notify_all()

    def _raise_highest(self, task: str, attempt: int) -> None:
        self.highest[task] = max(self.highest.get(task, 0), attempt)

    async def _handle(
        self, method: str, path: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any] | None:
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = token
        if path == "/run-start":
            return self._start(body)
        if path == "/run-stop":
            return self._stop(body)
        if path == "/hold":
            return await self._hold(body)
        return 404, {}

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            longest = self.clock_ms() + HOLD_MAX_MS
            self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    def _start(self, body: Any) -> tuple[int, Any]:
        task, attempt = body["task"], body["attempt"]
        if body["deadline_ms"] <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self._extend(body["deadline_ms"])
        present = self.runs.get(task)
        if present is not None and present.attempt == attempt:
            return 200, {"clock_ms": self.clock_ms()}
        if present is not None or attempt <= self.highest.get(task, 0):
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        work_s = json.loads(body["spec"])["work_s"]
        self.runs[task] = Run(task, attempt, work_s, time.monotonic())
        self.judge.started(task, attempt, self.id, body["spec"])
        return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, body: Any) -> tuple[int, Any]:
        task, attempt = body["task"], body["attempt"]
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt:
            stop_at_s = time.monotonic() + STOP_S
            run.stop_at_s = min(run.stop_at_s, stop_at_s)
            self.record(f"{self.id}: is told to stop {task} run {attempt}")
        self._raise_highest(task, attempt)
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, body: Any) -> tuple[int, Any]:
        self._extend(body.get("deadline_ms"))
        for row in self.ends:
            if row[0] <= body["acked_through"]:
                ended_s = self.ends_born_s[row[0]]
                if not any(lapse_s >= ended_s for lapse_s in self.lapses):
                    self.judge.noted(row[1], row[2], row[3])
        self.ends = [r for r in self.ends if r[0] > body["acked_through"]]
        born_ms = self.born_ms
        left_s = body.get("wait_ms", 0) / 1_000
        if not self.ends and left_s:
            try:
                async with asyncio.timeout(left_s), self.ended:
                    await self.ended.wait()
            except TimeoutError:
                pass
        if self.born_ms != born_ms:
            return 421, {"clock_ms": self.clock_ms()}
        now_s = time.monotonic()
        running = [
            [
                run.task,
                run.attempt,
                "",
                int(100 * min(1.0, (now_s - run.started_s) / run.work_s)),
                1_000,
            ]
            for run in self.runs.values()
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            "running": running,
            "finished": self.ends[:500],
        }
