"""Tests of faults in real processes and connections.

Each test has one hard time limit, far above its usual duration of a few
seconds.
"""

import asyncio
import collections
import contextlib
import json
import pathlib
import signal
import tempfile
import time
import unittest
from collections.abc import Callable
from typing import Any

from dandelionpick import caller_messages as caller
from dandelionpick import client as client_lib
from dandelionpick import kinds
from dandelionpick import store_messages
from dandelionpick import wire
from dandelionpick.status import ExitStatus
from standins import deployment
from standins import relay
from tests import builders
from tests import limited

POLL_S = 0.05
PAUSE_S = 5.5
SETTINGS = {"limits": {"drain_notice_s": 1.0, "call_timeout_s": 1.0}}
COMPLETED = kinds.Outcome.COMPLETED


async def wait_until(condition: Callable[[], Any], what: str) -> None:
    """Waits until a condition holds, without blocking the event loop."""
    end_s = time.monotonic() + limited.TEST_TIMEOUT_S
    while not await asyncio.to_thread(condition):
        if time.monotonic() >= end_s:
            raise AssertionError(
                f"timed out after {limited.TEST_TIMEOUT_S} s: {what}"
            )
        await asyncio.sleep(POLL_S)


async def submit(
    address: str, key: str, deadline_s: float = 30.0, attempt: int = 1
) -> Any:
    """Submits a request; returns its answer, or the client's failure."""
    message = builders.request(key, deadline_s=deadline_s, attempt=attempt)
    async with client_lib.connect(address) as client:
        result = await client.send(message)
    return result.value_or(None) or result.failure()


def count_outcomes(answers: list[Any]) -> collections.Counter:
    """Counts answers by outcome, and failures by kind."""
    return collections.Counter(
        answer.outcome if isinstance(answer, caller.Answer) else answer.kind
        for answer in answers
    )


class ProcessTest(limited.TimeoutTestCase):
    """A small deployment of one failure domain."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.running = deployment.Deployment(
            pathlib.Path(folder.name), settings=SETTINGS
        )
        self.addCleanup(self.running.kill)

    async def start(self, **counts: Any) -> list[deployment.Process]:
        """Starts the deployment and returns its entry instances."""
        plan = deployment.DomainPlan("a", "r", workers=0, **counts)
        await self.running.start_async([plan], builders.TREE)
        return self.running.processes_of_role("entry")

    async def wait_for_metric(
        self, process: deployment.Process, name: str, value: float
    ) -> None:
        """Waits until a metric of an instance reaches a value."""
        full_name = f"dandelionpick_{name}"
        await wait_until(
            lambda: deployment.read_metric(process.address, full_name) >= value,
            f"{full_name} of {process.name} reaches {value}",
        )

    async def exit_status(self, process: deployment.Process) -> int:
        """Waits for a process to end and returns its exit status."""
        return await asyncio.to_thread(
            process.process.wait, limited.TEST_TIMEOUT_S
        )


class CrashTest(ProcessTest):
    """Callers get their answers despite a crashed or paused instance."""

    async def test_killed_instance_with_requests_in_progress(self):
        first, second = await self.start(run_s=1.0)
        keys = [f"k{number}" for number in range(8)]
        sent = [
            asyncio.ensure_future(submit(first.address, key)) for key in keys
        ]
        await self.wait_for_metric(first, "open_exchanges", len(keys))
        first.process.kill()
        lost = await asyncio.gather(*sent)
        self.assertEqual(
            count_outcomes(lost),
            {client_lib.ClientFailureKind.REPLY_LOST: len(keys)},
        )
        answers = await asyncio.gather(
            *(submit(second.address, key, attempt=2) for key in keys)
        )
        self.assertEqual(count_outcomes(answers), {COMPLETED: len(keys)})
        for key, answer in zip(keys, answers, strict=True):
            self.assertEqual(answer.body, builders.request(key).body[::-1])

    async def test_instance_paused_for_longer_than_its_leases(self):
        first, second = await self.start(run_s=1.0)
        sent = asyncio.ensure_future(submit(first.address, "k1"))
        await self.wait_for_metric(first, "open_exchanges", 1)
        first.process.send_signal(signal.SIGSTOP)
        # The pause must outlast the leases, so its duration is fixed.
        pause = asyncio.ensure_future(asyncio.sleep(PAUSE_S))
        meanwhile = await submit(second.address, "k2")
        await pause
        first.process.send_signal(signal.SIGCONT)
        self.assertEqual(
            count_outcomes([meanwhile, await sent]), {COMPLETED: 2}
        )
        await self.wait_for_metric(first, "stalls_total", 1)
        answer = await submit(first.address, "k3")
        self.assertEqual(answer.outcome, COMPLETED)
        self.assertIsNone(first.process.poll())


class PlannedStopTest(ProcessTest):
    """A planned stop interrupts no request."""

    async def submit_until(
        self, entries: list[deployment.Process], ended: asyncio.Event, name: str
    ) -> list[Any]:
        """Submits requests to ready instances in turn, as a balancer would.

        Connections are kept alive, so that some are idle at the stop.
        """
        answers = []
        async with contextlib.AsyncExitStack() as stack:
            clients = {
                entry.address: await stack.enter_async_context(
                    client_lib.connect(entry.address)
                )
                for entry in entries
            }
            while not ended.is_set():
                number = len(answers)
                ready = [e.address for e in entries if e.name in self.ready]
                address = ready[number % len(ready)]
                message = builders.request(f"{name}-{number}")
                result = await clients[address].send(message)
                answers.append(result.value_or(None) or result.failure())
        return answers

    async def poll_readiness(
        self, entries: list[deployment.Process], ended: asyncio.Event
    ) -> None:
        """Polls readiness like the probe of a balancer."""
        while not ended.is_set():
            for entry in entries:
                if not await asyncio.to_thread(
                    deployment.is_ready, entry.address
                ):
                    self.ready.discard(entry.name)
            await asyncio.sleep(POLL_S)

    async def test_planned_stop_under_load_loses_nothing(self):
        entries = await self.start()
        self.ready = {entry.name for entry in entries}
        ended = asyncio.Event()
        probing = asyncio.ensure_future(self.poll_readiness(entries, ended))
        loads = [
            asyncio.ensure_future(self.submit_until(entries, ended, f"c{n}"))
            for n in range(12)
        ]
        await self.wait_for_metric(entries[0], "responses_total", 100)
        entries[0].process.terminate()
        status = await self.exit_status(entries[0])
        ended.set()
        await probing
        answers = [a for load in loads for a in await load]
        self.assertEqual(status, ExitStatus.OK)
        self.assertEqual(count_outcomes(answers), {COMPLETED: len(answers)})

    async def test_long_request_is_answered_before_the_exit(self):
        entry, _ = await self.start(run_s=2.5)
        sent = asyncio.ensure_future(submit(entry.address, "k1"))
        await self.wait_for_metric(entry, "open_exchanges", 1)
        entry.process.terminate()
        answer = await sent
        self.assertEqual(answer.outcome, COMPLETED)
        self.assertEqual(await self.exit_status(entry), ExitStatus.OK)

    async def test_second_signal_ends_the_instance_at_once(self):
        entry, _ = await self.start(run_s=limited.TEST_TIMEOUT_S)
        sent = asyncio.ensure_future(
            submit(entry.address, "k1", limited.TEST_TIMEOUT_S)
        )
        await self.wait_for_metric(entry, "open_exchanges", 1)
        entry.process.terminate()
        await self.wait_for_metric(entry, "leaving", 1)
        entry.process.terminate()
        status = await self.exit_status(entry)
        self.assertEqual(status, ExitStatus.INTERRUPTED)
        lost = await sent
        self.assertEqual(lost.kind, client_lib.ClientFailureKind.REPLY_LOST)


class SilentConnectionTest(ProcessTest):
    """A connection on which all data is lost is closed and replaced."""

    async def test_silent_connections_to_an_executor(self):
        plan = deployment.DomainPlan("a", "r", 1, executors=1, workers=0)
        await self.running.start_platform([plan], builders.TREE)
        (executor,) = self.running.processes_of_role("executor")
        with relay.Relay(executor.address) as link:
            self.running.listed_addresses[executor.name] = link.address
            await self.running.start_entries([plan])
            (entry,) = self.running.processes_of_role("entry")
            warm = await asyncio.gather(
                *(submit(entry.address, f"warm{n}") for n in range(4))
            )
            self.assertEqual(count_outcomes(warm), {COMPLETED: 4})
            link.silence_open()
            opened = link.opened
            answers = [
                await submit(entry.address, f"k{n}", deadline_s=2.0)
                for n in range(3)
            ]
            self.assertGreater(link.discarded_bytes, 0)
            self.assertGreater(link.opened, opened)
        # The first outcome may be unknown at its deadline; the later requests
        # must complete.
        later = count_outcomes(answers[1:])
        self.assertEqual(later, {COMPLETED: 2})

    async def test_silent_connection_to_the_store(self):
        plan = deployment.DomainPlan("a", "r", 1, workers=0)
        await self.running.start_platform([plan], builders.TREE)
        store = self.running.processes["store"].address
        with relay.Relay(store) as link:
            self.running.store_address = link.address
            await self.running.start_entries([plan])
            (entry,) = self.running.processes_of_role("entry")
            link.silence_open()
            await wait_until(
                lambda: link.discarded_bytes, "a call is swallowed"
            )
            await asyncio.to_thread(write_revision, store, 2)
            await self.wait_for_metric(entry, "revision", 2)


def write_revision(store: str, revision: int) -> None:
    """Writes a document with a revision to the store, bypassing any relay."""
    text = builders.document(revision)
    value = post(store, store_messages.Read("config/tree"))
    written = post(
        store,
        store_messages.Write("config/tree", value["version"], text, "w1"),
    )
    if written["type"] != "Written":
        raise AssertionError(f"the store replied {written}")


def post(address: str, message: Any) -> dict[str, Any]:
    """Sends a message to the store and returns its reply."""
    path = wire.STORE[type(message)].path
    return json.loads(
        deployment.post(f"http://{address}{path}", wire.encode(message))
    )


if __name__ == "__main__":
    unittest.main()
