"""Baseline server that forwards each request to one executor.

It does nothing but decode the request, call the executor and encode the answer;
`bench.path` compares an entry instance with it.

Usage: python -m bench.bare ADDRESS, the address of the executor.
"""

import asyncio
import sys

import aiohttp
import msgspec
import uvicorn
from starlette import applications
from starlette import requests as http
from starlette import responses
from starlette import routing

from dandelionpick import caller_messages
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import server
from dandelionpick import wire

DECODER = msgspec.json.Decoder(caller_messages.SubmitRequest)
START = wire.EXECUTOR[executor_messages.StartTask]


async def run(executor: str) -> None:
    """Serves until SIGTERM."""
    listener = server.bind("127.0.0.1:0")
    host, port = listener.getsockname()
    async with aiohttp.ClientSession() as session:
        app = applications.Starlette(routes=[_route(session, executor)])
        print(f"bare: listening on {host}:{port}", flush=True)
        config = uvicorn.Config(
            app,
            log_config=None,
            access_log=False,
            lifespan="off",
            http="httptools",
            ws="none",
        )
        await uvicorn.Server(config).serve(sockets=[listener])


def _route(session: aiohttp.ClientSession, executor: str) -> routing.Route:
    url = f"http://{executor}{START.path}"

    async def serve(request: http.Request) -> responses.Response:
        message = DECODER.decode(await request.body())
        start = executor_messages.StartTask(
            task_id=ids.TaskId(message.key),
            labels=executor_messages.TaskLabels(
                message.organisation, message.job_class, message.key, 1
            ),
            body=message.body,
            start_deadline_ms=2**60,
        )
        headers = {"content-type": "application/json"}
        async with session.post(
            url, data=wire.encode(start), headers=headers
        ) as response:
            result = START.reply.decode(await response.read())
        answer = caller_messages.Answer(
            organisation=message.organisation,
            key=message.key,
            outcome=caller_messages.kinds.Outcome.COMPLETED,
            body=result.body,
            length=result.length,
            digest=result.digest,
        )
        return responses.Response(
            wire.encode(answer), media_type="application/json"
        )

    return routing.Route("/v1/requests", serve, methods=["POST"])


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1]))
