"""Measures how an entry instance's cost grows with the size of its deployment.

Each series varies one size. A real entry instance runs against `bench.stub`;
its processor time and resident memory are read from /proc. Writes one JSON
object per line to build/slopes.jsonl and prints a table with the fitted slope
of each series.

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
        series: the quantity that was varied.
        size: its value in this measurement.
        cpu_percent: processor use in percent of one core, while idle except in
            a series of edits.
        resident_mb: resident memory at the end.
        bytes_per_s: bytes of control traffic with the stub per second.
        calls_per_s: calls per second by message type.
        cpu_ms_per_operation: processor time of one operation, 0 if the series
            has none.
    """

    series: str
    size: int
    cpu_percent: float
    resident_mb: float
    bytes_per_s: float
    calls_per_s: dict[str, float]
    cpu_ms_per_operation: float = 0.0


def build_document(organisations: int, revision: int = 1) -> str:
    """Builds a configuration document with six classes per organisation."""
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
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in megabytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES / 1e6


def fetch(address: str, path: str) -> Any:
    """Fetches a JSON document over HTTP."""
    with urllib.request.urlopen(f"http://{address}{path}", timeout=30) as reply:
        return json.loads(reply.read())


class BenchDeployment(deployment.Deployment):
    """A deployment of one entry instance and the stub."""

    def launch(self, options: stub.Options) -> tuple[Any, Any]:
        """Starts both, and waits until the instance is ready and has settled.

        Returns:
            The processes of the entry instance and of the stub.
        """
        # A large document would exceed the limit on the length of a command
        # line argument.
        path = self.folder / "document.json"
        path.write_text(options.document)
        fields = {**dataclasses.asdict(options), "document": str(path)}
        command = [sys.executable, "-m", "bench.stub", json.dumps(fields)]
        stub_process = self.spawn("stub", "stub", command, {})
        asyncio.run(self.wait_for_addresses())
        self.processes["store"] = stub_process
        self.processes["instance-list"] = stub_process
        domain = deployment.DomainPlan(stub.DOMAIN, stub.REGION)
        entry = self.start_entry("measured", domain)
        while not deployment.is_ready(entry.address):
            time.sleep(0.05)
        time.sleep(SETTLE_S)
        return entry, stub_process


def measure_idle(series: str, size: int, options: stub.Options) -> Sample:
    """Measures an instance that serves no requests, only control traffic."""
    with (
        tempfile.TemporaryDirectory() as folder,
        BenchDeployment(pathlib.Path(folder), sampled_share=0.01) as bench,
    ):
        entry, stub_process = bench.launch(options)
        pid = entry.process.pid
        before = fetch(stub_process.address, "/report")
        cpu_before_s, started_s = cpu_s(pid), time.monotonic()
        time.sleep(WINDOW_S)
        spent_s, window_s = cpu_s(pid) - cpu_before_s, time.monotonic()
        window_s -= started_s
        after = fetch(stub_process.address, "/report")
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
    """Measures the processor time per idempotent request."""
    options = stub.Options(document=build_document(4))
    with (
        tempfile.TemporaryDirectory() as folder,
        BenchDeployment(pathlib.Path(folder), sampled_share=0.01) as bench,
    ):
        entry, _ = bench.launch(options)
        pid = entry.process.pid
        asyncio.run(_run_load(entry.address, body_bytes, "warm"))
        before_s = cpu_s(pid)
        asyncio.run(_run_load(entry.address, body_bytes, "measured"))
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


async def _run_load(address: str, body_bytes: int, prefix: str) -> None:
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
    """Measures the processor time of bringing a new revision into force."""
    options = stub.Options(document=build_document(organisations))
    with (
        tempfile.TemporaryDirectory() as folder,
        BenchDeployment(pathlib.Path(folder), sampled_share=0.01) as bench,
    ):
        entry, stub_process = bench.launch(options)
        pid = entry.process.pid
        before_s, started_s = cpu_s(pid), time.monotonic()
        for revision in range(2, edits + 2):
            body = build_document(organisations, revision).encode()
            request = urllib.request.Request(
                f"http://{stub_process.address}/document",
                data=body,
                method="POST",
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
    """Varies the workers in all domains; a ninth are in the instance's own."""
    options = stub.Options(workers=size, domains=9, document=build_document(4))
    return measure_idle("workers listed", size, options)


def workers_scheduled(size: int) -> Sample:
    """Varies the idle workers in the instance's own failure domain."""
    options = stub.Options(workers=size, domains=1, document=build_document(4))
    return measure_idle("workers scheduled", size, options)


def parts(size: int) -> Sample:
    """Varies the number of gang parts on 50 workers."""
    options = stub.Options(
        workers=50, parts=size // 50, domains=1, document=build_document(4)
    )
    return measure_idle("parts", size, options)


def peers(size: int) -> Sample:
    """Varies the number of peers, spread over 9 failure domains."""
    options = stub.Options(peers=size, domains=9, document=build_document(4))
    return measure_idle("peers", size, options)


def organisations(size: int) -> Sample:
    """Varies the number of organisations in the configuration tree."""
    options = stub.Options(document=build_document(size))
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
    """Yields the samples of the named series, or of all series.

    Args:
        names: names of functions in SERIES; if empty, all are run.
    """
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
    """Runs the series given on the command line and reports the slopes."""
    OUTPUT.parent.mkdir(exist_ok=True)
    series: dict[str, list[Sample]] = {}
    with OUTPUT.open("w") as output:
        for sample in samples(sys.argv[1:]):
            output.write(json.dumps(dataclasses.asdict(sample)) + "\n")
            output.flush()
            series.setdefault(sample.series, []).append(sample)
            print(sample, flush=True)
    for name, samples_found in series.items():
        cpu = slope([(s.size, s.cpu_percent) for s in samples_found])
        memory = slope([(s.size, s.resident_mb) for s in samples_found])
        traffic = slope([(s.size, s.bytes_per_s) for s in samples_found])
        operation = slope(
            [(s.size, s.cpu_ms_per_operation) for s in samples_found]
        )
        print(
            f"{name}: {cpu:.5f} % of a core, {memory:.5f} MB,"
            f" {traffic:.2f} B/s, {operation:.5f} ms per operation, for each"
        )


if __name__ == "__main__":
    main()
