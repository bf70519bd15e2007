"""Runs jobs on a small simulated platform, with real processes on loopback.

A stand-in serves the store and the targets. Three instances accept jobs, and
the one that is the scheduler is killed while jobs run. All jobs must complete,
and the stand-in's oracle must record no violation, such as a task that runs
twice.
"""

import asyncio
import configparser
import dataclasses
import json
import pathlib
import re
import secrets
import subprocess
import sys
import time
from typing import Any

import aiohttp

LISTENING_PREFIX = "listening on "
ADDRESS = re.compile(r"[\d.]+:\d+")
START_TIMEOUT_S = 30.0
END_TIMEOUT_S = 40.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.1
INSTANCES = 3
TARGETS = 4
JOBS = 12
# The scheduler is killed once the job with this index was accepted.
KILL_AFTER_JOB = 6
LISTENERS = ("callers", "health", "peers")
HOST = "jobs.example"
KEY = "demo-key"
BOUNDS = {
    "revoke_ms": 5_000,
    "run_lease_ms": 10_000,
    "restore_ms": 600,
    "stop_ms": 400,
    "early_ms": 250,
    "retention_s": 120,
    "drain_s": 6,
}
QUEUES = {"urgent": 0, "normal": 1, "batch": 2}


@dataclasses.dataclass
class Process:
    """A started process and the addresses that it has printed."""

    name: str
    child: subprocess.Popen
    log: pathlib.Path
    addresses: list[str] = dataclasses.field(default_factory=list)


def configuration() -> str:
    """Returns the operators' configuration."""
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "service": "pool",
            "priority": QUEUES[name],
            "max_attempts": 3,
            "stretch_factor": 3.0,
            "target_latency_ms": 1_000,
        }
        for name in QUEUES
    ]
    tenant = {"name": "ward", "api_keys": [KEY], "guaranteed": {"gpu": 16}}
    return json.dumps({"version": 1, "routes": routes, "tenants": [tenant]})


def write_settings(
    path: pathlib.Path,
    name: str,
    store: str,
    listen: dict[str, str],
    bounds: dict[str, float],
) -> None:
    """Writes the settings file of an instance.

    Args:
        path: the file.
        name: the instance.
        store: address of the store.
        listen: address to listen on, by the names in `LISTENERS`.
        bounds: the platform's bounds by their names in the settings.
    """
    parser = configparser.ConfigParser()
    parser.read_dict(
        {
            "instance": {
                "name": name,
                "failure_domain": "a",
                "region": "north",
            },
            "listen": listen,
            "store": {"address": store},
            "bounds": bounds,
        }
    )
    with path.open("w") as file:
        parser.write(file)


class Demo:
    """The processes of the demo."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.processes: dict[str, Process] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def spawn(self, name: str, *command: str) -> Process:
        """Starts a process whose output goes to a log file of its own."""
        log = self.folder / f"{name}.log"
        with log.open("wb") as file:
            child = subprocess.Popen(
                [sys.executable, "-m", *command],
                stdout=file,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        process = Process(name, child, log)
        self.processes[name] = process
        return process

    async def wait_until_listening(self, process: Process) -> None:
        """Waits until a process has printed its addresses.

        Raises:
            RuntimeError: the process ended or took too long.
        """
        end_s = time.monotonic() + START_TIMEOUT_S
        while not process.addresses:
            text = process.log.read_text(errors="replace")
            printed = text.partition(LISTENING_PREFIX)[2]
            if "\n" in printed:
                process.addresses = ADDRESS.findall(printed.splitlines()[0])
                return
            if process.child.poll() is not None or time.monotonic() > end_s:
                raise RuntimeError(
                    f"{process.name} did not start; see {process.log}"
                )
            await asyncio.sleep(POLL_S)

    async def start(self) -> None:
        """Starts the platform stand-in and then the instances."""
        store = self.spawn(
            "platform", "standins.platform_serve", configuration(), str(TARGETS)
        )
        await self.wait_until_listening(store)
        for number in range(INSTANCES):
            name = f"entry-{number}"
            path = self._write_settings(name, store.addresses[0])
            self.spawn(name, "dandelionpick", "schedule", str(path))
        for process in list(self.processes.values()):
            await self.wait_until_listening(process)

    def _write_settings(self, name: str, store: str) -> pathlib.Path:
        path = self.folder / f"{name}.ini"
        listen = dict.fromkeys(LISTENERS, "127.0.0.1:0")
        write_settings(path, name, store, listen, BOUNDS)
        return path

    def running_instances(self) -> list[Process]:
        """Returns the running instances."""
        return [
            process
            for process in self.processes.values()
            if process.name.startswith("entry") and process.child.poll() is None
        ]

    def stop(self) -> None:
        """Stops all processes that were started."""
        for process in self.processes.values():
            process.child.terminate()
        for process in self.processes.values():
            try:
                process.child.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.child.kill()
                process.child.wait()


class Caller:
    """Submits and polls jobs, using the instances in turn."""

    def __init__(self, session: aiohttp.ClientSession, demo: Demo):
        self.session = session
        self.demo = demo
        self.attempts = 0

    async def call(
        self, method: str, path: str, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Sends a request and retries until there is a final reply.

        Raises:
            RuntimeError: there was none in time.
        """
        end_s = time.monotonic() + END_TIMEOUT_S
        while time.monotonic() < end_s:
            instances = self.demo.running_instances()
            self.attempts += 1
            address = instances[self.attempts % len(instances)].addresses[0]
            try:
                async with self.session.request(
                    method,
                    f"http://{address}{path}",
                    json=body,
                    headers={"host": HOST, "authorization": f"Bearer {KEY}"},
                ) as response:
                    if response.status not in (502, 503, 504):
                        return response.status, await response.json()
            except aiohttp.ClientError as error:
                print(f"{method} {path} is repeated: {error!r}")
            await asyncio.sleep(POLL_S)
        raise RuntimeError(f"{method} {path} got no reply")

    async def find_scheduler(self) -> Process:
        """Returns the instance whose metrics show that it is the scheduler.

        Raises:
            RuntimeError: there was none in time.
        """
        end_s = time.monotonic() + END_TIMEOUT_S
        while time.monotonic() < end_s:
            for process in self.demo.running_instances():
                url = f"http://{process.addresses[2]}/metrics"
                async with self.session.get(url) as response:
                    if "dandelionpick_scheduler 1.0" in await response.text():
                        return process
            await asyncio.sleep(POLL_S)
        raise RuntimeError("no instance is the scheduler")


def build_job(number: int) -> dict[str, Any]:
    """Builds a job of single tasks or a gang, some with a second step."""
    work_s = 1.0 + number % 3
    phase = {"count": 2 + number % 4, "cpu": 1_000, "mem_mb": 100, "gpu": 1}
    phase["estimate_ms"] = round(work_s * 1_000)
    phases = [{**phase, "gang": number % 3 == 0}]
    if number % 4 == 1:
        phases.append({**phase, "after": [0]})
    return {"spec": json.dumps({"work_s": work_s}), "phases": phases}


async def run(folder: pathlib.Path) -> bool:
    """Runs the demo; returns whether all jobs completed without violation."""
    demo = Demo(folder)
    try:
        await demo.start()
        async with aiohttp.ClientSession() as session:
            return await _run_jobs(Caller(session, demo))
    finally:
        demo.stop()


async def _run_jobs(caller: Caller) -> bool:
    store = caller.demo.processes["platform"].addresses[0]
    paths = []
    for number in range(JOBS):
        job_id = secrets.token_hex(8)
        path = f"/{list(QUEUES)[number % len(QUEUES)]}/{job_id}"
        body = build_job(number)
        await caller.session.post(f"http://{store}/jobs/{job_id}", json=body)
        status, _ = await caller.call("POST", path, body)
        if status != 200:
            print(f"{path} was not accepted: {status}")
            return False
        paths.append(path)
        if number == KILL_AFTER_JOB:
            scheduler = await caller.find_scheduler()
            scheduler.child.kill()
            print(f"killed the scheduler, {scheduler.name}")
    states = await _wait_until_ended(caller, paths)
    async with caller.session.get(f"http://{store}/broken") as response:
        report = await response.json()
    twice = [task for task, count in report["starts"].items() if count > 1]
    print(f"{len(paths)} jobs: {', '.join(sorted(states.values()))}")
    print(
        f"{len(report['starts'])} tasks, started more than once: {len(twice)}"
    )
    for text in report["broken"]:
        print(f"broken: {text}")
    completed = all(state == "completed" for state in states.values())
    return completed and not report["broken"]


async def _wait_until_ended(caller: Caller, paths: list[str]) -> dict[str, str]:
    states: dict[str, str] = {}
    end_s = time.monotonic() + END_TIMEOUT_S
    while len(states) < len(paths) and time.monotonic() < end_s:
        for path in paths:
            if path not in states:
                _, reply = await caller.call("GET", path)
                if reply.get("state") in ("completed", "failed"):
                    states[path] = reply["state"]
        await asyncio.sleep(POLL_S)
    return states


def main(args: list[str]) -> int:
    """Runs the demo and returns its exit status."""
    folder = pathlib.Path(args[0] if args else "build/platform-demo")
    passed = asyncio.run(run(folder))
    print("every check passed" if passed else "a check failed")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
