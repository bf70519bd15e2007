"""Runs small versions of both users' deployments under a short mixed load.

Usage: python -m standins.demo [FOLDER], where FOLDER receives the logs and
settings. Prints a table of outcomes at the end; the exit status is 0 only if
every check passed. Ctrl-C stops all processes that the demo started.
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
THINK_TIME_S = 0.02
NON_IDEMPOTENT_REQUESTS = 10
JOBS = 6
JOB_POLLS = 60
JOB_POLL_S = 0.5
EDITS = 3
IN_FORCE_TIMEOUT_S = 12.0
DEADLINE_S = 10.0
MAX_ATTEMPTS = 4
PROBE_PERIOD_S = 0.1
STOP_TIMEOUT_S = 20.0
EXIT_INTERRUPTED = 130


@dataclasses.dataclass(frozen=True)
class DemoUser:
    """A user's failure domains and organisations."""

    name: str
    domains: tuple[deployment.DomainPlan, ...]
    organisations: tuple[str, ...]


USERS = (
    DemoUser(
        "authority",
        (
            deployment.DomainPlan("ishikari-a", "ishikari"),
            deployment.DomainPlan("ishikari-b", "ishikari"),
            deployment.DomainPlan("kamikawa-a", "kamikawa"),
        ),
        ("station-stands", "ward-offices"),
    ),
    DemoUser(
        "bootworks",
        (
            deployment.DomainPlan("waikato-a", "waikato"),
            deployment.DomainPlan("waikato-b", "waikato"),
            deployment.DomainPlan("otago-a", "otago"),
        ),
        ("shops", "hospitals"),
    ),
)


def build_tree(user: DemoUser) -> dict[str, Any]:
    """Builds a user's initial configuration tree."""
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
    """The results of a user's workload.

    Attributes:
        outcomes: number of work items by kind and outcome.
        violations: failed checks, one line each.
    """

    outcomes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    violations: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class DemoRun:
    """A user's running deployment.

    Attributes:
        clients: a client for each entry instance, by the instance's name.
        ready: instances that the callers' load balancer sends requests to.
        stopped: set when the planned stop has ended; the callers send requests
            until then.
    """

    user: DemoUser
    user_deployment: deployment.Deployment
    clients: dict[str, client_lib.Client]
    ready: list[str]
    stopped: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    report: Report = dataclasses.field(default_factory=Report)


async def submit_with_retries(run: DemoRun, first: int, submission: Any) -> Any:
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
        # No instance crashes in the demo, so a lost message is a violation.
        run.report.violations.append(result.failure().message)
    return None


async def planned_stop(run: DemoRun) -> None:
    """Stops one entry instance gracefully while the load is running."""
    try:
        process = run.user_deployment.processes_of_role("entry")[-1]
        process.process.terminate()
        while await asyncio.to_thread(deployment.is_ready, process.address):
            await asyncio.sleep(PROBE_PERIOD_S)
        run.ready.remove(process.name)
        status = await asyncio.to_thread(process.process.wait, STOP_TIMEOUT_S)
    finally:
        run.stopped.set()
    run.report.outcomes["planned stop", f"exit {status}"] += 1
    if status != 0:
        run.report.violations.append(f"{process.name} exited with {status}")


async def request_load(run: DemoRun) -> None:
    """Runs several callers that each submit idempotent requests in sequence."""
    await asyncio.gather(
        *(run_caller(run, number) for number in range(CALLERS))
    )


async def run_caller(run: DemoRun, caller_number: int) -> None:
    """Submits the requests of one caller."""
    for number in itertools.count():
        if number >= MIN_REQUESTS and run.stopped.is_set():
            return
        request = build_request(run.user, f"{caller_number}-{number}", number)
        reply = await submit_with_retries(run, caller_number + number, request)
        check_reply(run.report, request, reply)
        await asyncio.sleep(THINK_TIME_S)


def build_request(
    user: DemoUser, name: str, number: int
) -> caller.SubmitRequest:
    """Builds the first submission of a request."""
    return caller.SubmitRequest(
        organisation=user.organisations[number % len(user.organisations)],
        job_class=("confirmation", "assessment")[number % 2],
        key=f"demo-{name}",
        body=f"{user.name} request {name}".encode(),
        deadline_s=DEADLINE_S,
    )


def check_reply(
    report: Report,
    request: caller.SubmitRequest,
    reply: Any,
    kind: str = "request",
) -> None:
    """Counts a reply and compares it with the output of the executor."""
    outcome = getattr(reply, "outcome", None)
    label = "no reply" if outcome is None else outcome.value
    report.outcomes[kind, label] += 1
    if outcome is not kinds.Outcome.COMPLETED:
        # No fault is injected, so no other outcome is acceptable.
        report.violations.append(f"request {request.key}: {label}")
        return
    output = request.body[::-1]
    digest = executor_messages.digest_of(output)
    if (reply.key, reply.body, reply.digest) != (request.key, output, digest):
        report.violations.append(f"request {request.key}: wrong answer")


async def non_idempotent_load(run: DemoRun) -> None:
    """Submits non-idempotent requests, each to two instances at once."""
    for number in range(NON_IDEMPOTENT_REQUESTS):
        request = caller.SubmitRequest(
            organisation=run.user.organisations[0],
            job_class="reconciliation",
            key=new_key(),
            body=f"{run.user.name} reconciliation {number}".encode(),
            deadline_s=DEADLINE_S,
        )
        again = msgspec.structs.replace(request, attempt=2)
        replies = await asyncio.gather(
            submit_with_retries(run, number, request),
            submit_with_retries(run, number + 1, again),
        )
        for reply in replies:
            check_reply(run.report, request, reply, "exclusive")


async def job_load(run: DemoRun) -> None:
    """Submits gang jobs and polls them through other instances."""
    await asyncio.gather(*(run_job(run, number) for number in range(JOBS)))


async def run_job(run: DemoRun, number: int) -> None:
    """Submits a gang of two tasks and waits until it ends."""
    job = caller.SubmitJob(
        organisation=run.user.organisations[number % 2],
        job_class="scan",
        key=new_key(),
        tasks=2,
        accelerators=2,
        run_s=1.0,
        payload=json.dumps({"run_s": 1.0}),
    )
    status = await submit_with_retries(run, number, job)
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
        run.report.violations.append(f"job {job.key}: {label} {status}")


async def edit_load(run: DemoRun) -> None:
    """Edits the tree near its root and waits until each edit is in force."""
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
            run.report.violations.append(f"edit {number}: {reply}")
            continue
        run.report.outcomes["edit", "accepted"] += 1
        if not await is_in_force(run, reply.revision):
            run.report.violations.append(f"edit {number} is not in force")


async def is_in_force(run: DemoRun, revision: int) -> bool:
    """Returns whether all instances have a revision before the timeout."""
    end_s = time.monotonic() + IN_FORCE_TIMEOUT_S
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
    """Returns a new UUIDv7."""
    return ids.new_request_key(
        time.time_ns() // 1_000_000, secrets.randbits(74)
    )


# Loads that run concurrently for each user. Each counts its outcomes and adds
# the violations that it found to run.report.
LOADS: tuple[Callable[[DemoRun], Awaitable[None]], ...] = (
    request_load,
    non_idempotent_load,
    job_load,
    edit_load,
    planned_stop,
)


async def run_user(
    user: DemoUser, user_deployment: deployment.Deployment
) -> Report:
    """Starts a user's deployment and runs all loads on it."""
    await user_deployment.start_async(list(user.domains), build_tree(user))
    print(
        f"{user.name}: {len(user_deployment.processes)} processes", flush=True
    )
    async with contextlib.AsyncExitStack() as stack:
        clients = {
            process.name: await stack.enter_async_context(
                client_lib.connect(process.address)
            )
            for process in user_deployment.processes_of_role("entry")
        }
        run = DemoRun(user, user_deployment, clients, list(clients))
        await asyncio.gather(*(load(run) for load in LOADS))
    return run.report


def print_report(user: DemoUser, report: Report) -> None:
    """Prints a user's outcomes and the first violations."""
    for (kind, outcome), count in sorted(report.outcomes.items()):
        print(f"{user.name:<12}{kind:<14}{outcome:<14}{count:>6}")
    for line in itertools.islice(report.violations, 10):
        print(f"{user.name}: broken: {line}")


async def run_all(folder: pathlib.Path) -> bool:
    """Runs both users' deployments; returns whether every check passed."""
    loop = asyncio.get_running_loop()
    this_task = asyncio.current_task()
    for number in (signal.SIGINT, signal.SIGTERM):
        # Cancellation only takes effect at an await, so a process is never
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
        print_report(user, report)
    return not any(report.violations for report in reports)


def main(args: list[str]) -> int:
    """Runs the demo and returns its exit status."""
    started_s = time.monotonic()
    folder = pathlib.Path(args[0] if args else FOLDER)
    try:
        passed = asyncio.run(run_all(folder))
    except asyncio.CancelledError:
        print("interrupted; all processes were stopped")
        return EXIT_INTERRUPTED
    print(f"{time.monotonic() - started_s:.1f} s")
    print("every check passed" if passed else "a check failed")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
