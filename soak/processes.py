"""Starts, signals and ends the processes of a run."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import time
from typing import Any

from standins import platform_demo
from standins import relay

ADDRESS = re.compile(r"[\d.]+:\d+")
LISTENING_PREFIX = "listening on "
START_TIMEOUT_S = 30.0
POLL_S = 0.05
# Below the ports that the system gives to outgoing connections, which could
# otherwise take that of an instance between two of its processes.
PORTS = range(15_000, 31_000)
HOST = platform_demo.HOST
OTHER_TENANT = "harbour"
OTHER_KEY = "other-key"
GUARANTEED_GPUS = 8
PROGRAM = "dandelionpick"
MUTANT_PROGRAM = "soak.mutant_program"
DRAIN_S = 6.0
BOUNDS = {**platform_demo.BOUNDS, "drain_s": DRAIN_S, "evacuate_ms": 5_000}
# Beyond `drain_s`, a stop may take as long as the last responses.
STOP_MARGIN_S = 6.0
# An instance counts as in touch once its last fault is over for this long.
CALM_S = 5.0


class Ports:
    """Hands out free ports, each of them once."""

    def __init__(self):
        self.unused = random.sample(PORTS, len(PORTS))

    def take(self) -> int:
        """Returns a port that no process listens on."""
        while True:
            port = self.unused.pop()
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port


class Instance:
    """An instance, its present process and its link to the store.

    Attributes:
        callers: the address for callers.
        health: the address for the load balancer's probes.
        peers: the address for metrics and for other instances.
        faults: number of faults that concern it and go on.
        link_faults: number of those of its link to the store.
        calm_since_s: when the last of them ended.
        stopping_since_s: when it was told to stop; inf if it was not.
        began_s: when its present process was started.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        link: relay.Relay,
        ports: Ports,
        program: tuple[str, ...],
    ):
        self.name = name
        self.folder = folder
        self.link = link
        self.program = program
        self.callers, self.health, self.peers = (
            f"127.0.0.1:{ports.take()}" for _ in platform_demo.LISTENERS
        )
        self.settings = folder / f"{name}.ini"
        addresses = (self.callers, self.health, self.peers)
        platform_demo.write_settings(
            self.settings,
            name,
            link.address,
            dict(zip(platform_demo.LISTENERS, addresses, strict=True)),
            BOUNDS,
        )
        self.child: subprocess.Popen | None = None
        self.faults = 0
        self.link_faults = 0
        self.began_s = time.monotonic()
        self.calm_since_s = time.monotonic()
        self.stopping_since_s = float("inf")

    def start(self) -> None:
        """Starts a process, whose output is added to the instance's log."""
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.child = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    *self.program,
                    "schedule",
                    str(self.settings),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "DANDELIONPICK_HEARTBEAT_MS": "1500"},
                start_new_session=True,
            )
        self.began_s = time.monotonic()
        self.stopping_since_s = float("inf")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the present process, if it runs."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self) -> None:
        """Ends the present process at once."""
        if self.child is not None:
            self.child.kill()
            self.child.wait()
            self.child = None

    def is_calm(self, since_s: float) -> bool:
        """Returns whether no fault has concerned it since the given time."""
        return self.faults == 0 and self.calm_since_s <= since_s


class System:
    """The platform's stand-in and the instances.

    Attributes:
        store: address of the stand-in, also for its control.
        links: ends the links to the store.
        ports: the ports of the instances.
        store_faults: number of faults of the store that go on.
        store_calm_since_s: when the last of them ended.
        configuration: the operators' configuration in force.
        edited_s: when it was changed last.
        withdrawn_keys: when each withdrawn key was, by key.
        program: the module of the instances, and its first arguments.
    """

    def __init__(self, folder: pathlib.Path, mutant: str = ""):
        self.folder = folder
        self.program = (MUTANT_PROGRAM, mutant) if mutant else (PROGRAM,)
        self.store = ""
        self.platform: subprocess.Popen | None = None
        self.instances: list[Instance] = []
        self.links = contextlib.ExitStack()
        self.ports = Ports()
        self.store_faults = 0
        self.store_calm_since_s = time.monotonic()
        self.configuration: dict[str, Any] = {}
        self.edited_s = time.monotonic()
        self.withdrawn_keys: dict[str, float] = {}

    async def start(
        self,
        configuration: dict[str, Any],
        instances: int,
        targets: int,
        seed: int,
    ) -> None:
        """Starts the platform's stand-in and then the instances.

        Raises:
            RuntimeError: the stand-in ended or took too long.
        """
        self.configuration = configuration
        log = self.folder / "platform.log"
        with log.open("wb") as file:
            self.platform = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "soak.platform",
                    json.dumps(configuration),
                    str(targets),
                    str(seed),
                ],
                stdout=file,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        end_s = time.monotonic() + START_TIMEOUT_S
        while LISTENING_PREFIX not in (text := log.read_text()):
            if self.platform.poll() is not None or time.monotonic() > end_s:
                raise RuntimeError(f"the platform did not start; see {log}")
            await asyncio.sleep(POLL_S)
        self.store = ADDRESS.findall(text.partition(LISTENING_PREFIX)[2])[0]
        for number in range(instances):
            link = self.links.enter_context(relay.Relay(self.store))
            instance = Instance(
                f"entry-{number}", self.folder, link, self.ports, self.program
            )
            self.instances.append(instance)
            instance.start()

    def is_in_touch(self, instance: Instance, now_s: float) -> bool:
        """Returns whether neither an instance nor the store had a fault."""
        since_s = now_s - CALM_S
        return (
            instance.is_calm(since_s)
            and instance.child is not None
            and instance.began_s <= since_s
            and self.store_faults == 0
            and self.store_calm_since_s <= since_s
        )

    def stop(self) -> None:
        """Ends all processes that were started."""
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.kill()
        self.links.close()
        if self.platform is not None:
            self.platform.kill()
            self.platform.wait()


def configuration(keys: list[str]) -> dict[str, Any]:
    """Returns an operators' configuration of two tenants.

    Args:
        keys: further keys of the first tenant, which submits the jobs.
    """
    document = json.loads(platform_demo.configuration())
    document["services"] = [{"name": "pool"}]
    document["tenants"][0]["api_keys"] = [platform_demo.KEY, *keys]
    document["tenants"].append(
        {
            "name": OTHER_TENANT,
            "api_keys": [OTHER_KEY],
            "guaranteed": {"gpu": GUARANTEED_GPUS},
        }
    )
    return document
