"""Plays a soak: wires the processes, callers, probes and faults."""

import asyncio
import dataclasses
import json
import pathlib
import signal
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec

from soak import callers as callers_lib
from soak import disturbances
from soak import drains
from soak import injection
from soak import ledger as ledger_lib
from soak import plan
from soak import probes
from soak import processes
from soak import reclaim

Promise = ledger_lib.Promise

CALLERS_PER_INSTANCE = 3
# The callers share one process, which would be late for more.
MAX_CALLERS = 24
KEYS = 4
READY_TIMEOUT_S = 30.0
# All instances start at once, and share the processors.
READY_TIMEOUT_PER_INSTANCE_S = 1.0
PROGRESS_PERIOD_S = 5.0
WATCH_PERIOD_S = 0.2
# Jobs have to end this long after the last fault. The longest has two steps of
# 3 s; work on a lost target waits for its lease first.
SETTLE_S = 60.0
# Of the routes in the configuration.
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """What to play.

    Attributes:
        pace: divides the pauses between series of faults.
        folder: for logs, the faults and the report.
        progress: is called with each progress line.
        mutant: name of a mutant (`tests.mutants`) to run in place of the
            program.
        faults: faults to play; None for those of the seed.
        claims: whether a tenant claims its guarantee all the time.
    """

    seed: int
    duration_s: float
    instances: int
    targets: int
    pace: float
    folder: pathlib.Path
    progress: Callable[[str], None]
    mutant: str = ""
    faults: tuple[plan.Fault, ...] | None = None
    claims: bool = False


def draw_faults(options: Options) -> list[plan.Fault]:
    """Returns the faults of a run in the order of their times."""
    if options.faults is not None:
        return list(options.faults)
    return plan.draw(
        options.seed,
        options.duration_s,
        options.instances,
        options.targets,
        options.pace,
    )


class Soak:
    """One run.

    Attributes:
        faults: all faults in the order of their times.
        played: number of faults that were begun.
        disturbances: the faults that are over.
    """

    def __init__(self, options: Options):
        self.options = options
        self.ledger = ledger_lib.Ledger()
        self.system = processes.System(options.folder, options.mutant)
        self.faults = draw_faults(options)
        self.played = 0
        self.disturbances: list[disturbances.Disturbance] = []
        self.callers: list[callers_lib.Caller] = []
        self.claimant: reclaim.Claimant | None = None

    async def play(self) -> ledger_lib.Ledger:
        """Plays the run and returns what was checked.

        Raises:
            RuntimeError: the processes did not start.
        """
        options = self.options
        options.folder.mkdir(parents=True, exist_ok=True)
        keys = [f"temporary-{number}" for number in range(KEYS)]
        (options.folder / "faults.json").write_text(
            json.dumps([plan.to_record(it) for it in self.faults], indent=1)
        )
        try:
            await self.system.start(
                processes.configuration(keys),
                options.instances,
                options.targets,
                options.seed,
            )
            async with aiohttp.ClientSession() as session:
                context = injection.Context(
                    self.system, session, self.ledger, keys
                )
                await self._wait_until_ready(session)
                await self._play_in(context)
        finally:
            self.system.stop()
        return self.ledger

    async def _wait_until_ready(self, session: aiohttp.ClientSession) -> None:
        instances = self.system.instances
        timeout_s = READY_TIMEOUT_S
        timeout_s += READY_TIMEOUT_PER_INSTANCE_S * len(instances)
        end_s = time.monotonic() + timeout_s
        for instance in instances:
            while not await _is_ready(session, instance):
                has_ended = instance.child.poll() is not None
                if has_ended or time.monotonic() > end_s:
                    raise RuntimeError(f"{instance.name} did not get ready")
                await asyncio.sleep(processes.POLL_S)

    async def _play_in(self, context: injection.Context) -> None:
        began_s = time.monotonic()
        end_s = began_s + self.options.duration_s
        count = min(MAX_CALLERS, CALLERS_PER_INSTANCE * self.options.instances)
        self.callers = [
            callers_lib.Caller(context, self.options.seed * 1_000 + number)
            for number in range(count)
        ]
        if self.options.claims:
            caller = callers_lib.Caller(context, self.options.seed)
            self.claimant = reclaim.Claimant(caller, self.options.seed)
        background = [
            asyncio.ensure_future(work)
            for work in (
                probes.Probes(context).run(),
                self._watch_processes(),
                self._report_progress(began_s),
            )
        ]
        async with asyncio.TaskGroup() as group:
            for caller in self.callers:
                group.create_task(caller.run(end_s))
            if self.claimant is not None:
                group.create_task(self.claimant.run(end_s))
            for fault in self.faults:
                group.create_task(self._play_fault(fault, began_s, context))
        await self._check_ends(context)
        for task in background:
            task.cancel()
        results = await asyncio.gather(*background, return_exceptions=True)
        for caller in self._all_callers():
            await caller.close()
        for result in results:
            if not isinstance(result, asyncio.CancelledError):
                raise RuntimeError("a part of the soak has ended") from result

    async def _play_fault(
        self, fault: plan.Fault, began_s: float, context: injection.Context
    ) -> None:
        await asyncio.sleep(began_s + fault.at_s - time.monotonic())
        self.played += 1
        fault_began_s = time.monotonic()
        await injection.play(fault, context)
        self.disturbances.append(
            disturbances.Disturbance(fault, fault_began_s, time.monotonic())
        )

    async def _watch_processes(self) -> None:
        """Checks that processes end only when they are told to."""
        while True:
            for instance in self.system.instances:
                child = instance.child
                if child is None or instance.stopping_since_s < float("inf"):
                    continue
                self.ledger.check(
                    Promise.PROCESS_STAYS_UP,
                    child.poll() is None,
                    f"{instance.name} has ended with status {child.poll()}",
                )
                if child.poll() is not None:
                    instance.start()
            await asyncio.sleep(WATCH_PERIOD_S)

    async def _report_progress(self, began_s: float) -> None:
        while True:
            await asyncio.sleep(PROGRESS_PERIOD_S)
            accepted = sum(len(caller.jobs) for caller in self.callers)
            self.options.progress(
                f"{time.monotonic() - began_s:6.1f} s:"
                f" {self.played} of {len(self.faults)} faults,"
                f" {self.ledger.outcomes.total()} requests,"
                f" {accepted} jobs accepted,"
                f" {len(self.ledger.violations)} violations"
            )

    def _all_callers(self) -> list[callers_lib.Caller]:
        if self.claimant is None:
            return self.callers
        return [*self.callers, self.claimant.caller]

    async def _check_ends(self, context: injection.Context) -> None:
        """Waits until all jobs have ended, and compares with the targets."""
        jobs = [
            (caller, job)
            for caller in self._all_callers()
            for job in caller.jobs
        ]
        end_s = time.monotonic() + SETTLE_S
        while time.monotonic() < end_s:
            open_jobs = [
                pair
                for pair in jobs
                if pair[1].state not in callers_lib.ENDED_STATES
            ]
            if not open_jobs:
                break
            for caller, job in open_jobs:
                await caller.poll(job)
            await asyncio.sleep(callers_lib.POLL_S)
        evidence = await self._evidence(context)
        for _, job in jobs:
            self._check_job(job, evidence)
        if self.claimant is not None:
            reclaim.check(
                self.claimant.caller.jobs,
                evidence["first_starts_s"],
                self.disturbances,
                self.ledger,
            )
        drains.check(
            msgspec.convert(evidence["drains"], list[drains.Drain]),
            self.disturbances,
            self.ledger,
        )
        self.ledger.checks[Promise.TARGET_RULES] += evidence["starts"]
        for text in evidence["broken"]:
            self.ledger.violations.append((Promise.TARGET_RULES, text))

    def _check_job(
        self, job: callers_lib.Job, evidence: dict[str, Any]
    ) -> None:
        expected = {"completed"}
        if job.cancelled:
            expected.add("cancelled")
        failures = evidence["failures"]
        if any(failures.get(it, 0) >= MAX_ATTEMPTS for it in job.tasks):
            expected.add("failed")
        self.ledger.check(
            Promise.ALL_JOBS_END,
            job.state in expected,
            f"{job.path} ends as {job.state or 'unknown'}",
        )
        if job.state == "completed":
            missing = set(job.tasks) - set(evidence["done"])
            self.ledger.check(
                Promise.COMPLETED_IS_DONE,
                not missing,
                f"{job.path} is completed without {sorted(missing)}",
            )

    async def _evidence(self, context: injection.Context) -> dict[str, Any]:
        url = f"http://{self.system.store}/evidence"
        async with context.session.get(url) as response:
            return await response.json()


async def _is_ready(
    session: aiohttp.ClientSession, instance: processes.Instance
) -> bool:
    try:
        async with session.get(f"http://{instance.health}/readyz") as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError):
        return False


async def play_until_signal(soak: Soak) -> ledger_lib.Ledger:
    """Plays; SIGINT or SIGTERM ends the run and its processes early.

    Raises:
        RuntimeError: the processes did not start.
    """
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await soak.play()
