"""Checks that edits of the configuration are in force and stay so."""

import asyncio
import time

import aiohttp

from soak import injection
from soak import ledger as ledger_lib
from soak import processes
from standins import platform_demo

Promise = ledger_lib.Promise

PERIOD_S = 0.5
# The period of this many instances; that of more is longer in proportion, so
# that the probes of a second don't grow with their number.
PERIOD_INSTANCES = 8
TIMEOUT = aiohttp.ClientTimeout(total=2.0)
# An accepted change of the configuration is in force within this time.
EDIT_BOUND_S = 12.0
# A withdrawn key is refused within `revoke_ms`, whatever an instance reaches.
REVOKED_BOUND_S = platform_demo.BOUNDS["revoke_ms"] / 1_000
UNKNOWN_JOB = "0" * 16
# These answers to a question for a job that doesn't exist show that its route
# or key is accepted.
KNOWN_STATUSES = (200, 403, 410)


class Probes:
    """Asks each instance for added routes and with withdrawn keys.

    Attributes:
        routes_seen: routes that an instance has served, by its name.
    """

    def __init__(self, context: injection.Context):
        self.context = context
        self.routes_seen: dict[str, set[str]] = {}

    async def run(self) -> None:
        """Probes until cancelled."""
        instances = self.context.system.instances
        period_s = PERIOD_S * max(1.0, len(instances) / PERIOD_INSTANCES)
        while True:
            await asyncio.gather(*map(self._probe, instances))
            await asyncio.sleep(period_s)

    async def _probe(self, instance: processes.Instance) -> None:
        system = self.context.system
        document, edited_s = system.configuration, system.edited_s
        name = document["routes"][-1]["name"]
        path = f"/{name}/{UNKNOWN_JOB}"
        began_s = time.monotonic()
        status = await self._ask(instance, path, platform_demo.KEY)
        seen = self.routes_seen.setdefault(instance.name, set())
        if status in KNOWN_STATUSES:
            seen.add(name)
        if status == 404:
            self._check_unknown(instance, name, began_s, edited_s)
        elif status in KNOWN_STATUSES:
            self.context.ledger.check(Promise.EDIT_IN_FORCE, True, "")
            self.context.ledger.check(Promise.EDIT_NOT_REVERTED, True, "")
        for key, withdrawn_s in list(system.withdrawn_keys.items()):
            await self._probe_key(instance, key, withdrawn_s)

    def _check_unknown(
        self,
        instance: processes.Instance,
        name: str,
        began_s: float,
        edited_s: float,
    ) -> None:
        ledger, system = self.context.ledger, self.context.system
        ledger.check(
            Promise.EDIT_NOT_REVERTED,
            name not in self.routes_seen[instance.name],
            f"{instance.name} has served the route {name} and denies it",
        )
        since_s = max(
            edited_s,
            instance.began_s,
            instance.calm_since_s,
            system.store_calm_since_s,
        )
        if system.is_in_touch(instance, began_s):
            ledger.check(
                Promise.EDIT_IN_FORCE,
                began_s < since_s + EDIT_BOUND_S,
                f"{instance.name} denies the route {name}"
                f" {began_s - edited_s:.1f} s after the edit",
            )

    async def _probe_key(
        self, instance: processes.Instance, key: str, withdrawn_s: float
    ) -> None:
        began_s = time.monotonic()
        if began_s < withdrawn_s + REVOKED_BOUND_S:
            return
        status = await self._ask(instance, f"/normal/{UNKNOWN_JOB}", key)
        if status == 0:
            return
        self.context.ledger.check(
            Promise.KEY_WITHDRAWN,
            status not in KNOWN_STATUSES,
            f"{instance.name} answers {status} to {key},"
            f" {began_s - withdrawn_s:.1f} s after it was withdrawn",
        )

    async def _ask(
        self, instance: processes.Instance, path: str, key: str
    ) -> int:
        try:
            async with self.context.session.get(
                f"http://{instance.callers}{path}",
                headers={
                    "host": processes.HOST,
                    "authorization": f"Bearer {key}",
                },
                timeout=TIMEOUT,
            ) as response:
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0
