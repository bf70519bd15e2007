"""Starts the processes of a user's deployment on loopback and stops them."""

import dataclasses
import itertools
import json
import pathlib
import subprocess
import sys
import time
import urllib.request
from typing import Any

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
LISTENING = "listening on "


@dataclasses.dataclass(frozen=True)
class DomainPlan:
    """How many processes of each kind a failure domain gets."""

    name: str
    region: str
    entries: int = 2
    executors: int = 2
    workers: int = 2


@dataclasses.dataclass
class Process:
    """A started process.

    Attributes:
        listing: its entry in the instance list.
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
        processes: started processes by name.
    """

    def __init__(self, folder: pathlib.Path, sampled_share: float = 1.0):
        self.folder = folder
        self.sampled_share = sampled_share
        self.processes: dict[str, Process] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *details: Any) -> None:
        self.stop()

    def start(self, domains: list[DomainPlan], tree: dict[str, Any]) -> None:
        """Starts everything and waits until every entry instance is ready."""
        document = {"revision": 1, "tree": tree, "edits": []}
        values = {"config/tree": json.dumps(document)}
        self.start_standin("store", "store", {"values": values}, {})
        self.start_standin(
            "instance-list", "instance_list", {"entries": [], "lag_s": 1.0}, {}
        )
        for domain in domains:
            self._start_targets(domain)
        for domain in domains:
            for number in range(1, domain.entries + 1):
                self.start_entry(f"{domain.name}-entry-{number}", domain)
        self.publish()
        for process in self.of_role("entry"):
            wait_until_ready(process.address)

    def _start_targets(self, domain: DomainPlan) -> None:
        place = {"failure_domain": domain.name, "region": domain.region}
        for number in range(1, domain.executors + 1):
            self.start_standin(
                f"{domain.name}-executor-{number}",
                "executor",
                {"slots": 8},
                {**place, "slots": 8},
            )
        for number in range(1, domain.workers + 1):
            rack = f"{domain.name}-rack-{(number - 1) // 8 + 1}"
            size = {"accelerators": 8, "cores": 64, "memory_gb": 128}
            self.start_standin(
                f"{domain.name}-worker-{number}",
                "worker",
                {"accelerators": 8},
                {**place, **size, "rack": rack},
            )

    def start_standin(
        self,
        name: str,
        role: str,
        options: dict[str, Any],
        listing: dict[str, Any],
    ) -> Process:
        """Starts a stand-in and reads its address."""
        command = [
            sys.executable,
            "-m",
            "standins.serve",
            role,
            json.dumps(options),
        ]
        return self.spawn(name, role, command, listing)

    def start_entry(self, name: str, domain: DomainPlan) -> Process:
        """Writes an entry instance's settings and starts it."""
        path = self.folder / f"{name}.ini"
        path.write_text(
            "[instance]\n"
            f"name = {name}\n"
            f"failure_domain = {domain.name}\n"
            f"region = {domain.region}\n"
            "listen = 127.0.0.1:0\n"
            "[platform]\n"
            f"store = {self.processes['store'].address}\n"
            f"instance_list = {self.processes['instance-list'].address}\n"
            "[tracing]\n"
            f"sampled_share = {self.sampled_share}\n"
        )
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
        """Starts a process and waits for the address that it prints."""
        log_path = self.folder / f"{name}.log"
        with log_path.open("wb") as log:
            child = subprocess.Popen(
                command,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        process = Process(name, role, "", child, log_path, listing)
        self.processes[name] = process
        process.address = self._await_address(process)
        return process

    def _await_address(self, process: Process) -> str:
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            for line in process.log_path.read_text().splitlines():
                if LISTENING in line:
                    return line.split(LISTENING, 1)[1].strip()
            if process.process.poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(
            f"{process.name} did not start; see {process.log_path}"
        )

    def of_role(self, role: str) -> list[Process]:
        """Returns the processes of a role, in the order of their start."""
        return [p for p in self.processes.values() if p.role == role]

    def entry_addresses(self) -> list[str]:
        """Returns the addresses of the entry instances."""
        return [process.address for process in self.of_role("entry")]

    def publish(self, leaving: frozenset[str] = frozenset()) -> None:
        """Tells the instance list which instances and targets there are."""
        entries = [
            {
                "id": process.name,
                "role": process.role,
                "address": process.address,
                "state": "leaving" if process.name in leaving else "live",
                **process.listing,
            }
            for process in self.processes.values()
            if process.listing
        ]
        control(self.processes["instance-list"].address, {"entries": entries})

    def stop(self) -> None:
        """Stops every process: entry instances first, then the rest."""
        entries = self.of_role("entry")
        others = [p for p in self.processes.values() if p.role != "entry"]
        for group in (entries, others):
            for process in group:
                if process.process.poll() is None:
                    process.process.terminate()
            end_s = time.monotonic() + STOP_TIMEOUT_S
            for process in group:
                _reap(process.process, end_s)
        self.processes.clear()


def _reap(child: subprocess.Popen, end_s: float) -> None:
    try:
        child.wait(max(0.1, end_s - time.monotonic()))
    except subprocess.TimeoutExpired:
        child.kill()
        child.wait()


def control(address: str, options: dict[str, Any]) -> None:
    """Changes the options of a running stand-in."""
    body = json.dumps(options).encode()
    request = urllib.request.Request(
        f"http://{address}/control", data=body, method="POST"
    )
    urllib.request.urlopen(request, timeout=START_TIMEOUT_S).close()


def wait_until_ready(address: str) -> None:
    """Waits until an entry instance says that it is ready.

    Raises:
        RuntimeError: it did not become ready in time.
    """
    end_s = time.monotonic() + START_TIMEOUT_S
    for _ in itertools.count():
        try:
            urllib.request.urlopen(
                f"http://{address}/readyz", timeout=START_TIMEOUT_S
            ).close()
            return
        except OSError:
            if time.monotonic() >= end_s:
                raise RuntimeError(f"{address} is not ready") from None
            time.sleep(0.05)
