"""A small deployment: the project's processes, a store, workers, a consumer."""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from review.stand_ins import ledger as ledger_lib
from review.stand_ins import network as network_lib
from review.stand_ins import worker as worker_lib
from standins import platform_store

ROOT = pathlib.Path(__file__).resolve().parents[2]
TICK_S = 0.01
HEARTBEAT_S = 1.5
# An entry goes after three heartbeat intervals of silence.
SILENCE_S = 3 * HEARTBEAT_S
# The link of a worker to the store, as a client in the network's table.
STORE = "store"
HOST = "novo13.example"
PREFIX = "/gono990/"
URGENT_PREFIX = "/wuka90/"
KEY = "key-of-a-shop"
CAPACITY = {"cpu": 128_000, "mem_mb": 524_288, "gpu": 8}
BOUNDS = {
    "revoke_ms": 5_000,
    "hold_max_ms": 10_000,
    "restore_ms": 250,
    "stop_timeout_ms": 900,
    "early_ms": 250,
    "status_s": 120,
    "grace_s": 6,
}
# Log lines of the instances that are copied into the record.
NOTED = (
    "became the scheduler",
    "stepped down",
    "took over",
    "run lost",
    "has shut down",
    "not answered since",
    "has restarted",
    "a call failed",
    "replacing",
    "reading new versions from",
    "watching the store instead",
)
LIMIT_S = 110.0
FIRST_VERSION = 3


def configuration(version: int, added: Sequence[str] = ()) -> str:
    """Returns a configuration of the operator.

    Args:
        version: its version.
        added: prefixes of routes beside the first two.
    """
    routes = [
        {
            "name": f"queue-{number}",
            "host": HOST,
            "prefix": prefix,
            "service": "fitting-desk",
            "priority": 0 if prefix == URGENT_PREFIX else 1,
            "max_attempts": 3,
            "stretch_factor": 3.0,
            "target_latency_ms": 1_200,
        }
        for number, prefix in enumerate((PREFIX, URGENT_PREFIX, *added))
    ]
    tenant = {"name": "shop", "api_keys": [KEY], "guaranteed": {"gpu": 8}}
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": "fitting-desk"}],
        "tenants": [tenant],
        "limits": {"max_body_bytes": 262_144},
    }
    return json.dumps(document)


def fill_template(fields: dict[str, Any]) -> str:
    """Fills the deploy file's template of the settings in."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for part in match[1].split("."):
            key: Any = int(part) if isinstance(found, list) else part
            found = found[key]
        return str(found)

    text = (ROOT / "deploy" / "instance.ini").read_text()
    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class Deployment:
    """The processes and stand-ins of one script.

    Attributes:
        instances: the project's processes, by name.
        fronts: the address for consumers of each instance.
        peers: the address of each instance for the others.
        version: version of the operator's newest configuration.
        bounds: the bounds in the settings of the instances.
    """

    def __init__(self, record: pathlib.Path):
        self.ledger = ledger_lib.Ledger(record)
        self.network = network_lib.Network()
        self.store = platform_store.PlatformStore()
        self.store.lapse = False
        self.store_address = ""
        self.workers: dict[str, worker_lib.Worker] = {}
        self.heard_s: dict[str, float] = {}
        self.instances: dict[str, subprocess.Popen] = {}
        self.fronts: dict[str, str] = {}
        self.peers: dict[str, str] = {}
        self.version = FIRST_VERSION
        self.bounds = dict(BOUNDS)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def start_platform(self) -> None:
        """Starts the store, with a configuration, and its clock."""
        self.configure(())
        self.store_address = await self.network.listen(STORE, self._serve_store)
        self.clock = asyncio.ensure_future(self._run_clock())

    def configure(self, added: Sequence[str]) -> None:
        """Writes the next version of the configuration."""
        self.store.put("op/config", configuration(self.version, added).encode())
        self.ledger.write("configured", version=self.version, added=added)
        self.version += 1

    async def _serve_store(
        self, method: str, target: str, headers: dict[str, str], body: Any
    ) -> tuple[int, Any]:
        future = asyncio.get_running_loop().create_future()

        def done(reply: platform_store.Reply) -> None:
            if not future.done():
                future.set_result(reply)

        self.store.serve(method, target, body, time.monotonic(), done)
        return await future

    async def _run_clock(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            self.store.advance(now_s)
            for worker in self.workers.values():
                worker.advance()
                self._keep_entry(worker, now_s)

    def _keep_entry(self, worker: worker_lib.Worker, now_s: float) -> None:
        if "" in self.store.outages:
            # Entries are kept during the outage.
            self.heard_s[worker.name] = max(
                self.heard_s.get(worker.name, 0.0), now_s - HEARTBEAT_S
            )
            return
        reached = not self.network.is_cut(STORE, worker.name)
        heard_s = self.heard_s.get(worker.name, 0.0)
        if worker.up and reached and now_s - heard_s >= HEARTBEAT_S:
            self.report(worker)
        elif now_s - heard_s >= SILENCE_S:
            self.remove_entry(worker)

    def report(self, worker: worker_lib.Worker) -> None:
        """Writes the entry of a worker."""
        self.heard_s[worker.name] = time.monotonic()
        self.store.put(f"servers/{worker.name}", worker.entry())

    def remove_entry(self, worker: worker_lib.Worker) -> None:
        """Removes the entry of a worker that is silent or has left."""
        if f"servers/{worker.name}" in self.store.items:
            self.ledger.write("entry removed", worker=worker.name)
            self.store.remove(f"servers/{worker.name}")

    async def add_worker(
        self,
        name: str,
        zone: str,
        rack: str = "r1",
        kind: str = "a",
        capacity: dict[str, int] | None = None,
    ) -> worker_lib.Worker:
        """Starts a worker and registers it."""
        worker = worker_lib.Worker(
            name,
            zone,
            [kind, rack],
            self.ledger,
            self.workers,
            capacity or CAPACITY,
        )
        worker.address = await self.network.listen(name, worker.serve)
        self.report(worker)
        return worker

    async def add_instance(self, name: str, zone: str, region: str) -> None:
        """Starts one of the project's processes and waits until it is ready."""
        front, ready, control, peers = (
            network_lib.free_port() for _ in range(4)
        )
        fields = {
            "node_name": name,
            "zone": zone,
            "region": region,
            "ip": "127.0.0.1",
            "listen_addrs": {
                "frontend": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "control": f"127.0.0.1:{control}",
            },
            "internal_ports": [peers, peers],
            "limits": {"cpu_share": 0.537, "cores": 2},
            "platform": {"address": self.store_address},
            "bounds": self.bounds,
        }
        settings = self.folder / f"{name}.ini"
        settings.write_text(fill_template(fields))
        kept = ("PATH", "HOME", "LANG")
        environment = {
            key: os.environ[key] for key in kept if key in os.environ
        }
        environment["DANDELIONPICK_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{name}.log").open("wb") as log:
            process = subprocess.Popen(
                ["python3", "-m", "dandelionpick", "schedule"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.instances[name] = process
        self.network.processes[name] = process.pid
        self.fronts[name] = f"127.0.0.1:{front}"
        self.peers[name] = f"127.0.0.1:{peers}"
        self.ledger.write("instance started", name=name)
        address = f"127.0.0.1:{ready}"
        await self.wait_for(f"{name} is ready", lambda: _is_ready(address), 30)

    async def wait_for(
        self,
        what: str,
        check: Callable[[], Awaitable[Any]],
        limit_s: float,
    ) -> None:
        """Waits for a state.

        Raises:
            RuntimeError: it was not reached in time.
        """
        until_s = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > until_s:
                raise RuntimeError(f"not in {limit_s} s: {what}")
            await asyncio.sleep(0.05)
        self.ledger.write("state", reached=f"'{what}'")

    def scheduler(self) -> str:
        """Returns the instance that holds the scheduler's key; "" if none."""
        item = self.store.items.get("dandelionpick/intake/authority")
        if item is None:
            return ""
        value = platform_store.base64.b64decode(item.value)
        return json.loads(value)["instance"]

    def workers_of(self, job: str) -> set[str]:
        """Returns the workers on which work items of a job run."""
        return {
            worker.name
            for worker in self.workers.values()
            for task in worker.runs
            if task.startswith(job)
        }

    def runs_of(self, job: str) -> int:
        """Returns how many runs of a job there are."""
        return sum(
            task.startswith(job)
            for worker in self.workers.values()
            for task in worker.runs
        )

    async def submit(
        self,
        job: str,
        work_s: float,
        phases: list[dict[str, Any]],
        prefix: str = PREFIX,
    ) -> None:
        """Submits a job until it is accepted.

        Raises:
            RuntimeError: it was not accepted in time.
        """
        self.ledger.jobs[job] = phases
        body = {"spec": json.dumps({"work_s": work_s}), "phases": phases}
        for attempt in range(20):
            names = sorted(self.fronts)
            name = names[attempt % len(names)]
            status, reply = await self._call(name, "POST", job, body, prefix)
            if 200 <= status < 300:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError(f"{job} was not accepted: {status} {reply}")

    def log_of(self, name: str) -> str:
        """Returns what an instance has written so far."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def ask_length(
        self, name: str, prefix: str = PREFIX
    ) -> tuple[int, Any]:
        """Asks an instance for the length of a queue."""
        headers = {"host": HOST, "authorization": f"Bearer {KEY}"}
        headers["x-deadline-ms"] = "3000"
        return await network_lib.call(
            self.fronts[name], "GET", prefix, None, headers
        )

    async def _call(
        self,
        name: str,
        method: str,
        job: str,
        body: Any = None,
        prefix: str = PREFIX,
    ) -> tuple[int, Any]:
        headers = {"host": HOST, "authorization": f"Bearer {KEY}"}
        headers["x-deadline-ms"] = "3000"
        self.ledger.write("sent", method=method, job=job, to=name)
        status, reply = await network_lib.call(
            self.fronts[name], method, prefix + job, body, headers
        )
        self.ledger.write(
            "answered", method=method, job=job, status=status, body=reply
        )
        return status, reply

    async def ask(self, method: str, job: str) -> tuple[int, Any]:
        """Sends a request about a job to the first instance."""
        return await self._call(min(self.fronts), method, job)

    async def state_of(self, job: str) -> str:
        """Asks the instances for the state of a job."""
        for name in sorted(self.fronts):
            status, reply = await self._call(name, "GET", job)
            if status == 200:
                return reply["state"]
        return ""

    def stop(self) -> None:
        """Ends all processes, and copies their main log lines to the record."""
        for process in self.instances.values():
            process.kill()
        for process in self.instances.values():
            process.wait()
        for name in self.instances:
            self._copy_log(name)
        shutil.rmtree(self.folder, ignore_errors=True)

    def _copy_log(self, name: str) -> None:
        text = self.log_of(name)
        self.ledger.file.write(f"\nfrom the log of {name}:\n")
        copied = 0
        for line in text.splitlines():
            if any(part in line for part in NOTED) and copied < 60:
                copied += 1
                self.ledger.file.write(line + "\n")
        self.ledger.file.flush()


async def _is_ready(address: str) -> bool:
    status, _ = await network_lib.call(address, "GET", "/readyz")
    return status == 200


Case = Callable[[Deployment, bool], Awaitable[None]]


def main(case: Case, folder: pathlib.Path) -> int:
    """Runs a script; returns 1 if a rule was broken, 0 if not, 2 if it can't.

    The command's argument is the script's TROUBLE; 0 means no disruption.

    Args:
        case: plays the case; its second argument tells whether to bring about
            the disruption.
        folder: the folder of the case, which gets the record.
    """
    trouble = sys.argv[1:] != ["0"]

    async def play() -> int:
        deployment = Deployment(folder / "record.txt")
        ledger = deployment.ledger
        ledger.write("script", trouble=int(trouble))
        try:
            async with asyncio.timeout(LIMIT_S):
                await deployment.start_platform()
                await case(deployment, trouble)
        except (RuntimeError, TimeoutError, OSError) as error:
            ledger.write("could not run", error=repr(error))
            print(f"could not run: {error!r}")
            return 2
        finally:
            deployment.stop()
        ledger.check_ends()
        held = "1, a rule was broken" if ledger.broken else "0, all rules held"
        ledger.write("result", exit=held, broken=len(ledger.broken))
        for text in ledger.broken[:5]:
            print(f"broken: {text}")
        print(f"{len(ledger.broken)} violations")
        return 1 if ledger.broken else 0

    with contextlib.suppress(KeyboardInterrupt):
        return asyncio.run(play())
    return 2


if __name__ == "__main__":
    sys.exit(2)
