"""Runs both users' deployments in small with a short mixed load.

Usage: python -m standins.demo [FOLDER], where FOLDER gets logs and settings.
Ends with a table of outcomes, and with status 0 only if every promise that
the demo checks was kept. Ctrl-C stops every process that it started.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import json
import pathlib
import secrets
import signal
import sys
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import msgspec
from returns import pipeline

from dandelionpick import caller_messages as caller
from dandelionpick import client as client_lib
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import operator_messages as operator
from standins import deployment

FOLDER = "build/demo"
CALLERS = 8
MIN_REQUESTS = 25
THINK_S = 0.02
EXCLUSIVE_REQUESTS = 10
JOBS = 6
JOB_POLLS = 60
JOB_POLL_S = 0.5
EDITS = 3
IN_FORCE_LIMIT_S = 12.0
DEADLINE_S = 10.0
MAX_ATTEMPTS = 4
PROBE_PERIOD_S = 0.1
STOP_LIMIT_S = 20.0
INTERRUPTED = 130


@dataclasses.dataclass(frozen=True)
class User:
    """A user's failure domains and tree."""

    name: str
    domains: tuple[deployment.DomainPlan, ...]
    organisations: tuple[str, ...]


USERS = (
    User(
        "authority",
        (
            deployment.DomainPlan("ishikari-a", "ishikari"),
            deployment.DomainPlan("ishikari-b", "ishikari"),
            deployment.DomainPlan("kamikawa-a", "kamikawa"),
        ),
        ("station-stands", "ward-offices"),
    ),
    User(
        "bootworks",
        (
            deployment.DomainPlan("waikato-a", "waikato"),
            deployment.DomainPlan("waikato-b", "waikato"),
            deployment.DomainPlan("otago-a", "otago"),
        ),
        ("shops", "hospitals"),
    ),
)


def tree_of(user: User) -> dict[str, Any]:
    """Builds a user's first tree."""
    return {
        "classes": {
            "confirmation": {"worth": 5, "short": True},
            "assessment": {"worth": 1},
            "reconciliation": {"idempotent": False},
            "scan": {"checkpointable": True, "run_s": 1},
        },
        "guarantees": {},
        "branches": {name: {} for name in user.organisations},
    }


@dataclasses.dataclass
class Report:
    """What became of a user's work.

    Attributes:
        outcomes: number of pieces of work by kind and outcome.
        broken: promises that were broken, one line each.
    """

    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    broken: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Run:
    """A user's running deployment.

    Attributes:
        clients: a client for each entry instance, by the instance's name.
        ready: instances that the callers' balancer sends requests to.
        stopped: set when the planned stop has ended; the callers go on until
            then.
    """

    user: User
    running: deployment.Deployment
    clients: dict[str, client_lib.Client]
    ready: list[str]
    stopped: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    report: Report = dataclasses.field(default_factory=Report)


async def send_anywhere(run: Run, first: int, submission: Any) -> Any:
    """Submits work to one instance after another until one replies.

    Args:
        run: the user's running deployment.
        first: number that selects the first instance.
        submission: a message with the field `attempt`.

    Returns:
        The reply, or None if no instance replied.
    """
    for attempt in range(1, MAX_ATTEMPTS + 1):
        name = run.ready[(first + attempt) % len(run.ready)]
        message = msgspec.structs.replace(submission, attempt=attempt)
        result = await run.clients[name].send(message)
        if pipeline.is_successful(result):
            return result.unwrap()
        # No instance crashes in the demo, so none may drop a message.
        run.report.broken.append(result.failure().message)
    return None


async def planned_stop(run: Run) -> None:
    """Stops one instance in the middle of the load."""
    try:
        process = run.running.of_role("entry")[-1]
        process.process.terminate()
        while await asyncio.to_thread(deployment.is_ready, process.address):
            await asyncio.sleep(PROBE_PERIOD_S)
        run.ready.remove(process.name)
        status = await asyncio.to_thread(process.process.wait, STOP_LIMIT_S)
    finally:
        run.stopped.set()
    run.report.outcomes["planned stop", f"exit {status}"] += 1
    if status != 0:
        run.report.broken.append(f"{process.name} exited with {status}")


async def request_load(run: Run) -> None:
    """Submits idempotent requests of several callers, each in turn."""
    await asyncio.gather(*(call(run, number) for number in range(CALLERS)))


async def call(run: Run, caller_number: int) -> None:
    """Submits the requests of one caller."""
    for number in itertools.count():
        if number >= MIN_REQUESTS and run.stopped.is_set():
            return
        request = request_of(run.user, f"{caller_number}-{number}", number)
        reply = await send_anywhere(run, caller_number + number, request)
        check_answer(run.report, request, reply)
        await asyncio.sleep(THINK_S)


def request_of(user: User, name: str, number: int) -> caller.SubmitRequest:
    """Builds the first submission of a request."""
    return caller.SubmitRequest(
        organisation=user.organisations[number % len(user.organisations)],
        job_class=("confirmation", "assessment")[number % 2],
        key=f"demo-{name}",
        body=f"{user.name} request {name}".encode(),
        deadline_s=DEADLINE_S,
    )


def check_answer(
    report: Report,
    request: caller.SubmitRequest,
    reply: Any,
    kind: str = "request",
) -> None:
    """Counts an answer and compares it with what the executor computes."""
    outcome = getattr(reply, "outcome", None)
    label = "no reply" if outcome is None else outcome.value
    report.outcomes[kind, label] += 1
    if outcome is not kinds.Outcome.COMPLETED:
        # No fault is injected, so there is no reason for another outcome.
        report.broken.append(f"request {request.key}: {label}")
        return
    output = request.body[::-1]
    digest = executor_messages.digest_of(output)
    if (reply.key, reply.body, reply.digest) != (request.key, output, digest):
        report.broken.append(f"request {request.key}: wrong answer")


async def exclusive_load(run: Run) -> None:
    """Submits non-idempotent requests, each from two instances at once."""
    for number in range(EXCLUSIVE_REQUESTS):
        request = caller.SubmitRequest(
            organisation=run.user.organisations[0],
            job_class="reconciliation",
            key=new_key(),
            body=f"{run.user.name} reconciliation {number}".encode(),
            deadline_s=DEADLINE_S,
        )
        again = msgspec.structs.replace(request, attempt=2)
        replies = await asyncio.gather(
            send_anywhere(run, number, request),
            send_anywhere(run, number + 1, again),
        )
        for reply in replies:
            check_answer(run.report, request, reply, "exclusive")


async def job_load(run: Run) -> None:
    """Submits gangs, and follows them through another instance."""
    await asyncio.gather(*(run_job(run, number) for number in range(JOBS)))


async def run_job(run: Run, number: int) -> None:
    """Submits one gang of two tasks and waits for its end."""
    job = caller.SubmitJob(
        organisation=run.user.organisations[number % 2],
        job_class="scan",
        key=new_key(),
        tasks=2,
        accelerators=2,
        run_s=1.0,
        payload=json.dumps({"run_s": 1.0}),
    )
    status = await send_anywhere(run, number, job)
    fetch = caller.FetchJob(organisation=job.organisation, key=job.key)
    for poll in range(JOB_POLLS):
        if status is None or status.outcome is not kinds.Outcome.PENDING:
            break
        await asyncio.sleep(JOB_POLL_S)
        name = run.ready[(number + poll) % len(run.ready)]
        result = await run.clients[name].send(fetch)
        status = result.value_or(status)
    label = "no reply" if status is None else status.outcome.value
    run.report.outcomes["job", label] += 1
    if label != "completed":
        run.report.broken.append(f"job {job.key}: {label} {status}")


async def edit_load(run: Run) -> None:
    """Edits the tree near the root and waits until it is in force."""
    for number in range(EDITS):
        edit = operator.EditTree(
            edit_id=new_key(),
            operator="demo",
            changes=[operator.Change("classes/assessment/worth", 2 + number)],
        )
        name = run.ready[number % len(run.ready)]
        reply = (await run.clients[name].send(edit)).value_or(None)
        if not isinstance(reply, operator.EditAccepted):
            run.report.outcomes["edit", "refused"] += 1
            run.report.broken.append(f"edit {number}: {reply}")
            continue
        run.report.outcomes["edit", "accepted"] += 1
        if not await is_in_force(run, reply.revision):
            run.report.broken.append(f"edit {number} is not in force")


async def is_in_force(run: Run, revision: int) -> bool:
    """Returns whether every instance has a revision before the limit."""
    end_s = time.monotonic() + IN_FORCE_LIMIT_S
    while time.monotonic() < end_s:
        statuses = [
            (await run.clients[name].send(operator.ReadStatus())).value_or(None)
            for name in list(run.ready)
        ]
        if all(s is not None and s.revision >= revision for s in statuses):
            return True
        await asyncio.sleep(PROBE_PERIOD_S)
    return False


def new_key() -> ids.RequestKey:
    """Returns a fresh UUIDv7."""
    return ids.new_request_key(
        time.time_ns() // 1_000_000, secrets.randbits(74)
    )


# Kinds of work that run at the same time for each user. A load counts its
# outcomes in run.report and adds the promises that it saw broken.
LOADS: tuple[Callable[[Run], Awaitable[None]], ...] = (
    request_load,
    exclusive_load,
    job_load,
    edit_load,
    planned_stop,
)


async def run_user(user: User, running: deployment.Deployment) -> Report:
    """Starts a user's deployment and runs every load on it."""
    await running.start_together(list(user.domains), tree_of(user))
    print(f"{user.name}: {len(running.processes)} processes", flush=True)
    async with contextlib.AsyncExitStack() as stack:
        clients = {
            process.name: await stack.enter_async_context(
                client_lib.connect(process.address)
            )
            for process in running.of_role("entry")
        }
        run = Run(user, running, clients, list(clients))
        await asyncio.gather(*(load(run) for load in LOADS))
    return run.report


def show(user: User, report: Report) -> None:
    """Prints the outcomes and broken promises of a user."""
    for (kind, outcome), count in sorted(report.outcomes.items()):
        print(f"{user.name:<12}{kind:<14}{outcome:<14}{count:>6}")
    for line in itertools.islice(report.broken, 10):
        print(f"{user.name}: broken: {line}")


async def run_all(folder: pathlib.Path) -> bool:
    """Runs both users at once; tells whether every promise was kept."""
    loop = asyncio.get_running_loop()
    this_task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        # Cancellation takes effect between two steps, so no process can be
        # started without being recorded in its deployment.
        loop.add_signal_handler(number, this_task.cancel)
    deployments = [deployment.Deployment(folder / u.name) for u in USERS]
    try:
        reports = await asyncio.gather(
            *(run_user(u, d) for u, d in zip(USERS, deployments, strict=True))
        )
    finally:
        deployment.stop_all(deployments)
    for user, report in zip(USERS, reports, strict=True):
        show(user, report)
    return not any(report.broken for report in reports)


def main(args: list[str]) -> int:
    """Runs the demo and returns its exit status."""
    started_s = time.monotonic()
    folder = pathlib.Path(args[0] if args else FOLDER)
    try:
        kept = asyncio.run(run_all(folder))
    except asyncio.CancelledError:
        print("interrupted; every process was stopped")
        return INTERRUPTED
    print(f"{time.monotonic() - started_s:.1f} s")
    print("every promise was kept" if kept else "a promise was broken")
    return 0 if kept else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
