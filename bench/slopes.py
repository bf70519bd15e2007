"""Measures how an entry instance's cost grows with each size.

One real entry instance runs against `bench.stub`. Processor time and resident
memory are read from /proc. Writes one JSON object a line to
build/slopes.jsonl and prints a table with the fitted slope of each series.

Usage: python -m bench.slopes [SERIES ...], the names of functions in SERIES.
"""

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import statistics
import sys
import tempfile
import time
import urllib.request
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

import aiohttp

from bench import stub
from standins import deployment

OUTPUT = pathlib.Path("build/slopes.jsonl")
WINDOW_S = float(os.environ.get("SLOPES_WINDOW_S", "8"))
SETTLE_S = 3.0
REQUESTS = 1_000
CONCURRENCY = 8
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True)
class Sample:
    """One measurement.

    Attributes:
        series: what was varied.
        size: its size.
        cpu_percent: share of one core while nothing was asked.
        resident_mb: resident memory at the end.
        bytes_per_s: bytes of control traffic with the stub.
        calls_per_s: calls by message type.
        cpu_ms_per_operation: processor time of one operation, if any.
    """

    series: str
    size: int
    cpu_percent: float
    resident_mb: float
    bytes_per_s: float
    calls_per_s: dict[str, float]
    cpu_ms_per_operation: float = 0.0


def document_of(organisations: int, revision: int = 1) -> str:
    """Builds a document with six classes for each organisation."""
    branches = {
        f"organisation-{number}": {
            "share": 1.0 + number % 3,
            "classes": {
                f"class-{c}": {"worth": c + 1.0, "run_s": 1.0 + c}
                for c in range(6)
            },
            "guarantees": {
                "base": {
                    "failure_domain": f"domain-{number % 9}",
                    "tasks": 1,
                    "accelerators": 2,
                }
            },
        }
        for number in range(organisations)
    }
    return json.dumps(
        {"revision": revision, "tree": {"branches": branches}, "edits": []}
    )


def cpu_s(pid: int) -> float:
    """Returns the processor seconds of a process so far."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in megabytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES / 1e6


def fetch(address: str, path: str) -> Any:
    """Reads a JSON document over HTTP."""
    with urllib.request.urlopen(f"http://{address}{path}", timeout=30) as reply:
        return json.loads(reply.read())


class Bench(deployment.Deployment):
    """One entry instance and the stub."""

    def launch(self, options: stub.Options) -> tuple[Any, Any]:
        """Starts both and waits until the instance is ready."""
        # A large document would exceed the limit on the length of an argument.
        path = self.folder / "document.json"
        path.write_text(options.document)
        fields = {**dataclasses.asdict(options), "document": str(path)}
        command = [sys.executable, "-m", "bench.stub", json.dumps(fields)]
        around = self.spawn("stub", "stub", command, {})
        asyncio.run(self.addresses())
        self.processes["store"] = around
        self.processes["instance-list"] = around
        domain = deployment.DomainPlan(stub.DOMAIN, stub.REGION)
        entry = self.start_entry("measured", domain)
        while not deployment.is_ready(entry.address):
            time.sleep(0.05)
        time.sleep(SETTLE_S)
        return entry, around


def measure_idle(series: str, size: int, options: stub.Options) -> Sample:
    """Measures an instance that only keeps up with its surroundings."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Bench(pathlib.Path(folder), sampled_share=0.01) as bench,
    ):
        entry, around = bench.launch(options)
        pid = entry.process.pid
        before = fetch(around.address, "/report")
        cpu_before_s, started_s = cpu_s(pid), time.monotonic()
        time.sleep(WINDOW_S)
        spent_s, window_s = cpu_s(pid) - cpu_before_s, time.monotonic()
        window_s -= started_s
        after = fetch(around.address, "/report")
        calls = {
            name: round((count - before["counts"].get(name, 0)) / window_s, 3)
            for name, count in after["counts"].items()
        }
        return Sample(
            series,
            size,
            round(100 * spent_s / window_s, 2),
            round(resident_mb(pid), 1),
            round((after["bytes"] - before["bytes"]) / window_s),
            calls,
        )


def measure_requests(body_bytes: int) -> Sample:
    """Measures the processor time of one idempotent request."""
    options = stub.Options(document=document_of(4))
    with (
        tempfile.TemporaryDirectory() as folder,
        Bench(pathlib.Path(folder), sampled_share=0.01) as bench,
    ):
        entry, _ = bench.launch(options)
        pid = entry.process.pid
        asyncio.run(_load(entry.address, body_bytes, "warm"))
        before_s = cpu_s(pid)
        asyncio.run(_load(entry.address, body_bytes, "measured"))
        spent_ms = (cpu_s(pid) - before_s) * 1000
        return Sample(
            "request body bytes",
            body_bytes,
            0.0,
            round(resident_mb(pid), 1),
            0.0,
            {},
            round(spent_ms / REQUESTS, 3),
        )


async def _load(address: str, body_bytes: int, prefix: str) -> None:
    body = base64.b64encode(b"x" * body_bytes).decode()
    numbers = iter(range(REQUESTS))
    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(
                _client(session, address, body, prefix, numbers)
                for _ in range(CONCURRENCY)
            )
        )


async def _client(
    session: aiohttp.ClientSession,
    address: str,
    body: str,
    prefix: str,
    numbers: Iterator[int],
) -> None:
    for number in numbers:
        message = {
            "organisation": "organisation-0",
            "job_class": "class-0",
            "key": f"{prefix}-{number}",
            "body": body,
            "deadline_s": 30.0,
        }
        url = f"http://{address}/v1/requests"
        async with session.post(url, json=message) as response:
            answer = await response.json()
            if answer["outcome"] != "completed":
                raise RuntimeError(f"request {number}: {answer}")


def measure_edits(organisations: int, edits: int = 20) -> Sample:
    """Measures the processor time of putting a revision in force."""
    options = stub.Options(document=document_of(organisations))
    with (
        tempfile.TemporaryDirectory() as folder,
        Bench(pathlib.Path(folder), sampled_share=0.01) as bench,
    ):
        entry, around = bench.launch(options)
        pid = entry.process.pid
        before_s, started_s = cpu_s(pid), time.monotonic()
        for revision in range(2, edits + 2):
            body = document_of(organisations, revision).encode()
            request = urllib.request.Request(
                f"http://{around.address}/document", data=body, method="POST"
            )
            urllib.request.urlopen(request, timeout=30).close()
            _await_revision(entry.address, revision)
        spent_s, window_s = cpu_s(pid) - before_s, time.monotonic()
        window_s -= started_s
        return Sample(
            "organisations, edit",
            organisations,
            round(100 * spent_s / window_s, 2),
            round(resident_mb(pid), 1),
            0.0,
            {},
            round(1000 * spent_s / edits, 2),
        )


def _await_revision(address: str, revision: int) -> None:
    for _ in range(600):
        if fetch(address, "/v1/status")["revision"] >= revision:
            return
        time.sleep(0.05)
    raise RuntimeError(f"revision {revision} is not in force")


def workers_listed(size: int) -> Sample:
    """Varies the workers of all failure domains, a ninth of them its own."""
    options = stub.Options(workers=size, domains=9, document=document_of(4))
    return measure_idle("workers listed", size, options)


def workers_scheduled(size: int) -> Sample:
    """Varies the idle workers of its own failure domain."""
    options = stub.Options(workers=size, domains=1, document=document_of(4))
    return measure_idle("workers scheduled", size, options)


def parts(size: int) -> Sample:
    """Varies the parts of gangs on 50 workers."""
    options = stub.Options(
        workers=50, parts=size // 50, domains=1, document=document_of(4)
    )
    return measure_idle("parts", size, options)


def peers(size: int) -> Sample:
    """Varies the peers, spread over 9 failure domains."""
    options = stub.Options(peers=size, domains=9, document=document_of(4))
    return measure_idle("peers", size, options)


def organisations(size: int) -> Sample:
    """Varies the organisations of the tree."""
    options = stub.Options(document=document_of(size))
    return measure_idle("organisations", size, options)


SERIES: tuple[tuple[Callable[[int], Sample], tuple[int, ...]], ...] = (
    (workers_listed, (24, 120, 600, 3_700)),
    (workers_scheduled, (8, 50, 200, 411)),
    (parts, (0, 100, 400, 800)),
    (peers, (2, 8, 18, 36)),
    (organisations, (4, 45, 180, 360)),
    (measure_edits, (4, 45, 180, 360)),
    (measure_requests, (100, 1_000, 10_000, 100_000)),
)


def samples(names: Sequence[str]) -> Iterator[Sample]:
    """Runs the series with these function names, or all of them."""
    for measure, sizes in SERIES:
        if names and measure.__name__ not in names:
            continue
        for size in sizes:
            yield measure(size)


def slope(points: list[tuple[float, float]]) -> float:
    """Returns the least-squares slope of a series."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    return statistics.linear_regression(xs, ys).slope


def main() -> None:
    """Runs every series and reports the slopes."""
    OUTPUT.parent.mkdir(exist_ok=True)
    series: dict[str, list[Sample]] = {}
    with OUTPUT.open("w") as output:
        for sample in samples(sys.argv[1:]):
            output.write(json.dumps(dataclasses.asdict(sample)) + "\n")
            output.flush()
            series.setdefault(sample.series, []).append(sample)
            print(sample, flush=True)
    for name, found in series.items():
        cpu = slope([(s.size, s.cpu_percent) for s in found])
        memory = slope([(s.size, s.resident_mb) for s in found])
        traffic = slope([(s.size, s.bytes_per_s) for s in found])
        operation = slope([(s.size, s.cpu_ms_per_operation) for s in found])
        print(
            f"{name}: {cpu:.5f} % of a core, {memory:.5f} MB,"
            f" {traffic:.2f} B/s, {operation:.5f} ms an operation, for each"
        )


if __name__ == "__main__":
    main()
