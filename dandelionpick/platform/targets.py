"""Decodes the targets' entries in the store and sends orders to targets."""

import functools
import re
from typing import Annotated
from typing import Any

import msgspec
from absl import logging
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import http_pools
from dandelionpick import http_requests
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import model
from dandelionpick.batch import target_api

# Added to the requested wait of a listing to get the timeout of the call; it
# covers ten round trips between regions.
LISTING_MARGIN_S = 0.3
# A target lists at most this many ends at a time.
MAX_LISTED_ENDS = 500
# Returned by a target that is not the instance named in x-expect-instance.
INSTANCE_MISMATCH_STATUS = 421
ORDER_PROBLEM_BY_REASON = {
    "fence": target_api.OrderProblem.FENCED,
    "old": target_api.OrderProblem.OLD_ATTEMPT,
    "late": target_api.OrderProblem.LATE,
    "room": target_api.OrderProblem.NO_ROOM,
    "ticket": target_api.OrderProblem.NO_TICKET,
}


# Far above anything that a target has or says of itself.
Amount = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Duration = Annotated[float, msgspec.Meta(ge=0, le=2**53)]
MAX_PORT = 65_535
_ADDRESS = re.compile(
    r"([^\s/\\?#@:\[\]]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})", re.ASCII
)


class Capacity(msgspec.Struct):
    """Capacity of a target; cpu is in thousandths of a core."""

    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class Entry(msgspec.Struct):
    """A target's registration.

    Attributes:
        service: name of the target's pool.
        labels: the target's kind and its rack, in this order.
        born: start time in Unix milliseconds.
        remaining_ms: time that a draining target has left.
        cold_remaining_ms: time for which the target still works slowly.
    """

    service: str
    address: str
    zone: str
    state: target_api.TargetState
    capacity: Capacity
    labels: list[str] = []
    born: Milliseconds = 0
    remaining_ms: Duration = 0
    cold_remaining_ms: Duration = 0


class Listing(msgspec.Struct):
    """The running and finished runs of a target.

    Attributes:
        clock_ms: the target's clock.
        running: rows of task, attempt, checkpoint, percent and load.
        finished: rows of number, task, attempt, ending and checkpoint.
        born: the target's start time in Unix milliseconds.
    """

    clock_ms: int
    running: list[list[Any]] = []
    finished: list[list[Any]] = []
    born: int = 0


class Acceptance(msgspec.Struct):
    """A target's clock as it carried out an order."""

    clock_ms: Milliseconds


class Rejection(msgspec.Struct):
    """Why a target refused an order."""

    reason: str = ""


_entry_decoder = msgspec.json.Decoder(Entry)
_listing_decoder = msgspec.json.Decoder(Listing)
_acceptance_decoder = msgspec.json.Decoder(Acceptance)
_rejection_decoder = msgspec.json.Decoder(Rejection)

Outcome = Result[Any, kinds.CallFailure]


def decode_entry(key: str, value: bytes) -> Result[target_api.TargetEntry, str]:
    """Returns a target's entry, or a message that says why it is invalid."""
    try:
        wire = _entry_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(str(error))
    matched = _ADDRESS.fullmatch(wire.address)
    if matched is None or not 0 < int(matched[2]) <= MAX_PORT:
        return Failure(
            f'"{wire.address}" is not an address of the form host:port'
        )
    capacity = wire.capacity
    return Success(
        target_api.TargetEntry(
            id=ids.TargetId(key.rpartition("/")[2]),
            address=wire.address,
            pool=ids.PoolName(wire.service),
            failure_domain=ids.FailureDomain(wire.zone),
            state=wire.state,
            capacity=model.Resources(
                capacity.cpu, capacity.mem_mb, capacity.gpu
            ),
            labels=frozenset(wire.labels),
            rack=ids.Rack(wire.labels[-1] if wire.labels else ""),
            started_ms=wire.born,
            remaining_s=wire.remaining_ms / 1_000,
            cold_remaining_s=wire.cold_remaining_ms / 1_000,
        )
    )


def format_task(task: model.TaskKey) -> str:
    """Returns a task's name, such as "5c0e7a21d94b36f8.0.1.17"."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> model.TaskKey:
    """Parses a task's name.

    Raises:
        ValueError: the text is not a task name.
    """
    job_id, occurrence, step, index = text.split(".")
    return model.TaskKey(
        ids.JobId(job_id), int(occurrence), int(step), int(index)
    )


def listing_timeout_s(message: target_api.ListRuns) -> float:
    """Returns the timeout of a listing in seconds."""
    return message.wait_s + LISTING_MARGIN_S


async def send(
    pools: http_pools.Pools, address: str, message: Any, timeout_s: float
) -> Outcome:
    """Sends a call to a target and waits for its reply.

    Returns:
        The reply, or NOT_SENT or LOST if there is none.
    """
    path, body = encode_request(message)
    if isinstance(message, target_api.ListRuns):
        timeout_s = listing_timeout_s(message)
    headers = {"x-expect-instance": message.target}
    result = await http_requests.request(
        pools, address, "POST", path, timeout_s, body, headers
    )
    return result.bind(functools.partial(decode_reply, message))


@functools.singledispatch
def encode_request(message: Any) -> tuple[str, dict[str, Any]]:
    """Returns the path and JSON body of a message."""
    raise TypeError(f"no target request for message {type(message).__name__}")


@encode_request.register
def _(message: target_api.StartRun) -> tuple[str, dict[str, Any]]:
    body = {
        "task": format_task(message.task),
        "attempt": message.attempt,
        "spec": message.payload,
        "deadline_ms": message.lease_until_ms,
        "fencing_token": message.epoch,
    }
    if message.checkpoint:
        body["checkpoint"] = message.checkpoint
    return "/run-start", body


@encode_request.register
def _(message: target_api.StopRun) -> tuple[str, dict[str, Any]]:
    body = {
        "task": format_task(message.task),
        "attempt": message.attempt,
        "fencing_token": message.epoch,
    }
    return "/run-stop", body


@encode_request.register
def _(message: target_api.ListRuns) -> tuple[str, dict[str, Any]]:
    body: dict[str, Any] = {
        "fencing_token": message.epoch,
        "acked_through": message.acknowledged,
    }
    if message.lease_until_ms is not None:
        body["deadline_ms"] = message.lease_until_ms
    if message.wait_s:
        body["wait_ms"] = round(message.wait_s * 1_000)
    return "/hold", body


def decode_reply(message: Any, response: http_requests.RawResponse) -> Outcome:
    """Decodes the status and the body of a response."""
    status, body = response
    try:
        if status == 200:
            if isinstance(message, target_api.ListRuns):
                return Success(_decode_listing(body))
            return Success(_decode_obeyed(body))
        if status == 409:
            reason = _rejection_decoder.decode(body).reason
            problem = ORDER_PROBLEM_BY_REASON.get(
                reason, target_api.OrderProblem.INVALID
            )
            return Success(target_api.Rejected(problem))
    except (
        msgspec.DecodeError,
        ValueError,
        TypeError,
        RecursionError,
    ) as error:
        logging.warning("targets: cannot decode a reply: %s", error)
        return Failure(kinds.CallFailure.LOST)
    if status == INSTANCE_MISMATCH_STATUS:
        problem = target_api.OrderProblem.OTHER_LIFE
    elif status in (429, 503):
        problem = target_api.OrderProblem.UNHEALTHY
    elif 400 <= status < 500:
        problem = target_api.OrderProblem.INVALID
    else:
        return Failure(kinds.CallFailure.LOST)
    return Success(target_api.Rejected(problem))


def _decode_obeyed(body: bytes) -> target_api.Obeyed:
    # The status alone tells that the order was carried out.
    try:
        return target_api.Obeyed(_acceptance_decoder.decode(body).clock_ms)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        logging.warning("targets: a reply lacks the clock: %s", error)
        return target_api.Obeyed()


def _decode_listing(body: bytes) -> target_api.RunsListed:
    wire = _listing_decoder.decode(body)
    return target_api.RunsListed(
        clock_ms=wire.clock_ms,
        started_ms=wire.born,
        running=tuple(map(_decode_running, wire.running)),
        ended=tuple(map(_decode_ended, wire.finished)),
        has_more_ends=len(wire.finished) >= MAX_LISTED_ENDS,
    )


def _decode_running(row: list[Any]) -> target_api.Running:
    task, attempt, checkpoint, percent = row[:4]
    return target_api.Running(
        parse_task(task), ids.Attempt(attempt), checkpoint, float(percent)
    )


def _decode_ended(row: list[Any]) -> target_api.Ended:
    number, task, attempt, ending, checkpoint = row[:5]
    return target_api.Ended(
        number,
        parse_task(task),
        ids.Attempt(attempt),
        model.Ending(ending),
        checkpoint,
    )
