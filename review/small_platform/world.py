"""A small deployment: the store, executors, and the project's own processes.

The instances are started with the command and the settings template of the
deploy file. Everything is on loopback and on the real clock.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from review.small_platform import executor as executor_lib
from review.small_platform import judge as judge_lib
from review.small_platform import store as store_lib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "jobs.example"
KEY = "key-of-the-tenant"
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 4.0
# As at Kōwhai and Sapporo, in the names of the settings file.
BOUNDS = {
    "revoke_ms": 5_000,
    "hold_max_ms": 10_000,
    "restore_ms": 600,
    "stop_timeout_ms": 400,
    "early_ms": 250,
    "status_s": 120,
    "grace_s": 6,
}
ROUTES = {"urgent": 0, "normal": 1, "batch": 2}


class CannotRunError(Exception):
    """The case could not run."""


class World:
    """The processes and stand-ins of a case.

    Attributes:
        states: the last state that was answered, by job.
    """

    def __init__(self, case_folder: pathlib.Path, executors: int):
        self.started_s = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.lines = (case_folder / "record.txt").open("w")
        self.store = store_lib.Store(self.record)
        self.judge = judge_lib.Judge(self.record)
        self.executors = [
            executor_lib.Executor(
                f"i-{number:02d}", self.store, self.judge, self.record
            )
            for number in range(executors)
        ]
        self.children: dict[str, subprocess.Popen] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self.tasks: list[asyncio.Task] = []
        self.states: dict[str, str] = {}

    def record(self, text: str) -> None:
        """Writes a line with the seconds since the start."""
        now_s = time.monotonic() - self.started_s
        self.lines.write(f"{now_s:8.3f} {text}\n")
        self.lines.flush()

    def now_s(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.started_s

    async def start(self, instances: int) -> None:
        """Starts everything; returns when all instances are ready."""
        await self.store.server.start()
        self.tasks.append(asyncio.ensure_future(self.store.run()))
        await self.store.put("op/config", configuration())
        for executor in self.executors:
            await executor.start()
            self.tasks.append(asyncio.ensure_future(executor.run()))
        for number in range(instances):
            name = f"edge-{number}"
            self.settings[name] = self._settings_of(name)
            self.start_instance(name)
        for name in self.settings:
            await self._wait_until_ready(name)

    def _settings_of(self, name: str) -> dict[str, Any]:
        ports = [_free_port() for _ in range(3)]
        return {
            "node_name": name,
            "zone": "a",
            "region": "north",
            "ip": "127.0.0.1",
            "listen_addrs": {
                "frontend": f"127.0.0.1:{ports[0]}",
                "ready": f"127.0.0.1:{ports[1]}",
            },
            "internal_ports": [ports[2], ports[2]],
            "limits": {"cpu_share": 0.537, "cores": 2},
            "platform": {"address": self.store.server.address},
            "bounds": BOUNDS,
        }

    def start_instance(self, name: str) -> None:
        """Starts a process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        template = (ROOT / role["template"]).read_text()
        path = self.folder / f"{name}.ini"
        path.write_text(render(template, self.settings[name]))
        kept = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.children[name] = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "DANDELIONPICK_NODE_FILE": str(path),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record(f"{name}: started")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to an instance that this case started."""
        self.record(f"{name}: gets {number.name}")
        self.children[name].send_signal(number)

    async def _wait_until_ready(self, name: str) -> None:
        end_s = time.monotonic() + START_TIMEOUT_S
        address = self.settings[name]["listen_addrs"]["ready"]
        while time.monotonic() < end_s:
            if self.children[name].poll() is not None:
                break
            status, _ = await call(address, "GET", "/readyz")
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{name} did not become ready")

    def holder(self) -> str:
        """Returns the instance that last wrote under a condition and a lease.

        That is the holder of the key that is bound to a lease.
        """
        for item in self.store.items.values():
            if item["lease"]:
                value = json.loads(self.store.value_of(item["key"]))
                return str(value["instance"])
        return ""

    async def wait_for_holder(self) -> str:
        """Waits until there is a holder; returns it."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while not self.holder():
            if time.monotonic() > end_s:
                raise CannotRunError("no instance became the holder")
            await asyncio.sleep(0.05)
        return self.holder()

    async def submit(
        self, name: str, job: str, work_s: float, route: str = "normal"
    ) -> int:
        """Hands in a job of one work item; returns the status."""
        phase = {
            "count": 1,
            "cpu": 15_000,
            "mem_mb": 20_000,
            "gpu": 2,
            "estimate_ms": int(work_s * 1_000),
        }
        spec = json.dumps({"work_s": work_s})
        self.judge.specs[job] = spec
        status, _ = await self.consumer_call(
            name, "POST", f"/{route}/{job}", {"spec": spec, "phases": [phase]}
        )
        return status

    async def state_of(self, name: str, job: str, route: str = "normal") -> str:
        """Asks for the state of a job; returns "" without an answer."""
        status, body = await self.consumer_call(name, "GET", f"/{route}/{job}")
        if status != 200:
            return ""
        self.states[job] = body["state"]
        return body["state"]

    async def consumer_call(
        self, name: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Sends a call of a consumer; status 0 is no answer."""
        address = self.settings[name]["listen_addrs"]["frontend"]
        headers = {"Authorization": f"Bearer {KEY}", "X-Deadline-Ms": "3000"}
        status, answer = await call(address, method, path, body, headers)
        self.record(f"consumer: {method} {path} at {name}: {status} {answer}")
        return status, answer

    async def stop(self) -> None:
        """Ends all processes that were started."""
        for child in self.children.values():
            if child.poll() is None:
                child.kill()
        for child in self.children.values():
            child.wait()
        for task in self.tasks:
            task.cancel()
        for executor in self.executors:
            await executor.server.stop()
        await self.store.server.stop()
        self.lines.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def decode_value(text: str) -> Any:
    """Returns a stored value that is JSON, or None."""
    try:
        return json.loads(base64.b64decode(text))
    except ValueError:
        return None


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in the placeholders of a settings template."""

    def value(match: re.Match) -> str:
        found: Any = fields
        for part in match[1].split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


def configuration() -> bytes:
    """Returns the operator's first configuration."""
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "service": "pool",
            "priority": priority,
            "max_attempts": 3,
            "stretch_factor": 3.0,
            "target_latency_ms": 1_200,
        }
        for name, priority in ROUTES.items()
    ]
    tenant = {"name": "ward", "api_keys": [KEY], "guaranteed": {"gpu": 8}}
    limits = {"max_body_bytes": 262_144}
    return json.dumps(
        {
            "version": 7,
            "routes": routes,
            "services": [{"name": "pool", "preconditions": False}],
            "tenants": [tenant],
            "limits": limits,
        }
    ).encode()


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, Any]:
    """Sends one HTTP call on a new connection; status 0 is no answer."""
    host, port = address.split(":")
    encoded = b"" if body is None else json.dumps(body).encode()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        "Connection: close",
        f"Content-Length: {len(encoded)}",
        "Content-Type: application/json",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + encoded)
            answer = await reader.read()
            writer.close()
    except (OSError, TimeoutError):
        return 0, None
    head, _, content = answer.partition(b"\r\n\r\n")
    if not head:
        return 0, None
    status = int(head.split()[1])
    try:
        return status, json.loads(content)
    except ValueError:
        return status, None


def run_case(
    case_folder: pathlib.Path,
    executors: int,
    instances: int,
    play: Callable[[World, bool], Awaitable[None]],
    with_trouble: bool,
) -> int:
    """Plays a case; returns 1 if the rule was broken, 0 if it held, else 2."""

    async def run() -> int:
        world = World(case_folder, executors)
        world.record(f"case {case_folder.name}, trouble: {with_trouble}")
        try:
            await world.start(instances)
            await play(world, with_trouble)
            found = world.judge.broken()
            for text in found or ["the rule held"]:
                world.record(text)
                print(text)
            return 1 if found else 0
        except CannotRunError as error:
            world.record(f"the case could not run: {error}")
            print(f"the case could not run: {error}", file=sys.stderr)
            return 2
        finally:
            await world.stop()

    if not (ROOT / "target/deps").is_dir():
        print("run the build of the deploy file first", file=sys.stderr)
        return 2
    try:
        return asyncio.run(run())
    except Exception as error:  # Whatever goes wrong here is not the project's.
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2
