"""Targets: their entries in the store, and the orders that they take."""

import functools
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

# What a reply to a listing may take longer than the wait that was asked for:
# ten round trips between regions.
LISTING_MARGIN_S = 0.3
OTHER_LIFE_STATUS = 421
ORDER_PROBLEMS = {
    "fence": target_api.OrderProblem.FENCED,
    "old": target_api.OrderProblem.OLD_ATTEMPT,
    "late": target_api.OrderProblem.LATE,
    "room": target_api.OrderProblem.NO_ROOM,
    "ticket": target_api.OrderProblem.NO_TICKET,
}


class Capacity(msgspec.Struct):
    """Room of a target; cpu in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class Entry(msgspec.Struct):
    """A target's registration.

    Attributes:
        service: the pool.
        labels: its kind and its rack, in this order.
        born: Unix milliseconds of its start.
    """

    service: str
    address: str
    zone: str
    state: target_api.TargetState
    capacity: Capacity
    labels: list[str] = []
    born: int = 0
    remaining_ms: float = 0


class Listing(msgspec.Struct):
    """Runs of a target.

    Attributes:
        running: rows of task, attempt, checkpoint, percent and a load figure.
        finished: rows of number, task, attempt, ending and checkpoint.
        born: Unix milliseconds of the target's start.
    """

    clock_ms: int
    running: list[list[Any]] = []
    finished: list[list[Any]] = []
    born: int = 0


class Rejection(msgspec.Struct):
    """Why an order was not obeyed."""

    reason: str = ""


_entry_decoder = msgspec.json.Decoder(Entry)
_listing_decoder = msgspec.json.Decoder(Listing)
_rejection_decoder = msgspec.json.Decoder(Rejection)

Outcome = Result[Any, kinds.CallFailure]


def decode_entry(key: str, value: bytes) -> Result[target_api.TargetEntry, str]:
    """Returns a target's entry, or what is wrong with it."""
    try:
        wire = _entry_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(str(error))
    _, colon, port = wire.address.rpartition(":")
    if not colon or not port.isdigit():
        return Failure(f'"{wire.address}" is not an address')
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
            born_ms=wire.born,
            remaining_s=wire.remaining_ms / 1_000,
        )
    )


def task_text(task: model.TaskKey) -> str:
    """Returns a task's name, as in "5c0e7a21d94b36f8.0.1.17"."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> model.TaskKey:
    """Returns the task that a name stands for.

    Raises:
        ValueError: the text is no task name.
    """
    job_id, occurrence, step, index = text.split(".")
    return model.TaskKey(
        ids.JobId(job_id), int(occurrence), int(step), int(index)
    )


def listing_timeout_s(message: target_api.ListRuns) -> float:
    """Returns the seconds after which a listing is given up."""
    return message.wait_s + LISTING_MARGIN_S


async def send(
    pools: http_pools.Pools, address: str, message: Any, timeout_s: float
) -> Outcome:
    """Performs a call to a target.

    Returns:
        The reply, or what is known about a call without one.
    """
    path, body = request_of(message)
    if isinstance(message, target_api.ListRuns):
        timeout_s = listing_timeout_s(message)
    headers = {"x-expect-instance": message.target}
    result = await http_requests.request(
        pools, address, "POST", path, timeout_s, body, headers
    )
    return result.bind(functools.partial(reply_of, message))


@functools.singledispatch
def request_of(message: Any) -> tuple[str, dict[str, Any]]:
    """Returns path and JSON body of a call."""
    raise TypeError(f"no call for {type(message).__name__}")


@request_of.register
def _(message: target_api.StartRun) -> tuple[str, dict[str, Any]]:
    body = {
        "task": task_text(message.task),
        "attempt": message.attempt,
        "spec": message.payload,
        "deadline_ms": message.lease_until_ms,
        "fencing_token": message.epoch,
    }
    if message.checkpoint:
        body["checkpoint"] = message.checkpoint
    return "/run-start", body


@request_of.register
def _(message: target_api.StopRun) -> tuple[str, dict[str, Any]]:
    body = {
        "task": task_text(message.task),
        "attempt": message.attempt,
        "fencing_token": message.epoch,
    }
    return "/run-stop", body


@request_of.register
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


def reply_of(message: Any, exchange: http_requests.Exchange) -> Outcome:
    """Decodes the status and the body of a response."""
    status, body = exchange
    try:
        if status == 200:
            if isinstance(message, target_api.ListRuns):
                return Success(_listing(body))
            return Success(target_api.Obeyed())
        if status == 409:
            reason = _rejection_decoder.decode(body).reason
            problem = ORDER_PROBLEMS.get(
                reason, target_api.OrderProblem.INVALID
            )
            return Success(target_api.Rejected(problem))
    except (msgspec.DecodeError, ValueError, TypeError) as error:
        logging.warning("targets: malformed reply: %s", error)
        return Failure(kinds.CallFailure.LOST)
    if status == OTHER_LIFE_STATUS:
        problem = target_api.OrderProblem.OTHER_LIFE
    elif status in (429, 503):
        problem = target_api.OrderProblem.UNHEALTHY
    elif 400 <= status < 500:
        problem = target_api.OrderProblem.INVALID
    else:
        return Failure(kinds.CallFailure.LOST)
    return Success(target_api.Rejected(problem))


def _listing(body: bytes) -> target_api.RunsListed:
    wire = _listing_decoder.decode(body)
    return target_api.RunsListed(
        clock_ms=wire.clock_ms,
        born_ms=wire.born,
        running=tuple(map(_running, wire.running)),
        ended=tuple(map(_ended, wire.finished)),
    )


def _running(row: list[Any]) -> target_api.Running:
    task, attempt, checkpoint, percent = row[:4]
    return target_api.Running(
        parse_task(task), ids.Attempt(attempt), checkpoint, float(percent)
    )


def _ended(row: list[Any]) -> target_api.Ended:
    number, task, attempt, ending, checkpoint = row[:5]
    return target_api.Ended(
        number,
        parse_task(task),
        ids.Attempt(attempt),
        model.Ending(ending),
        checkpoint,
    )
