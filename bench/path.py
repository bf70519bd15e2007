"""Compares a request through an entry instance with a direct forward.

The baseline is `bench.bare`. Both serve the same load from the same stub
executor, alternating over several rounds of one run. Writes build/path.json and
prints a table.
"""

import asyncio
import base64
import itertools
import json
import pathlib
import statistics
import sys
import tempfile
import time

import aiohttp

from bench import slopes
from bench import stub

OUTPUT = pathlib.Path("build/path.json")
ROUNDS = 4
REQUESTS = 2_000
CONCURRENCY = 8
BODY = base64.b64encode(b"x" * 100).decode()


async def run_load(address: str, prefix: str) -> list[float]:
    """Sends one round of requests and returns their latencies in seconds."""
    numbers = itertools.count()
    latencies: list[float] = []
    async with aiohttp.ClientSession() as session:

        async def client() -> None:
            while (number := next(numbers)) < REQUESTS:
                message = {
                    "organisation": "organisation-0",
                    "job_class": "class-0",
                    "key": f"{prefix}-{number}",
                    "body": BODY,
                    "deadline_s": 30.0,
                }
                started_s = time.perf_counter()
                url = f"http://{address}/v1/requests"
                async with session.post(url, json=message) as response:
                    answer = await response.json()
                latencies.append(time.perf_counter() - started_s)
                if answer["outcome"] != "completed":
                    raise RuntimeError(f"request {number}: {answer}")

        await asyncio.gather(*(client() for _ in range(CONCURRENCY)))
    return latencies


def measure(address: str, pid: int, prefix: str) -> dict[str, float]:
    """Measures a server's throughput, processor time and latency in a round."""
    before_s, started_s = slopes.cpu_s(pid), time.perf_counter()
    latencies = asyncio.run(run_load(address, prefix))
    elapsed_s = time.perf_counter() - started_s
    quantiles = statistics.quantiles(latencies, n=100)
    return {
        "requests_per_s": REQUESTS / elapsed_s,
        "cpu_ms": 1000 * (slopes.cpu_s(pid) - before_s) / REQUESTS,
        "p50_ms": 1000 * quantiles[49],
        "p99_ms": 1000 * quantiles[98],
    }


def main() -> None:
    """Measures both servers and reports the medians over the rounds."""
    rounds: dict[str, list[dict[str, float]]] = {"entry": [], "bare": []}
    with (
        tempfile.TemporaryDirectory() as folder,
        slopes.BenchDeployment(
            pathlib.Path(folder), sampled_share=0.01
        ) as bench,
    ):
        options = stub.Options(document=slopes.build_document(4))
        entry, stub_process = bench.launch(options)
        command = [sys.executable, "-m", "bench.bare", stub_process.address]
        baseline = bench.spawn("bare", "bare", command, {})
        asyncio.run(bench.wait_for_addresses())
        for number in range(ROUNDS + 1):
            for name, process in (("entry", entry), ("bare", baseline)):
                result = measure(
                    process.address, process.process.pid, f"{name}-{number}"
                )
                # The first round only warms up connections and caches.
                if number:
                    rounds[name].append(result)
    medians = {
        name: {
            key: round(statistics.median(r[key] for r in results), 3)
            for key in results[0]
        }
        for name, results in rounds.items()
    }
    medians["ratio"] = {
        key: round(medians["entry"][key] / medians["bare"][key], 2)
        for key in medians["bare"]
    }
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(medians, indent=1))
    for name, values in medians.items():
        print(f"{name:<8}", *(f"{k}={v:<9}" for k, v in values.items()))


if __name__ == "__main__":
    main()
