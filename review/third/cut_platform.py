"""A platform whose executors can be cut off from the store, and report to it.

It adds to the project's stand-ins: executors that report every heartbeat, whose
entries expire after three; answers to writes that are lost, the writes being
done later; and a record of starts, ends and acknowledged ends, with the moments
at which leases lapse.

Usage: python -m review.third.cut_platform CONFIGURATION EXECUTORS
"""

import asyncio
import random
import sys
import time

from starlette import applications
from starlette import requests as http
from starlette import responses
from starlette import routing

from dandelionpick import inbound_limits
from dandelionpick import server
from standins import platform_serve
from standins import platform_store
from standins import platform_targets

HEARTBEAT_S = 1.5
EXPIRY_S = 3 * HEARTBEAT_S
LATE_S = (1.0, 6.0)
# Longer than any caller waits.
UNANSWERED_S = 5.0


class Store(platform_store.PlatformStore):
    """Loses the answers to a share of the writes, and does these late."""

    lost_until_s = 0.0

    def _loses_reply(self, body: dict) -> bool:
        """Decides by chance, and does the write 1 to 6 s later."""
        if self.now_s >= self.lost_until_s:
            return False
        if self.random.random() >= self.lost_share:
            return False
        at_s = self.now_s + self.random.uniform(*LATE_S)
        self.delayed_writes.append((at_s, body))
        return True


class Executor(platform_targets.Target):
    """Records what happens to its runs.

    Attributes:
        cut: it is partitioned from the store.
        beat_s: when it reported last.
        next_beat_s: when it reports next.
        lapsed_s: when its lease last ran out.
        held: starts that it has left unanswered and not carried out.
        holds: whether it does so with further ones.
        is_new: its present life has not reported yet.
        ended: when and how each run ended, by the number of its end.
    """

    def __init__(self, platform: "Platform", name: str, **fields):
        self.platform = platform
        self.cut = False
        self.beat_s = float("-inf")
        self.next_beat_s = 0.0
        self.lapsed_s = float("-inf")
        self.held: list[dict] = []
        self.holds = False
        self.is_new = True
        self.ended: dict[int, tuple[float, str, str]] = {}
        super().__init__(platform.world, name, **fields)

    def advance(self, now_s: float) -> None:
        """Notes a lease that has run out, whether anything runs or not."""
        super().advance(now_s)
        if self.clock_ms() >= self.lease_ms:
            self.lapsed_s = self.now_s

    def _start(self, body: dict, now_s: float) -> platform_store.Reply:
        is_new = body["task"] not in self.runs
        reply = super()._start(body, now_s)
        if reply[0] == 200 and is_new:
            self.platform.note_start(self, body["task"], body["attempt"])
        return reply

    def end(self, run, outcome: str) -> None:
        """Notes the end of a run."""
        if self.runs.get(run.task) is run:
            self.ended[self.number + 1] = (time.monotonic(), run.task, outcome)
            self.platform.note(f"{self.id}: {run.task} ends {outcome}")
        super().end(run, outcome)

    def _record_acknowledged(self, row: list) -> None:
        ended_s, task, outcome = self.ended[row[0]]
        self.platform.note_end_taken(self, task, outcome, ended_s)
        super()._record_acknowledged(row)


class Platform(platform_serve.Platform):
    """The store, the executors and the record."""

    def __init__(self, configuration: str):
        super().__init__(configuration)
        self.store = Store(seed=random.randrange(1 << 30))
        self.store.put(platform_serve.CONFIGURATION_KEY, configuration.encode())
        self.began_s = time.monotonic()
        self.lines: list[str] = []
        self.broken: list[str] = []
        self.starts: dict[str, list[float]] = {}
        self.holds_next = False

    def note(self, text: str) -> None:
        """Adds a line to the record."""
        self.lines.append(f"{time.monotonic():.3f} {text}")

    def note_start(self, executor: Executor, task: str, attempt: int) -> None:
        """Records a start."""
        self.starts.setdefault(task, []).append(time.monotonic())
        self.note(f"{executor.id}: {task} starts, attempt {attempt}")
        others = [
            other.id
            for other in self.world.targets.values()
            if other is not executor and other.up and task in other.runs
        ]
        if others:
            text = f"{task} runs on {executor.id} and on {others[0]}"
            self.note(f"TWICE: {text}")
            self.broken.append(text)

    def note_end_taken(
        self, executor: Executor, task: str, outcome: str, ended_s: float
    ) -> None:
        """Records that an end is taken note of, and checks TWICE."""
        lapsed = executor.lapsed_s > ended_s
        self.note(
            f"{executor.id}: the end {outcome} of {task} is taken note of"
            + (", after its lease has lapsed" if lapsed else "")
        )
        later = [at_s for at_s in self.starts.get(task, []) if at_s > ended_s]
        if outcome == "done" and later and not lapsed:
            text = (
                f"{task} ended done on {executor.id}, started again"
                f" {later[0] - ended_s:.3f} s later, and that end is taken"
                " note of"
            )
            self.note(f"TWICE: {text}")
            self.broken.append(text)

    def add_target(self, number: int, address: str) -> None:
        """Adds an executor, which reports for the first time."""
        executor = Executor(
            self,
            f"target-{number}",
            rack=f"r{number // platform_serve.TARGETS_PER_RACK + 1}",
            now_s=time.monotonic(),
        )
        executor.address = address
        executor.next_beat_s = time.monotonic() + random.uniform(
            0.0, HEARTBEAT_S
        )

    async def run_clock(self) -> None:
        """Advances executors and store with the real time."""
        while True:
            now_s = time.monotonic()
            for executor in self.world.targets.values():
                self._report(executor, now_s)
            self.world.advance(now_s)
            self.store.advance(now_s)
            await asyncio.sleep(platform_serve.TICK_S)

    def _report(self, executor: Executor, now_s: float) -> None:
        """Lets an executor write its entry, or the entry expire."""
        key = f"servers/{executor.id}"
        if now_s >= executor.next_beat_s:
            executor.next_beat_s += HEARTBEAT_S
            if executor.up and not executor.cut:
                executor.beat_s = now_s
                if key not in self.store.items or executor.is_new:
                    executor.is_new = False
                    self.store.put(key, executor.entry())
                    self.note(f"{executor.id}: has an entry")
        if now_s - executor.beat_s > EXPIRY_S and key in self.store.items:
            self.store.remove(key)
            self.note(f"{executor.id}: its entry has expired")

    async def serve_target(
        self, number: int, request: http.Request
    ) -> responses.Response:
        """Leaves calls unanswered that a disturbance concerns."""
        executor = self.world.targets[f"target-{number}"]
        if executor.up and request.url.path == "/run-start":
            if self.holds_next:
                self.holds_next = False
                executor.holds = True
            if executor.holds:
                body = await request.json()
                executor.held.append(body)
                self.note(f"{executor.id}: leaves {body['task']} unanswered")
                await asyncio.sleep(UNANSWERED_S)
                return responses.Response(status_code=500)
        if not executor.up:
            await asyncio.sleep(UNANSWERED_S)
            return responses.Response(status_code=500)
        return await super().serve_target(number, request)

    async def restart(self, executor: Executor, down_s: float) -> None:
        """Crashes an executor, whose next life carries held starts out."""
        self.note(f"{executor.id}: crashes")
        executor.crash()
        executor.holds = False
        await asyncio.sleep(down_s)
        executor.boot(time.monotonic())
        executor.is_new = True
        executor.next_beat_s = time.monotonic() + random.uniform(
            0.0, HEARTBEAT_S
        )
        self.note(f"{executor.id}: is back under its id")
        held, executor.held = executor.held, []
        for body in held[:1]:
            self.note(f"{executor.id}: carries the held start out")
            executor.serve(
                "/run-start", body, time.monotonic(), lambda reply: None
            )

    async def control(self, request: http.Request) -> responses.Response:
        """Begins or ends disturbances."""
        body = await request.json()
        for name, executor in self.world.targets.items():
            if "cut" in body:
                executor.cut = name in body["cut"]
        if "lost_share" in body:
            self.store.lost_share = body["lost_share"]
            self.store.lost_until_s = time.monotonic() + body["for_s"]
        self.holds_next = body.get("holds_next", self.holds_next)
        if "restart" in body:
            executor = self.world.targets[body["restart"]]
            self.restarts = asyncio.ensure_future(
                self.restart(executor, body["down_s"])
            )
        self.note(f"disturbance: {body}")
        return responses.JSONResponse({})

    async def show(self, request: http.Request) -> responses.Response:
        """Returns the record, and which runs are at work where."""
        running = {
            name: list(executor.runs)
            for name, executor in self.world.targets.items()
        }
        held = {
            name: [body["task"] for body in executor.held]
            for name, executor in self.world.targets.items()
            if executor.held
        }
        return responses.JSONResponse(
            {
                "lines": self.lines,
                "broken": self.broken,
                "running": running,
                "held": held,
            }
        )

    def store_app(self):
        """Adds the control and the record to the store's application."""
        return applications.Starlette(
            routes=[
                routing.Route("/control", self.control, methods=["POST"]),
                routing.Route("/record", self.show),
                routing.Mount("/", super().store_app()),
            ]
        )


async def main(configuration: str, executors: int) -> None:
    """Serves until the process is stopped."""
    platform = Platform(configuration)
    store = server.bind("127.0.0.1:0")
    apps = {store: platform.store_app()}
    for number in range(executors):
        listener = server.bind("127.0.0.1:0")
        apps[listener] = platform.target_app(number)
        platform.add_target(number, server.address_of(listener))
    stopped = asyncio.Event()
    running = asyncio.ensure_future(platform.run_clock())
    print(f"listening on {server.address_of(store)}", flush=True)
    await server.serve_until(
        server.route_by_port(apps),
        list(apps),
        stopped,
        stopped.set,
        inbound_limits.InboundLimits(),
    )
    running.cancel()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
