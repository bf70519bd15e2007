"""Starts a small deployment on loopback and acts as its platform.

The entry instances are started with the `run` line of the deploy file, from the
settings template of the deploy file. The rig restarts a process that ends, and
kills one that exceeds its memory, as the platform does.
"""

import asyncio
import json
import os
import pathlib
import random
import secrets
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "jobs.example"
START_TIMEOUT_S = 20.0
# Of the machines at Kowhai and at the Authority, in the settings.
MEMORY_MB = 300
# Exit status of a script that has seen the rule broken; run.sh makes 1 of it.
BROKEN = 3
ORDINARY_KEY = "ward-key"
STRANGER_KEY = "stranger-key"
RESTART_DELAY_S = 1.0
GUARD_PERIOD_S = 0.1


def free_port() -> int:
    """Returns a port that is free on loopback.

    It is below those that the system gives to outgoing connections, which
    could take it before the instance listens, or while it is restarted.
    """
    while True:
        port = random.randrange(15_000, 31_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process; 0 if it has ended."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Entry:
    """One entry instance: its addresses and its present process."""

    def __init__(self, rig: "Rig", name: str, store: str):
        self.rig = rig
        self.name = name
        self.store = store
        self.callers = f"127.0.0.1:{free_port()}"
        self.health = f"127.0.0.1:{free_port()}"
        self.peers = f"127.0.0.1:{free_port()}"
        self.settings = rig.folder / f"{name}.ini"
        self.settings.write_text(self._fill_template())
        self.child: subprocess.Popen | None = None
        self.restart_at_s = 0.0
        self.killed_for_memory = 0
        self.ended_by_itself = 0
        self.most_mb = 0.0

    def _fill_template(self) -> str:
        """Fills in the deploy file's template as DEPLOY.md says."""
        text = (ROOT / "deploy" / "instance.ini").read_text()
        values = {
            "node_name": self.name,
            "zone": "hamilton",
            "region": "waikato",
            "listen_addrs.frontend": self.callers,
            "listen_addrs.ready": self.health,
            "{{ip}}:{{internal_ports.0}}": self.peers,
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "platform.address": self.store,
            "bounds.revoke_ms": "5000",
            "bounds.hold_max_ms": "10000",
            "bounds.restore_ms": "250",
            "bounds.stop_timeout_ms": "900",
            "bounds.early_ms": "250",
            "bounds.status_s": "120",
            "bounds.grace_s": "6",
        }
        for name, value in values.items():
            mark = name if name.startswith("{{") else "{{" + name + "}}"
            text = text.replace(mark, value)
        text = text.replace(
            "{{#bounds.evacuate_ms}}evacuate_ms = {{.}}\n"
            "{{/bounds.evacuate_ms}}",
            "",
        )
        return text.replace(
            "{{#bounds.gang_timeout_ms}}gang_wait_ms = {{.}}\n"
            "{{/bounds.gang_timeout_ms}}",
            "gang_wait_ms = 3000\n",
        )

    def start(self) -> None:
        """Starts the program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "DANDELIONPICK_NODE_FILE": str(self.settings),
            "DANDELIONPICK_HEARTBEAT_MS": "1500",
        }
        with (self.rig.folder / f"{self.name}.log").open("ab") as log:
            self.child = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def stop(self) -> None:
        """Ends the process."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class Rig:
    """The platform's stand-in, the entry instances and the record."""

    def __init__(self, record: pathlib.Path):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-third-"))
        self.record = record.open("w")
        self.began_s = time.monotonic()
        self.store = ""
        self.entries: list[Entry] = []
        self.platform: subprocess.Popen | None = None

    def seconds(self) -> float:
        """Returns the seconds since the case began."""
        return time.monotonic() - self.began_s

    def note(self, text: str) -> None:
        """Writes a line of the record."""
        line = f"{self.seconds():8.3f} {text}"
        print(line, file=self.record, flush=True)

    async def start_platform(
        self, module: str, configuration: dict[str, Any], *options: str
    ) -> None:
        """Starts a stand-in that prints the address of its store."""
        env = {**os.environ}
        env["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        log = self.folder / "platform.log"
        with log.open("wb") as file:
            self.platform = subprocess.Popen(
                [sys.executable, "-m", module, json.dumps(configuration)]
                + list(options),
                cwd=ROOT,
                env=env,
                stdout=file,
                stderr=subprocess.STDOUT,
            )
        end_s = time.monotonic() + START_TIMEOUT_S
        while "listening on " not in log.read_text():
            if self.platform.poll() is not None or time.monotonic() > end_s:
                raise RuntimeError("the platform's stand-in did not start")
            await asyncio.sleep(0.05)
        printed = log.read_text().partition("listening on ")[2]
        self.store = printed.split()[0]

    async def start_entries(
        self, count: int, stores: list[str] | None = None
    ) -> None:
        """Starts entry instances and waits until all are ready."""
        for number in range(1, count + 1):
            store = stores[number - 1] if stores else self.store
            entry = Entry(self, f"edge-hamilton-{number}", store)
            self.entries.append(entry)
            entry.start()
        end_s = time.monotonic() + START_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            for entry in self.entries:
                while not await is_ready(session, entry):
                    if time.monotonic() > end_s:
                        raise RuntimeError(f"{entry.name} did not get ready")
                    await asyncio.sleep(0.1)

    async def guard(self) -> None:
        """Kills processes over their memory and restarts those that end."""
        while True:
            now_s = time.monotonic()
            for entry in self.entries:
                child = entry.child
                if child is None:
                    if now_s >= entry.restart_at_s:
                        entry.start()
                        self.note(f"platform starts {entry.name} again")
                    continue
                if child.poll() is not None:
                    entry.ended_by_itself += 1
                    self.note(f"{entry.name} has ended, code {child.poll()}")
                    self._restart_later(entry, now_s)
                    continue
                used_mb = resident_mb(child.pid)
                entry.most_mb = max(entry.most_mb, used_mb)
                if used_mb > MEMORY_MB:
                    entry.killed_for_memory += 1
                    self.note(
                        f"{entry.name} uses {used_mb:.0f} MB of {MEMORY_MB} MB;"
                        " the platform kills it"
                    )
                    child.kill()
                    child.wait()
                    self._restart_later(entry, now_s)
            await asyncio.sleep(GUARD_PERIOD_S)

    def _restart_later(self, entry: Entry, now_s: float) -> None:
        entry.child = None
        entry.restart_at_s = now_s + RESTART_DELAY_S

    def stop(self) -> None:
        """Ends every process that was started."""
        for entry in self.entries:
            entry.stop()
        if self.platform is not None and self.platform.poll() is None:
            self.platform.terminate()
            try:
                self.platform.wait(5)
            except subprocess.TimeoutExpired:
                self.platform.kill()
                self.platform.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


async def is_ready(session: aiohttp.ClientSession, entry: Entry) -> bool:
    """Returns whether the balancer's probe gets 200."""
    try:
        async with session.get(
            f"http://{entry.health}/readyz",
            timeout=aiohttp.ClientTimeout(total=1.0),
        ) as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False


async def call(
    session: aiohttp.ClientSession,
    address: str,
    method: str,
    path: str,
    key: str,
    body: Any = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Sends one request of a consumer; status 0 if it gets no answer."""
    headers = {"host": HOST, "x-deadline-ms": str(int(timeout_s * 1000))}
    if key:
        headers["authorization"] = f"Bearer {key}"
    try:
        async with session.request(
            method,
            f"http://{address}{path}",
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return response.status, await response.json(content_type=None)
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        return 0, repr(error)


def configuration(*extra_routes: str, version: int = 1) -> dict[str, Any]:
    """Returns an operators' configuration with two tenants."""
    routes = [
        {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "service": "pool",
            "priority": priority,
            "max_attempts": 3,
            "stretch_factor": 3.0,
            "target_latency_ms": 1000,
        }
        for name, priority in (
            ("urgent", 0),
            ("batch", 2),
            *((route, 1) for route in extra_routes),
        )
    ]
    routes.append({**routes[1], "name": "open", "prefix": "/open/"})
    routes[-1]["anonymous"] = True
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "pool"}],
        "tenants": [
            {"name": "ward", "api_keys": [ORDINARY_KEY]},
            {"name": "stranger", "api_keys": [STRANGER_KEY]},
        ],
        "limits": {"max_body_bytes": 262_144},
    }


async def load(case: "LoadCase", folder: pathlib.Path) -> int:
    """Plays a case in which a client that nobody controls hands jobs in.

    Returns:
        The exit status: 1 if a rule was broken, else 0.
    """
    rig = Rig(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        await rig.start_platform(
            "standins.platform_serve", configuration(), "24"
        )
        await rig.start_entries(3)
        guard = asyncio.ensure_future(rig.guard())
        async with aiohttp.ClientSession() as session:
            for number in range(3):
                await hand_in_ordinary(rig, session, number)
            await asyncio.sleep(2)
            if trouble:
                for number in range(case.requests):
                    if has_fault(rig) or rig.seconds() > case.watch_s:
                        break
                    await hand_in(
                        rig, session, number, "batch", STRANGER_KEY, case.body
                    )
            await _watch_calm(rig, session, case, trouble)
        guard.cancel()
        return _judge(rig)
    finally:
        rig.stop()


class LoadCase:
    """What the uncontrolled client sends, and for how long the rig watches."""

    def __init__(self, requests: int, body: dict[str, Any], watch_s: float):
        self.requests = requests
        self.body = body
        self.watch_s = watch_s


async def hand_in(
    rig: Rig,
    session: aiohttp.ClientSession,
    number: int,
    queue: str,
    key: str,
    body: dict[str, Any],
) -> tuple[str, int]:
    """Hands a job in at one of the instances; returns its id and the status."""
    job_id = secrets.token_hex(8)
    await session.post(f"http://{rig.store}/jobs/{job_id}", json=body)
    address = rig.entries[number % len(rig.entries)].callers
    path = f"/{queue}/{job_id}"
    status, reply = await call(session, address, "POST", path, key, body)
    tasks = sum(phase["count"] for phase in body["phases"])
    size = len(json.dumps(body))
    rig.note(
        f"POST {path} with key {key} ({size} bytes, {tasks} work items):"
        f" {status} {reply}"
    )
    return path, status


async def hand_in_ordinary(
    rig: Rig, session: aiohttp.ClientSession, number: int
) -> tuple[str, int]:
    """Hands in a job of two short work items."""
    phase = {"count": 2, "cpu": 1000, "mem_mb": 100, "gpu": 1}
    body = {
        "spec": json.dumps({"work_s": 0.5}),
        "phases": [{**phase, "estimate_ms": 500}],
    }
    return await hand_in(rig, session, number, "urgent", ORDINARY_KEY, body)


async def _watch_calm(
    rig: Rig, session: aiohttp.ClientSession, case: LoadCase, trouble: bool
) -> None:
    """Hands in ordinary jobs and asks for them, until the time is over."""
    end_s = rig.began_s + (case.watch_s if trouble else 35.0)
    number = 0
    while time.monotonic() < end_s and not has_fault(rig):
        number += 1
        path, status = await hand_in_ordinary(rig, session, number)
        await asyncio.sleep(2)
        if status == 200:
            address = rig.entries[number % len(rig.entries)].callers
            reply = await call(session, address, "GET", path, ORDINARY_KEY)
            rig.note(f"GET {path}: {reply}")
    for entry in rig.entries:
        rig.note(
            f"{entry.name}: at most {entry.most_mb:.0f} MB, killed for memory"
            f" {entry.killed_for_memory} times, ended {entry.ended_by_itself}"
            " times"
        )


def has_fault(rig: Rig) -> bool:
    """Returns whether two processes have ended three times by themselves."""
    ends = [
        entry.killed_for_memory + entry.ended_by_itself for entry in rig.entries
    ]
    return sum(count >= 3 for count in ends) >= 2


def _judge(rig: Rig) -> int:
    if has_fault(rig):
        rig.note("Fault is broken: two machines' processes ended three times")
        return 1
    rig.note("no rule is broken")
    return 0


def run_case(main: Any) -> int:
    """Runs a case.

    Returns:
        0 if the rule held, BROKEN if not, 2 if the case could not be played.
        Python's own status for a fault of a script is 1.
    """
    try:
        return BROKEN if asyncio.run(main) else 0
    except (RuntimeError, OSError) as error:
        print(f"the case could not run: {error!r}")
        return 2
