"""Serves the stand-ins of the platform's store and targets on loopback.

Usage: python -m standins.platform_serve CONFIGURATION TARGETS, where
CONFIGURATION is the operators' initial configuration as JSON and TARGETS the
number of targets. The process prints the store's address on its first line. A
POST to /jobs/ID registers the steps of a job with the oracle, and GET /broken
returns the violations that the oracle found.
"""

import asyncio
import json
import socket
import sys
import time
from typing import Any

from starlette import applications
from starlette import requests as http
from starlette import responses
from starlette import routing
from starlette import types

from dandelionpick import inbound_limits
from dandelionpick import server
from standins import platform_oracle
from standins import platform_store
from standins import platform_targets

TICK_S = 0.02
# The targets are advanced once in this many times the time that it takes, so
# that thousands of runs leave time for requests.
ADVANCE_FACTOR = 5.0
CONFIGURATION_KEY = "op/config"
TARGETS_PER_RACK = 8
# Longer than any caller's timeout, so that callers treat the reply as lost.
NO_REPLY_DELAY_S = 30.0


class Platform:
    """The store, the targets and their clock."""

    def __init__(self, configuration: str):
        self.store = platform_store.PlatformStore()
        self.world = platform_oracle.World()
        self.world.advance_period_s = TICK_S
        self.store.put(CONFIGURATION_KEY, configuration.encode())

    def add_target(self, number: int, address: str) -> None:
        """Adds a target with its address, and its entry in the store."""
        name = f"target-{number}"
        rack = f"r{number // TARGETS_PER_RACK + 1}"
        target = platform_targets.Target(
            self.world, name, rack=rack, now_s=time.monotonic()
        )
        target.address = address
        self.store.put(f"servers/{name}", target.entry())

    async def run_clock(self) -> None:
        """Advances the targets and the store with the real time."""
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            if self.world.advance(now_s):
                taken_s = time.monotonic() - now_s
                period_s = ADVANCE_FACTOR * taken_s
                self.world.advance_period_s = max(TICK_S, period_s)
            self.store.advance(time.monotonic())

    async def serve_store(self, request: http.Request) -> responses.Response:
        """Serves a request to the store."""
        path = request.url.path
        query = request.url.query
        return await self._answer(
            request,
            lambda body, done: self.store.serve(
                request.method,
                f"{path}?{query}" if query else path,
                body,
                time.monotonic(),
                done,
            ),
        )

    async def serve_target(
        self, number: int, request: http.Request
    ) -> responses.Response:
        """Serves a request to a target."""
        target = self.world.targets[f"target-{number}"]
        return await self._answer(
            request,
            lambda body, done: target.serve(
                request.url.path, body, time.monotonic(), done
            ),
        )

    async def _answer(
        self, request: http.Request, serve: Any
    ) -> responses.Response:
        text = await request.body()
        future = asyncio.get_running_loop().create_future()

        def done(reply: platform_store.Reply) -> None:
            if not future.done():
                future.set_result(reply)

        serve(json.loads(text) if text else None, done)
        try:
            async with asyncio.timeout(NO_REPLY_DELAY_S):
                status, body = await future
        except TimeoutError:
            return responses.Response(status_code=500)
        return responses.JSONResponse(body, status)

    async def register_job(self, request: http.Request) -> responses.Response:
        """Registers the steps of a job with the oracle."""
        job = await request.json()
        self.world.phases[request.path_params["job_id"]] = job["phases"]
        return responses.Response()

    async def list_violations(
        self, request: http.Request
    ) -> responses.Response:
        """Returns the violations and the number of starts of each task."""
        return responses.JSONResponse(
            {"broken": self.world.broken, "starts": self.world.starts}
        )

    def store_app(self) -> types.ASGIApp:
        """Builds the application of the store and of the oracle."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/jobs/{job_id}", self.register_job, methods=["POST"]
                ),
                routing.Route("/broken", self.list_violations),
                routing.Route(
                    "/{path:path}",
                    self.serve_store,
                    methods=["GET", "POST", "DELETE"],
                ),
            ]
        )

    def target_app(self, number: int) -> types.ASGIApp:
        """Builds the application of a target."""

        async def serve(request: http.Request) -> responses.Response:
            return await self.serve_target(number, request)

        return applications.Starlette(
            routes=[routing.Route("/{path:path}", serve, methods=["POST"])]
        )


async def serve(platform: Platform, targets: int) -> None:
    """Serves a platform until the process is stopped.

    Args:
        platform: the platform, without targets.
        targets: number of targets to add.
    """
    store = server.bind("127.0.0.1:0")
    apps: dict[socket.socket, types.ASGIApp] = {store: platform.store_app()}
    for number in range(targets):
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
    asyncio.run(serve(Platform(sys.argv[1]), int(sys.argv[2])))
