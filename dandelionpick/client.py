"""HTTP client of an entry instance, for the command line and the demo."""

import asyncio
import contextlib
import dataclasses
import enum
import types
from collections.abc import AsyncIterator
from typing import Any
from urllib import parse

import aiohttp
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import caller_messages as caller
from dandelionpick import operator_messages as operator
from dandelionpick import peer_messages as peer
from dandelionpick import wire

CONNECT_TIMEOUT_S = 3.0
REPLY_TIMEOUT_S = 15.0
# An instance may answer right at the deadline; the margin covers the time that
# the reply takes to arrive.
REPLY_MARGIN_S = 5.0
JSON_HEADERS = types.MappingProxyType({"content-type": "application/json"})


class ClientFailureKind(enum.Enum):
    """Whether the instance may have received the message.

    Attributes:
        UNREACHABLE: no connection was made, so nothing was sent.
        REPLY_LOST: the message may have been received, but no valid reply came
            back.
    """

    UNREACHABLE = "unreachable"
    REPLY_LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class ClientFailure:
    """Why there is no reply.

    Attributes:
        message: the error and its remedy.
    """

    kind: ClientFailureKind
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """The HTTP request of a message and the type of its reply.

    Attributes:
        path: path template with the message's fields in braces.
        has_body: the message is sent as the JSON body; otherwise the fields
            that are not in the path become query parameters.
    """

    method: str
    path: str
    reply_decoder: msgspec.json.Decoder
    has_body: bool


def _post(path: str, reply_type: Any) -> Operation:
    return Operation(
        "POST", path, msgspec.json.Decoder(reply_type), has_body=True
    )


def _without_body(method: str, path: str, reply_type: Any) -> Operation:
    return Operation(
        method, path, msgspec.json.Decoder(reply_type), has_body=False
    )


REQUEST_PATH = "/v1/requests/{organisation}/{key}"
JOB_PATH = "/v1/jobs/{organisation}/{key}"
ANSWER_REPLY = caller.Answer | peer.Refused
JOB_REPLY = caller.JobStatus | peer.Refused
EDIT_REPLY = operator.EditAccepted | operator.EditRefused | peer.Refused

OPERATIONS = {
    caller.SubmitRequest: _post("/v1/requests", ANSWER_REPLY),
    caller.FetchAnswer: _without_body("GET", REQUEST_PATH, ANSWER_REPLY),
    caller.CancelRequest: _without_body("DELETE", REQUEST_PATH, ANSWER_REPLY),
    caller.SubmitJob: _post("/v1/jobs", JOB_REPLY),
    caller.FetchJob: _without_body("GET", JOB_PATH, JOB_REPLY),
    caller.CancelJob: _without_body("DELETE", JOB_PATH, JOB_REPLY),
    operator.ReadTree: _without_body(
        "GET", "/v1/tree", operator.Tree | peer.Refused
    ),
    operator.EditTree: _post("/v1/edits", EDIT_REPLY),
    operator.ReadStatus: _without_body(
        "GET", "/v1/status", operator.Status | peer.Refused
    ),
}


class Client:
    """Sends typed messages to one entry instance.

    Attributes:
        server: host and port of the instance or of the load balancer.
    """

    def __init__(self, server: str, session: aiohttp.ClientSession):
        self.server = server
        self.session = session

    async def send(
        self, message: Any, operation: Operation | None = None
    ) -> Result[Any, ClientFailure]:
        """Sends a message of a caller or operator.

        Args:
            message: the message.
            operation: its HTTP request, if `OPERATIONS` lacks the type.

        Returns:
            The reply, or why there is none.
        """
        operation = operation or OPERATIONS[type(message)]
        timeout = aiohttp.ClientTimeout(
            total=timeout_s_of(message), sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.request(
                operation.method,
                f"http://{self.server}{request_target_of(operation, message)}",
                data=wire.encode(message) if operation.has_body else None,
                headers=JSON_HEADERS,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await response.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            return Failure(_unreachable(self.server, error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(_reply_lost(self.server, error))
        return _decode(self.server, operation, body)


@contextlib.asynccontextmanager
async def connect(server: str) -> AsyncIterator[Client]:
    """Opens a client and closes its connections on exit."""
    async with aiohttp.ClientSession() as session:
        yield Client(server, session)


def send_once(
    server: str, message: Any, operation: Operation | None = None
) -> Result[Any, ClientFailure]:
    """Sends one message from code that has no event loop."""

    async def run() -> Result[Any, ClientFailure]:
        async with connect(server) as client:
            return await client.send(message, operation)

    return asyncio.run(run())


def request_target_of(operation: Operation, message: Any) -> str:
    """Returns the request target (path and query) of a message."""
    fields = msgspec.structs.asdict(message)
    quoted = {
        name: parse.quote(str(value), safe="") for name, value in fields.items()
    }
    path = operation.path.format(**quoted)
    if operation.has_body:
        return path
    query = {
        name: value
        for name, value in fields.items()
        if "{" + name + "}" not in operation.path
    }
    return f"{path}?{parse.urlencode(query)}" if query else path


def timeout_s_of(message: Any) -> float:
    """Returns the total timeout of a message in seconds."""
    wait_s = getattr(message, "wait_s", None)
    if isinstance(message, caller.SubmitRequest) and message.wait:
        wait_s = message.deadline_s
    if wait_s is None:
        return REPLY_TIMEOUT_S
    return wait_s + REPLY_MARGIN_S


def _unreachable(server: str, error: Exception) -> ClientFailure:
    return ClientFailure(
        ClientFailureKind.UNREACHABLE,
        f"{server}: no connection ({error}). Nothing was sent. Check the"
        " address in --server or DANDELIONPICK_SERVER, or use another"
        " instance.",
    )


def _reply_lost(server: str, error: Exception) -> ClientFailure:
    reason = str(error) or type(error).__name__
    return ClientFailure(
        ClientFailureKind.REPLY_LOST,
        f"{server}: no reply ({reason}). The message may have taken effect."
        " Send it again with the same key or edit id.",
    )


def _decode(
    server: str, operation: Operation, body: bytes
) -> Result[Any, ClientFailure]:
    try:
        return Success(operation.reply_decoder.decode(body))
    except msgspec.DecodeError as error:
        return Failure(
            ClientFailure(
                ClientFailureKind.REPLY_LOST,
                f"{server}: the reply is not a dandelionpick message ({error})."
                " Check that the address is that of an entry instance of the"
                " same version.",
            )
        )
