"""Contract tests of workers: the model in process, and behind HTTP."""

import asyncio
import json
import subprocess
import sys
import time
import unittest
from typing import Any

from dandelionpick import effects
from dandelionpick import http_client
from dandelionpick import http_pools
from dandelionpick import kinds
from dandelionpick import worker_messages as messages
from standins import deployment
from standins import worker
from tests import worker_cases


class WorkerContract:
    """Runs the cases; subclasses define how to reach a worker."""

    def open(self) -> None:
        """Provides a new worker with 8 accelerators, 64 cores and 128 GB."""
        raise NotImplementedError

    def send(self, message: Any) -> Any:
        """Sends a message and returns the reply."""
        raise NotImplementedError

    def control(self, changes: dict[str, Any]) -> None:
        """Injects a fault or changes an option."""
        raise NotImplementedError

    def wait(self, seconds: float) -> None:
        """Lets time pass."""
        raise NotImplementedError

    def test_every_case(self):
        for case in worker_cases.CASES:
            with self.subTest(case.name, guards=case.guards):
                self.open()
                for number, (action, expected) in enumerate(case.steps):
                    self.run_step(number, action, expected)

    def run_step(self, number: int, action: Any, expected: Any) -> None:
        if isinstance(action, worker_cases.Wait):
            self.wait(action.seconds)
        elif isinstance(action, worker_cases.Control):
            self.control(action.changes)
        else:
            reply = self.send(action)
            description = f"step {number}: reply to {action} was {reply}"
            if isinstance(expected, kinds.PartState):
                self.assertIsInstance(reply, messages.PartReply, description)
                self.assertIs(reply.part.state, expected, description)
            elif isinstance(expected, kinds.PartRefusal):
                self.assertIsInstance(reply, messages.PartRefused, description)
                self.assertIs(reply.reason, expected, description)
            elif expected is not None:
                self.assertTrue(expected(reply), description)


class ModelContract(WorkerContract, unittest.TestCase):
    """The model fulfils the contract in virtual time."""

    def open(self):
        self.now_s = 0.0
        self.model = worker.Worker(8, "first")

    def send(self, message):
        return self.model.handle(message, self.now_s, 0)

    def control(self, changes):
        if changes.get("restart"):
            self.model.restart("second", self.now_s)
        self.model.fails = changes.get("fails", False)
        self.model.speed = changes.get("speed", 1.0)
        self.model.leaving = changes.get("leaving", False)

    def wait(self, seconds):
        self.now_s += seconds

    def test_reports_an_ended_part_for_a_minute(self):
        """Guards against results that are lost when a scheduler crashes."""
        self.open()
        self.send(worker_cases.hold("a", [0]))
        self.send(worker_cases.start("a", 0.0))
        self.send(worker_cases.renew("a"))
        is_reported = worker_cases.reports_part("a", kinds.PartState.FINISHED)
        self.wait(59.0)
        self.assertTrue(is_reported(self.send(worker_cases.renew("a"))))
        self.wait(59.0)
        self.assertTrue(is_reported(self.send(worker_cases.LIST_PARTS)))
        self.wait(2.0)
        self.assertFalse(is_reported(self.send(worker_cases.LIST_PARTS)))


class HttpContract(WorkerContract, unittest.TestCase):
    """The model behind HTTP fulfils the same contract."""

    @classmethod
    def setUpClass(cls):
        command = [sys.executable, "-m", "standins.serve", "worker"]
        options = json.dumps({"accelerators": 8})
        cls.child = subprocess.Popen(
            [*command, options], stdout=subprocess.PIPE, text=True
        )
        line = cls.child.stdout.readline()
        cls.address = line.split(deployment.LISTENING_PREFIX, 1)[1].strip()

    @classmethod
    def tearDownClass(cls):
        cls.child.terminate()
        cls.child.communicate()

    def open(self):
        options = {"fails": False, "speed": 1.0, "leaving": False}
        self.control({"restart": True, **options})

    def send(self, message):
        destination = effects.Destination(
            kinds.Service.WORKER, "worker", self.address
        )
        call = effects.Call("c", destination, message, 10.0)

        async def perform():
            async with http_pools.Pools(http_pools.PoolLimits(1)) as session:
                return await http_client.send(session, call)

        return asyncio.run(perform()).unwrap()

    def control(self, changes):
        deployment.control(self.address, changes)

    def wait(self, seconds):
        time.sleep(seconds)

    def test_a_lost_reply_leaves_the_effect(self):
        """Guards against treating a lost reply like a lost message."""
        self.open()
        self.control({"lost_replies": 1})
        destination = effects.Destination(
            kinds.Service.WORKER, "worker", self.address
        )
        message = worker_cases.hold("a", [0])
        call = effects.Call("c", destination, message, 0.3)

        async def perform():
            async with http_pools.Pools(http_pools.PoolLimits(1)) as session:
                return await http_client.send(session, call)

        failure = asyncio.run(perform()).failure()
        self.assertIs(failure, kinds.CallFailure.LOST)
        is_reported = worker_cases.reports_part("a", kinds.PartState.HELD)
        self.assertTrue(is_reported(self.send(worker_cases.LIST_PARTS)))


if __name__ == "__main__":
    unittest.main()
