"""The platform's stand-in, with faults that the soak controls.

Usage: python -m soak.platform CONFIGURATION TARGETS SEED. To the stand-in of
`standins.platform_serve` it adds targets that report every heartbeat, and whose
entries expire without it, and faults of the store and of targets.
"""

import asyncio
import collections
import dataclasses
import json
import random
import sys
import time
from typing import Any

from starlette import applications
from starlette import requests as http
from starlette import responses
from starlette import routing
from starlette import types

from dandelionpick.platform import keys as platform_keys
from soak import drains
from soak import plan
from standins import platform_serve
from standins import platform_store
from standins import platform_targets

HEARTBEAT_S = 1.5
EXPIRY_S = 3 * HEARTBEAT_S
# Speed of the targets' clocks; leases end by these.
CLOCK_RATES = (0.98, 1.0)
# Orders without a reply are carried out that much later.
LATE_ORDER_S = (2.0, 12.0)
LATE_WRITE_S = 3.0
LOST_SHARE = 0.5
SLOW_SPEED = 0.2
ORDERS = ("/run-start", "/run-stop")
OUTAGES = {
    plan.StoreAction.REFUSE: platform_store.Outage.BUSY,
    plan.StoreAction.SILENCE: platform_store.Outage.SILENT,
}
ODD_ENTRIES = (
    b"[" * 100_000,
    b'{"service": "pool", "address": "127.0.0.1:99999999"}',
    b'{"service": "pool", "capacity": {"gpu": 1e999}, "born": 1e400}',
    b"\xff\xfe",
)


class Target(platform_targets.Target):
    """A target that may be silent or late, or leave.

    Attributes:
        action: the present fault.
        reported_s: when it reported last.
        has_news: whether its entry has to be written again.
        drain: is set while its entry says that it leaves.
    """

    def __init__(self, *args: Any, **fields: Any):
        self.action: plan.TargetAction | None = None
        self.reported_s = float("-inf")
        self.has_news = True
        self.drain: drains.Drain | None = None
        super().__init__(*args, **fields)

    def begin(self, action: plan.TargetAction) -> None:
        """Begins a fault in place of the present one."""
        if self.action is not None:
            self.end_fault(self.action)
        self.action = action
        match action:
            case plan.TargetAction.CRASH:
                self.crash()
            case plan.TargetAction.SLOW:
                self.speed = SLOW_SPEED
            case plan.TargetAction.FAIL_RUNS:
                self.fails = True
            case plan.TargetAction.DRAIN:
                self.draining = self.has_news = True

    def end_fault(self, action: plan.TargetAction) -> None:
        """Ends a fault, unless another one has taken its place.

        A target that has crashed or left starts again, empty.
        """
        if self.action is not action:
            return
        if action is plan.TargetAction.DRAIN:
            self.crash()
            if self.drain is not None:
                self.drain.ended_s = time.monotonic()
                self.drain = None
        if not self.up:
            self.boot(time.monotonic())
        self.action = None
        self.speed = 1.0
        self.fails = self.draining = False
        self.has_news = True

    def _start(
        self, body: dict[str, Any], now_s: float
    ) -> platform_store.Reply:
        is_repeated = body["task"] in self.runs
        reply = super()._start(body, now_s)
        if self.drain is not None and reply[0] == 200 and not is_repeated:
            sent_s = self.world.order_sent_s
            self.drain.starts_s.append(now_s if sent_s is None else sent_s)
        return reply

    def is_silent(self) -> bool:
        """Returns whether calls get neither an answer nor take effect."""
        return not self.up or self.action is plan.TargetAction.SILENCE


class Platform(platform_serve.Platform):
    """The store, the targets, their clock and their faults.

    Attributes:
        store_faults: faults of the store that go on; the last one acts.
        evacuations: number of requests in force, by failure domain.
        drains: targets that have left or leave.
    """

    def __init__(self, configuration: str, seed: int):
        super().__init__(configuration)
        self.random = random.Random(seed)
        self.store_faults: list[plan.StoreAction] = []
        self.evacuations: collections.Counter[str] = collections.Counter()
        self.drains: list[drains.Drain] = []

    def add_target(self, number: int, address: str) -> None:
        """Adds a target with its address."""
        target = Target(
            self.world,
            f"target-{number}",
            zone=plan.DOMAINS[number % len(plan.DOMAINS)],
            rack=f"r{number // platform_serve.TARGETS_PER_RACK + 1}",
            now_s=time.monotonic(),
        )
        target.address = address
        target.clock_rate = self.random.uniform(*CLOCK_RATES)

    async def run_clock(self) -> None:
        """Advances the targets, their entries and the store."""
        while True:
            now_s = time.monotonic()
            if not self.store.outages:
                for target in self.world.targets.values():
                    self._report(target, now_s)
            self.world.advance(now_s)
            self.store.advance(now_s)
            await asyncio.sleep(platform_serve.TICK_S)

    def _report(self, target: Target, now_s: float) -> None:
        """Writes or expires the entry of a target."""
        key = f"servers/{target.id}"
        if target.up and now_s - target.reported_s >= HEARTBEAT_S:
            target.reported_s = now_s
            if key not in self.store.items or target.has_news:
                target.has_news = False
                self.store.put(key, target.entry())
                self._record_drain(target, now_s)
        if now_s - target.reported_s > EXPIRY_S and key in self.store.items:
            self.store.remove(key)

    def _record_drain(self, target: Target, now_s: float) -> None:
        """Records what the entry of a target says, which was just written."""
        if target.draining and target.drain is None:
            target.drain = drains.Drain(target.id, now_s)
            self.drains.append(target.drain)

    async def serve_target(
        self, number: int, request: http.Request
    ) -> responses.Response:
        """Serves a call to a target, unless a fault concerns it."""
        target = self.world.targets[f"target-{number}"]
        if target.is_silent():
            return await _leave_unanswered()
        is_late = target.action is plan.TargetAction.LATE_ORDERS
        if is_late and request.url.path in ORDERS:
            self._carry_out_later(
                target, request.url.path, await request.json()
            )
            return await _leave_unanswered()
        response = await super().serve_target(number, request)
        if target.action is plan.TargetAction.LOST_REPLIES:
            return await _leave_unanswered()
        return response

    def _carry_out_later(
        self, target: Target, path: str, body: dict[str, Any]
    ) -> None:
        sent_s = time.monotonic()

        def carry_out() -> None:
            if target.up:
                self.world.order_sent_s = sent_s
                target.serve(path, body, time.monotonic(), lambda reply: None)
                self.world.order_sent_s = None

        asyncio.get_running_loop().call_later(
            self.random.uniform(*LATE_ORDER_S), carry_out
        )

    async def control(self, request: http.Request) -> responses.Response:
        """Begins or ends a fault, or records what callers were told."""
        body = await request.json()
        if "target" in body:
            self._control_target(
                body["target"],
                plan.TargetAction(body["action"]),
                body["begins"],
            )
        if "store" in body:
            self._control_store(plan.StoreAction(body["store"]), body["begins"])
        if "evacuated" in body:
            self._control_evacuation(body["evacuated"], body["begins"])
        if "configuration" in body:
            value = json.dumps(body["configuration"]).encode()
            self.store.put(platform_serve.CONFIGURATION_KEY, value)
        if "refused" in body:
            self.world.refused.add(body["refused"])
        if "cancelled" in body:
            self.world.cancelled_s[body["cancelled"]] = time.monotonic()
        return responses.JSONResponse({})

    def _control_target(
        self, number: int, action: plan.TargetAction, begins: bool
    ) -> None:
        target = self.world.targets[f"target-{number}"]
        if not begins:
            target.end_fault(action)
        elif action is plan.TargetAction.ODD_ENTRY:
            value = self.random.choice(ODD_ENTRIES)
            self.store.put(f"servers/odd-{number}", value)
        else:
            target.begin(action)

    def _control_store(self, action: plan.StoreAction, begins: bool) -> None:
        if action is plan.StoreAction.FORGET_HISTORY:
            self.store.forget_history()
        elif action is plan.StoreAction.END_LEASES:
            for lease in self.store.leases.values():
                lease.expires_s = self.store.now_s
        elif begins:
            self.store_faults.append(action)
        else:
            self.store_faults.remove(action)
        present = self.store_faults[-1] if self.store_faults else None
        self.store.outages.clear()
        if present in OUTAGES:
            self.store.outages[""] = OUTAGES[present]
        loses = present in (
            plan.StoreAction.LOST_REPLIES,
            plan.StoreAction.LATE_WRITES,
        )
        self.store.lost_share = LOST_SHARE if loses else 0.0
        is_late = present is plan.StoreAction.LATE_WRITES
        self.store.late_s = LATE_WRITE_S if is_late else 0.0

    def _control_evacuation(self, domain: str, begins: bool) -> None:
        self.evacuations[domain] += 1 if begins else -1
        key = f"{platform_keys.EVACUATIONS_PREFIX}{domain}"
        if self.evacuations[domain] and key not in self.store.items:
            self.store.put(key, b"{}")
            self.world.evacuated_s[domain] = time.monotonic()
        elif not self.evacuations[domain]:
            self.store.remove(key)
            self.world.evacuated_s.pop(domain)

    async def show_evidence(self, request: http.Request) -> responses.Response:
        """Returns what the targets have seen."""
        return responses.JSONResponse(
            {
                "broken": self.world.broken,
                "done": list(self.world.done),
                "failures": self.world.failures,
                "starts": sum(self.world.starts.values()),
                "first_starts_s": {
                    task: starts_s[0]
                    for task, starts_s in self.world.started_s.items()
                },
                "drains": list(map(dataclasses.asdict, self.drains)),
            }
        )

    def store_app(self) -> types.ASGIApp:
        """Adds the control of faults and the evidence to the store."""
        return applications.Starlette(
            routes=[
                routing.Route("/control", self.control, methods=["POST"]),
                routing.Route("/evidence", self.show_evidence),
                routing.Mount("/", super().store_app()),
            ]
        )


async def _leave_unanswered() -> responses.Response:
    """Answers only when every caller has given up."""
    await asyncio.sleep(platform_serve.NO_REPLY_DELAY_S)
    return responses.Response(status_code=500)


if __name__ == "__main__":
    asyncio.run(
        platform_serve.serve(
            Platform(sys.argv[1], int(sys.argv[3])), int(sys.argv[2])
        )
    )
