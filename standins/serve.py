"""Serves a stand-in over HTTP in a process of its own.

Usage: python -m standins.serve ROLE JSON, where JSON holds the role's options.
The process prints its address on its first line. A POST of a JSON object to
/control changes the options of the running stand-in.
"""

import asyncio
import json
import secrets
import sys
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import uvicorn
from starlette import applications
from starlette import requests as http
from starlette import responses
from starlette import routing

from dandelionpick import executor_messages
from dandelionpick import server
from dandelionpick import store_messages
from dandelionpick import wire
from standins import executor
from standins import faults
from standins import instance_list
from standins import store
from standins import worker

POLL_S = 0.005
# Longer than any caller's timeout, so that callers treat the reply as lost.
NO_REPLY_DELAY_S = 30.0

Handler = Callable[[Any], Awaitable[Any]]
ControlHandler = Callable[[dict[str, Any]], None]
Service = tuple[dict, Handler, ControlHandler]


class NoReplyError(Exception):
    """Raised for a call that gets no reply because of an injected fault."""


def route(endpoint: wire.Endpoint, handle: Handler) -> routing.Route:
    """Builds the route that serves one message type."""

    async def serve(request: http.Request) -> responses.Response:
        message = endpoint.message.decode(await request.body())
        try:
            reply = await handle(message)
        except NoReplyError:
            return responses.Response(status_code=503)
        return responses.Response(
            wire.encode(reply), media_type="application/json"
        )

    return routing.Route(endpoint.path, serve, methods=["POST"])


def control_route(control: ControlHandler) -> routing.Route:
    """Builds the route that changes the options of a running stand-in."""

    async def serve(request: http.Request) -> responses.Response:
        control(json.loads(await request.body()))
        return responses.Response(status_code=204)

    return routing.Route("/control", serve, methods=["POST"])


def ignore_control(changes: dict[str, Any]) -> None:
    """Ignores a control message, for stand-ins without options to change."""


def with_faults(service_faults: faults.Faults, handle: Handler) -> Handler:
    """Wraps a model's handler so that calls are subject to injected faults.

    Raises:
        NoReplyError: by the returned handler, if the reply is withheld.
    """

    async def faulty(message: Any) -> Any:
        await asyncio.sleep(service_faults.delay_s)
        fault = service_faults.next_fault()
        if fault is faults.Fault.SILENT:
            await asyncio.sleep(NO_REPLY_DELAY_S)
        if fault in (faults.Fault.SILENT, faults.Fault.REFUSES):
            raise NoReplyError
        reply = await handle(message)
        if fault is faults.Fault.LOSES_REPLIES:
            raise NoReplyError
        return reply

    return faulty


def build_store(options: dict[str, Any]) -> Service:
    """Builds the store; a watch polls the model until a change or timeout."""
    model = store.Store()
    for key, value in options.get("values", {}).items():
        model.entries[key] = store.Entry(1, value)
        model.versions = 1

    async def handle(message: Any) -> Any:
        started_s = time.monotonic()
        reply = model.handle(message, started_s)
        end_s = started_s + getattr(message, "wait_s", 0.0)
        while isinstance(reply, store_messages.Unchanged):
            if time.monotonic() >= end_s:
                break
            await asyncio.sleep(POLL_S)
            reply = model.answer(message, time.monotonic())
        return reply

    return wire.STORE, with_faults(model.faults, handle), model.control


def build_list(options: dict[str, Any]) -> Service:
    """Builds the instance list."""
    model = instance_list.InstanceList(options.get("lag_s", 1.0))

    def control(changes: dict[str, Any]) -> None:
        model.control(changes, time.monotonic())

    control(options)

    async def handle(message: Any) -> Any:
        return model.handle(message, time.monotonic())

    return wire.INSTANCE_LIST, with_faults(model.faults, handle), control


def build_executor(options: dict[str, Any]) -> Service:
    """Builds an executor; it replies to a start when the task has ended.

    Control keys: `leaving`, `run_s`, `fault` (a value of ExecutorFault) and
    `restart`, which ends all tasks and starts a new incarnation.
    """

    def new_model() -> executor.Executor:
        return executor.Executor(
            options.get("slots", 8),
            secrets.token_hex(8),
            options.get("run_s", 0.02),
        )

    current = [new_model()]

    async def handle(message: Any) -> Any:
        model = current[0]
        wait_s = getattr(message, "wait_s", 0.0)
        if isinstance(message, executor_messages.StartTask):
            wait_s = float("inf")
        end_s = time.monotonic() + wait_s
        while True:
            reply = model.handle(
                message, time.monotonic(), time.time_ns() // 1_000_000
            )
            running = isinstance(reply, executor_messages.TaskRunning)
            if not running or time.monotonic() >= end_s:
                break
            task = model.tasks[message.task_id]
            await asyncio.sleep(
                min(task.end_s, end_s) - time.monotonic() + 0.001
            )
            if model is not current[0]:
                raise ConnectionResetError("the executor was restarted")
        if model.loses_reply(message):
            raise ConnectionResetError("the reply is lost")
        return reply

    def control(changes: dict[str, Any]) -> None:
        if changes.get("restart"):
            current[0] = new_model()
        model = current[0]
        model.leaving = changes.get("leaving", model.leaving)
        model.run_s = changes.get("run_s", model.run_s)
        fault = changes.get("fault", model.fault)
        model.fault = executor.ExecutorFault(fault)

    control({"fault": options.get("fault", "none")})
    return wire.EXECUTOR, handle, control


def build_worker(options: dict[str, Any]) -> Service:
    """Builds a worker.

    Control keys: `leaving`, `fails`, `speed`, `lost_replies` (the number of
    next replies that are withheld) and `restart`.
    """
    model = worker.Worker(
        options.get("accelerators", 8),
        secrets.token_hex(8),
        options.get("cores", 64),
        options.get("memory_gb", 128),
    )
    lost_replies = options.get("lost_replies", 0)

    async def handle(message: Any) -> Any:
        nonlocal lost_replies
        reply = model.handle(
            message, time.monotonic(), time.time_ns() // 1_000_000
        )
        if lost_replies:
            lost_replies -= 1
            await asyncio.sleep(NO_REPLY_DELAY_S)
        return reply

    def control(changes: dict[str, Any]) -> None:
        nonlocal lost_replies
        model.leaving = changes.get("leaving", model.leaving)
        model.fails = changes.get("fails", model.fails)
        model.speed = changes.get("speed", model.speed)
        lost_replies = changes.get("lost_replies", lost_replies)
        if changes.get("restart"):
            model.restart(secrets.token_hex(8), time.monotonic())

    return wire.WORKER, handle, control


BUILDERS = {
    "store": build_store,
    "instance_list": build_list,
    "executor": build_executor,
    "worker": build_worker,
}


async def run(role: str, options: dict[str, Any]) -> None:
    """Serves until SIGTERM."""
    endpoints, handle, control = BUILDERS[role](options)
    routes = [route(endpoint, handle) for endpoint in endpoints.values()]
    app = applications.Starlette(routes=[*routes, control_route(control)])
    listener = server.bind(options.get("listen", "127.0.0.1:0"))
    host, port = listener.getsockname()
    print(f"{role}: listening on {host}:{port}", flush=True)
    config = uvicorn.Config(
        app,
        log_config=None,
        access_log=False,
        lifespan="off",
        ws="none",
        # Limits the time for which waiting calls, also those that a fault
        # leaves without a reply, delay the shutdown.
        timeout_graceful_shutdown=1,
    )
    await uvicorn.Server(config).serve(sockets=[listener])


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], json.loads(sys.argv[2])))
