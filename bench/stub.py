"""Simulates a whole deployment behind one address, for measurements.

The measured entry instance talks to this process as if it were the platform,
its peers and its targets. This allows deployment sizes that could not run as
separate processes on one machine.

Usage: python -m bench.stub JSON, with the options of `Options`.
"""

import asyncio
import dataclasses
import json
import pathlib
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec
import uvicorn
from starlette import applications
from starlette import requests as http
from starlette import responses
from starlette import routing

from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import peer_messages
from dandelionpick import server
from dandelionpick import store_messages
from dandelionpick import wire
from dandelionpick import worker_messages
from standins import instance_list
from standins import store as store_lib

DOMAIN = "domain-0"
REGION = "region-0"


@dataclasses.dataclass
class Options:
    """Sizes of the simulated deployment.

    Attributes:
        parts: number of gang parts that each worker of the failure domain
            reports.
        domains: number of failure domains that workers and peers are spread
            over.
        document: the configuration document, or for the stub process the path
            of a file that holds it.
    """

    workers: int = 8
    parts: int = 0
    executors: int = 8
    peers: int = 2
    domains: int = 3
    document: str = ""


def build_entries(
    options: Options, address: str
) -> list[list_messages.InstanceEntry]:
    """Builds the instance list; every entry has the stub's address."""
    entries = []

    def add(role: kinds.Role, count: int, **fields: Any) -> None:
        for number in range(count):
            domain = f"domain-{number % options.domains}"
            entries.append(
                list_messages.InstanceEntry(
                    ids.InstanceId(f"{role.value}-{number}"),
                    role,
                    address,
                    ids.FailureDomain(domain),
                    ids.Region(REGION),
                    **fields,
                )
            )

    add(kinds.Role.ENTRY, options.peers)
    add(kinds.Role.EXECUTOR, options.executors, slots=8)
    add(
        kinds.Role.WORKER,
        options.workers,
        rack="rack",
        accelerators=8,
        cores=64,
        memory_gb=128,
    )
    return entries


class StubServices:
    """Answers the messages of every interface and counts them.

    Attributes:
        counts: number of messages by type name.
        transferred_bytes: bytes received and sent.
    """

    def __init__(self, options: Options):
        self.options = options
        self.store = store_lib.Store()
        if options.document:
            self.set_document(pathlib.Path(options.document).read_text())
        self.instance_list = instance_list.InstanceList(0.0)
        self.counts: dict[str, int] = {}
        self.transferred_bytes = 0

    def set_document(self, text: str) -> None:
        """Replaces the configuration document in the store."""
        key = "config/tree"
        version = self.store.value(key).version
        self.store.handle(store_messages.Write(key, version, text, "stub"))

    async def answer(self, message: Any) -> Any:
        """Answers one message."""
        name = type(message).__name__
        self.counts[name] = self.counts.get(name, 0) + 1
        handler = HANDLERS.get(type(message))
        if handler is not None:
            return handler(self, message)
        return await self.answer_store(message)

    async def answer_store(self, message: Any) -> Any:
        """Answers a store message; a watch waits for a change or a timeout."""
        reply = self.store.handle(message)
        if not isinstance(message, store_messages.Watch):
            return reply
        for _ in range(int(message.wait_s * 20)):
            if reply.version != message.after_version:
                break
            await asyncio.sleep(0.05)
            reply = self.store.answer(message)
        return reply


def _answer_heartbeat(services: StubServices, message: Any) -> Any:
    revision = message.revision
    # A leaving peer is sent heartbeats but nothing else, so that the measured
    # instance schedules the failure domain.
    return peer_messages.Heartbeat(
        instance=ids.InstanceId("entry-0"),
        failure_domain=ids.FailureDomain(DOMAIN),
        incarnation=ids.Incarnation("stub"),
        revision=revision,
        leaving=True,
    )


def _answer_start(services: StubServices, message: Any) -> Any:
    return executor_messages.TaskResult(
        task_id=message.task_id,
        incarnation=ids.Incarnation("stub"),
        succeeded=True,
        body=message.body,
        length=len(message.body),
        digest=executor_messages.digest_of(message.body),
        free_slots=8,
    )


def _answer_renewal(services: StubServices, message: Any) -> Any:
    parts = [
        worker_messages.PartStatus(
            gang_id=ids.GangId(f"gang-{number}-1"),
            labels=worker_messages.PartLabels(
                organisation=ids.OrganisationId("organisation-0"),
                job_class=ids.ClassName("scan"),
                key=ids.RequestKey(f"gang-{number}"),
                run=1,
                workers=[ids.InstanceId("worker-0")],
            ),
            state=kinds.PartState.RUNNING,
            accelerators=[number % 8],
        )
        for number in range(services.options.parts)
    ]
    return worker_messages.WorkerReport(ids.Incarnation("stub"), parts)


HANDLERS: dict[type, Callable[[StubServices, Any], Any]] = {
    peer_messages.Heartbeat: _answer_heartbeat,
    peer_messages.ReadDocument: lambda services, message: (
        peer_messages.Document(0, "")
    ),
    list_messages.ReadInstances: lambda services, message: (
        services.instance_list.handle(message, time.monotonic())
    ),
    executor_messages.QueryTask: lambda services, message: (
        executor_messages.TaskUnknown(
            message.task_id, ids.Incarnation("stub"), 8
        )
    ),
    executor_messages.StartTask: _answer_start,
    worker_messages.RenewLeases: _answer_renewal,
}


def build_app(services: StubServices) -> applications.Starlette:
    """Builds the application that serves every interface and the controls."""
    routes = []
    tables = (
        wire.STORE,
        wire.INSTANCE_LIST,
        wire.EXECUTOR,
        wire.WORKER,
        wire.PEER,
    )
    for table in tables:
        for endpoint in table.values():
            routes.append(_route(services, endpoint))

    async def report(request: http.Request) -> responses.Response:
        return responses.JSONResponse(
            {"counts": services.counts, "bytes": services.transferred_bytes}
        )

    async def set_document(request: http.Request) -> responses.Response:
        services.set_document((await request.body()).decode())
        return responses.Response(status_code=204)

    routes.append(routing.Route("/report", report))
    routes.append(routing.Route("/document", set_document, methods=["POST"]))
    return applications.Starlette(routes=routes)


def _route(services: StubServices, endpoint: wire.Endpoint) -> routing.Route:
    async def serve(request: http.Request) -> responses.Response:
        body = await request.body()
        reply = wire.encode(
            await services.answer(endpoint.message.decode(body))
        )
        headers = sum(len(k) + len(v) + 4 for k, v in request.headers.raw)
        services.transferred_bytes += len(body) + len(reply) + headers
        return responses.Response(reply, media_type="application/json")

    return routing.Route(endpoint.path, serve, methods=["POST"])


async def run(options: Options) -> None:
    """Serves until SIGTERM."""
    services = StubServices(options)
    listener = server.bind("127.0.0.1:0")
    host, port = listener.getsockname()
    entries = build_entries(options, f"{host}:{port}")
    services.instance_list.set_entries(entries, float("-inf"))
    print(f"stub: listening on {host}:{port}", flush=True)
    config = uvicorn.Config(
        build_app(services),
        log_config=None,
        access_log=False,
        lifespan="off",
        ws="none",
    )
    await uvicorn.Server(config).serve(sockets=[listener])


if __name__ == "__main__":
    asyncio.run(run(msgspec.convert(json.loads(sys.argv[1]), Options)))
