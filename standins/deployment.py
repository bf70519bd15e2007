"""Starts and stops the processes of a user's deployment on loopback."""

import asyncio
import configparser
import dataclasses
import json
import pathlib
import subprocess
import sys
import time
import urllib.request
from typing import Any

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
PROBE_TIMEOUT_S = 2.0
LISTENING_PREFIX = "listening on "


@dataclasses.dataclass(frozen=True)
class DomainPlan:
    """Number of processes of each role in a failure domain.

    Attributes:
        run_s: run time of the executors' tasks in seconds.
    """

    name: str
    region: str
    entries: int = 2
    executors: int = 2
    workers: int = 2
    run_s: float = 0.02


@dataclasses.dataclass
class Process:
    """A started process.

    Attributes:
        listing: further fields of its entry in the instance list; if empty, it
            has no entry.
    """

    name: str
    role: str
    address: str
    process: subprocess.Popen
    log_path: pathlib.Path
    listing: dict[str, Any]


class Deployment:
    """A user's store, instance list, targets and entry instances.

    Attributes:
        folder: where logs and settings files are written.
        settings: additional sections of the entry instances' settings files.
        processes: started processes by name.
        store_address: address that entry instances use for the store, such as
            that of a relay; if empty, the store's own.
        listed_addresses: addresses that the instance list shows instead of a
            process's own, by process name.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        sampled_share: float = 1.0,
        settings: dict[str, dict[str, Any]] | None = None,
    ):
        self.folder = folder
        self.settings = {
            **(settings or {}),
            "tracing": {"sampled_share": sampled_share},
        }
        self.processes: dict[str, Process] = {}
        self.store_address = ""
        self.listed_addresses: dict[str, str] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *details: Any) -> None:
        self.stop()

    def start(self, domains: list[DomainPlan], tree: dict[str, Any]) -> None:
        """Starts all processes and waits until entry instances are ready."""
        asyncio.run(self.start_async(domains, tree))

    async def start_async(
        self, domains: list[DomainPlan], tree: dict[str, Any]
    ) -> None:
        """Starts all processes in parallel, in a running event loop."""
        await self.start_platform(domains, tree)
        await self.start_entries(domains)

    async def start_platform(
        self, domains: list[DomainPlan], tree: dict[str, Any]
    ) -> None:
        """Starts the store, the instance list and all targets."""
        document = {"revision": 1, "tree": tree, "edits": []}
        values = {"config/tree": json.dumps(document)}
        self.launch_standin("store", "store", {"values": values}, {})
        self.launch_standin(
            "instance-list", "instance_list", {"entries": [], "lag_s": 1.0}, {}
        )
        for domain in domains:
            self._launch_targets(domain)
        await self.wait_for_addresses()

    async def start_entries(self, domains: list[DomainPlan]) -> None:
        """Starts the entry instances and waits until they are ready."""
        for domain in domains:
            for number in range(1, domain.entries + 1):
                self.launch_entry(f"{domain.name}-entry-{number}", domain)
        await self.wait_for_addresses()
        self.publish_instances()
        for process in self.processes_of_role("entry"):
            await wait_until_ready(process.address)

    def _launch_targets(self, domain: DomainPlan) -> None:
        location = {"failure_domain": domain.name, "region": domain.region}
        for number in range(1, domain.executors + 1):
            self.launch_standin(
                f"{domain.name}-executor-{number}",
                "executor",
                {"slots": 8, "run_s": domain.run_s},
                {**location, "slots": 8},
            )
        for number in range(1, domain.workers + 1):
            rack = f"{domain.name}-rack-{(number - 1) // 8 + 1}"
            size = {"accelerators": 8, "cores": 64, "memory_gb": 128}
            self.launch_standin(
                f"{domain.name}-worker-{number}",
                "worker",
                {"accelerators": 8},
                {**location, **size, "rack": rack},
            )

    def start_standin(
        self,
        name: str,
        role: str,
        options: dict[str, Any],
        listing: dict[str, Any],
    ) -> Process:
        """Starts a stand-in and reads its address."""
        process = self.launch_standin(name, role, options, listing)
        asyncio.run(self.wait_for_addresses())
        return process

    def launch_standin(
        self,
        name: str,
        role: str,
        options: dict[str, Any],
        listing: dict[str, Any],
    ) -> Process:
        """Starts a stand-in without waiting for its address."""
        command = [
            sys.executable,
            "-m",
            "standins.serve",
            role,
            json.dumps(options),
        ]
        return self.spawn(name, role, command, listing)

    def start_entry(self, name: str, domain: DomainPlan) -> Process:
        """Writes an entry instance's settings, starts it, reads its address."""
        process = self.launch_entry(name, domain)
        asyncio.run(self.wait_for_addresses())
        return process

    def launch_entry(self, name: str, domain: DomainPlan) -> Process:
        """Starts an entry instance without waiting for its address."""
        sections = {
            "instance": {
                "name": name,
                "failure_domain": domain.name,
                "region": domain.region,
                "listen": "127.0.0.1:0",
            },
            "platform": {
                "store": self.store_address or self.processes["store"].address,
                "instance_list": self.processes["instance-list"].address,
            },
            **self.settings,
        }
        path = self.folder / f"{name}.ini"
        parser = configparser.ConfigParser()
        parser.read_dict(sections)
        with path.open("w") as file:
            parser.write(file)
        command = [sys.executable, "-m", "dandelionpick", "run", str(path)]
        listing = {"failure_domain": domain.name, "region": domain.region}
        return self.spawn(name, "entry", command, listing)

    def spawn(
        self,
        name: str,
        role: str,
        command: list[str],
        listing: dict[str, Any],
    ) -> Process:
        """Starts a process whose output goes to a log file of its own."""
        log_path = self.folder / f"{name}.log"
        with log_path.open("wb") as log:
            # In a session of its own, the process does not receive Ctrl-C from
            # the terminal, so that `stop` controls how it is stopped.
            child = subprocess.Popen(
                command,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        process = Process(name, role, "", child, log_path, listing)
        self.processes[name] = process
        return process

    async def wait_for_addresses(self) -> None:
        """Waits until every started process has printed its address.

        Raises:
            RuntimeError: a process ended or took too long.
        """
        end_s = time.monotonic() + START_TIMEOUT_S
        for process in self.processes.values():
            while not process.address:
                process.address = _read_address(process.log_path)
                ended = process.process.poll() is not None
                if not process.address and (ended or time.monotonic() >= end_s):
                    raise RuntimeError(
                        f"{process.name} did not start; see {process.log_path}"
                    )
                await asyncio.sleep(0.02)

    def processes_of_role(self, role: str) -> list[Process]:
        """Returns the processes of a role in the order of their start."""
        return [p for p in self.processes.values() if p.role == role]

    def entry_addresses(self) -> list[str]:
        """Returns the addresses of the entry instances."""
        return [process.address for process in self.processes_of_role("entry")]

    def publish_instances(self, leaving: frozenset[str] = frozenset()) -> None:
        """Sets the instance list to the current instances and targets."""
        entries = [
            {
                "id": process.name,
                "role": process.role,
                "address": self.listed_addresses.get(
                    process.name, process.address
                ),
                "state": "leaving" if process.name in leaving else "live",
                **process.listing,
            }
            for process in self.processes.values()
            if process.listing
        ]
        control(self.processes["instance-list"].address, {"entries": entries})

    def stop(self) -> None:
        """Stops all processes: entry instances first, then the others."""
        stop_all([self])

    def kill(self) -> None:
        """Kills all processes."""
        for process in self.processes.values():
            process.process.kill()
        for process in self.processes.values():
            process.process.wait()
        self.processes.clear()


def stop_all(deployments: list[Deployment]) -> None:
    """Stops several deployments: entry instances first, then the others."""
    running = [p for d in deployments for p in d.processes.values()]
    entries = [p for p in running if p.role == "entry"]
    others = [p for p in running if p.role != "entry"]
    try:
        _stop_group(entries)
        _stop_group(others)
    finally:
        for deployment in deployments:
            deployment.kill()


def _stop_group(group: list[Process]) -> None:
    for process in group:
        if process.process.poll() is None:
            process.process.terminate()
    end_s = time.monotonic() + STOP_TIMEOUT_S
    for process in group:
        _reap(process.process, end_s)


def _read_address(log_path: pathlib.Path) -> str:
    for line in log_path.read_text().splitlines(keepends=True):
        if LISTENING_PREFIX in line and line.endswith("\n"):
            return line.split(LISTENING_PREFIX, 1)[1].strip()
    return ""


def _reap(child: subprocess.Popen, end_s: float) -> None:
    try:
        child.wait(max(0.1, end_s - time.monotonic()))
    except subprocess.TimeoutExpired:
        child.kill()
        child.wait()


def control(address: str, options: dict[str, Any]) -> None:
    """Changes the options of a running stand-in."""
    post(f"http://{address}/control", json.dumps(options).encode())


def post(url: str, body: bytes) -> bytes:
    """Posts a body and returns the body of the response."""
    request = urllib.request.Request(url, data=body, method="POST")
    with urllib.request.urlopen(request, timeout=START_TIMEOUT_S) as response:
        return response.read()


async def wait_until_ready(address: str) -> None:
    """Waits until an entry instance reports that it is ready.

    Raises:
        RuntimeError: it did not become ready in time.
    """
    end_s = time.monotonic() + START_TIMEOUT_S
    while not is_ready(address):
        if time.monotonic() >= end_s:
            raise RuntimeError(f"{address} is not ready")
        await asyncio.sleep(0.05)


def is_ready(address: str) -> bool:
    """Returns whether an entry instance reports that it is ready."""
    try:
        urllib.request.urlopen(
            f"http://{address}/readyz", timeout=PROBE_TIMEOUT_S
        ).close()
    except OSError:
        return False
    return True


def read_metric(address: str, name: str) -> float:
    """Returns the sum of a metric's samples on an entry instance."""
    url = f"http://{address}/metrics"
    with urllib.request.urlopen(url, timeout=START_TIMEOUT_S) as response:
        lines = response.read().decode().splitlines()
    return sum(
        float(line.rsplit(" ", 1)[1])
        for line in lines
        if line.split("{")[0].split(" ")[0] == name
    )
