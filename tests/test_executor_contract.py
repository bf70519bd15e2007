"""Contract tests for executors: the model, an HTTP stand-in or a real one."""

import abc
import asyncio
import dataclasses
import functools
import pathlib
import tempfile
import time
import unittest
from collections.abc import Callable
from typing import Any

from returns.result import Success

from dandelionpick import effects
from dandelionpick import executor_messages as messages
from dandelionpick import http_client
from dandelionpick import http_pools
from dandelionpick import ids
from dandelionpick import kinds
from standins import deployment
from standins import executor

RUN_S = 0.05
LABELS = messages.TaskLabels("ward", "confirmation", "key", 1)
LOST = kinds.CallFailure.LOST


class Driver(abc.ABC):
    """Access of the contract tests to an executor with one slot."""

    @abc.abstractmethod
    def send(self, message: Any) -> Any:
        """Sends a message and returns the reply, or LOST."""

    @abc.abstractmethod
    def control(self, **changes: Any) -> None:
        """Changes the behaviour of the executor, such as its fault."""

    @abc.abstractmethod
    def unix_ms(self) -> int:
        """Returns the executor's clock in Unix milliseconds."""

    def start(self, task_id: str, **fields: Any) -> Any:
        """Sends a start, with a deadline in 60 s by default."""
        deadline_ms = self.unix_ms() + fields.pop("deadline_in_ms", 60_000)
        body = fields.pop("body", b"abc")
        message = messages.StartTask(
            ids.TaskId(task_id), LABELS, body, deadline_ms, **fields
        )
        return self.send(message)

    def query(self, task_id: str) -> Any:
        """Queries the state of a task."""
        return self.send(messages.QueryTask(ids.TaskId(task_id)))

    def cancel(self, task_id: str) -> Any:
        """Cancels a task, which leaves a tombstone if it is unknown."""
        return self.send(messages.CancelTask(ids.TaskId(task_id)))


class ModelDriver(Driver):
    """Drives the model in virtual time."""

    def __init__(self):
        self.now_s = 0.0
        self.model = executor.Executor(1, "first", RUN_S)

    def send(self, message: Any) -> Any:
        reply = self.model.handle(message, self.now_s, self.unix_ms())
        start = isinstance(message, messages.StartTask)
        if start and isinstance(reply, messages.TaskRunning):
            self.now_s = self.model.tasks[message.task_id].end_s + 0.001
            reply = self.model.describe(message.task_id, self.now_s)
        return LOST if self.model.loses_reply(message) else reply

    def control(self, **changes: Any) -> None:
        if changes.get("restart"):
            self.model = executor.Executor(1, "second", RUN_S)
        if "leaving" in changes:
            self.model.leaving = changes["leaving"]
        if "fault" in changes:
            self.model.fault = executor.ExecutorFault(changes["fault"])

    def unix_ms(self) -> int:
        return int(self.now_s * 1000) + 1_000_000


class HttpDriver(Driver):
    """Drives an executor that serves HTTP."""

    def __init__(self, address: str):
        self.address = address

    def send(self, message: Any) -> Any:
        return asyncio.run(self._send(message))

    async def _send(self, message: Any) -> Any:
        destination = effects.Destination(
            kinds.Service.EXECUTOR, "executor", self.address
        )
        call = effects.Call(ids.CallId("1"), destination, message, 10.0)
        async with http_pools.Pools(http_pools.PoolLimits(1)) as pools:
            result = await http_client.send(pools, call)
        return result.unwrap() if isinstance(result, Success) else LOST

    def control(self, **changes: Any) -> None:
        deployment.control(self.address, changes)

    def unix_ms(self) -> int:
        return time.time_ns() // 1_000_000


@dataclasses.dataclass(frozen=True)
class Case:
    """The expected last reply of an executor to a sequence of messages.

    Attributes:
        execute: sends the messages and returns the last reply.
        expected: type of the reply, reason of a refusal, or LOST.
    """

    name: str
    execute: Callable[[Driver], Any]
    expected: Any


def in_sequence(*steps: Callable[[Driver], Any]) -> Callable[[Driver], Any]:
    """Builds a step that runs steps in turn and returns the last reply."""

    def execute(driver: Driver) -> Any:
        return [step(driver) for step in steps][-1]

    return execute


def driver_call(
    name: str, *args: Any, **fields: Any
) -> Callable[[Driver], Any]:
    """Builds a step that calls a method of the driver."""
    return lambda driver: getattr(driver, name)(*args, **fields)


start = functools.partial(driver_call, "start", "t")
query = functools.partial(driver_call, "query", "t")
cancel = functools.partial(driver_call, "cancel", "t")
control = functools.partial(driver_call, "control")
REFUSAL = kinds.TaskRefusal
CASES = (
    Case("a start runs", start(), messages.TaskResult),
    Case(
        "a repeated start joins the task",
        in_sequence(start(), start()),
        messages.TaskResult,
    ),
    Case(
        "a query finds a task",
        in_sequence(start(), query()),
        messages.TaskResult,
    ),
    Case("a query of an unknown task", query(), messages.TaskUnknown),
    Case("a cancel leaves a tombstone", cancel(), messages.TaskTombstoned),
    Case(
        "a cancel of a finished task",
        in_sequence(start(), cancel()),
        messages.TaskResult,
    ),
    Case(
        "a tombstone outlasts starts",
        in_sequence(cancel(), start()),
        REFUSAL.TOMBSTONED,
    ),
    Case(
        "a tombstone takes precedence over a passed deadline",
        in_sequence(cancel(), start(deadline_in_ms=-10)),
        REFUSAL.TOMBSTONED,
    ),
    Case(
        "a passed deadline", start(deadline_in_ms=-10), REFUSAL.DEADLINE_PASSED
    ),
    Case(
        "a start after its deadline joins the task",
        in_sequence(start(), start(deadline_in_ms=-10)),
        messages.TaskResult,
    ),
    Case(
        "another incarnation",
        start(incarnation=ids.Incarnation("other")),
        REFUSAL.WRONG_INCARNATION,
    ),
    Case(
        "leaving", in_sequence(control(leaving=True), start()), REFUSAL.LEAVING
    ),
    Case(
        "a start joins its task while leaving",
        in_sequence(start(), control(leaving=True), start()),
        messages.TaskResult,
    ),
    Case(
        "a restart loses the tasks",
        in_sequence(start(), control(restart=True), query()),
        messages.TaskUnknown,
    ),
    Case(
        "a lost reply",
        in_sequence(control(fault="loses_replies"), start()),
        LOST,
    ),
    Case(
        "a lost reply is found by a query",
        in_sequence(control(fault="loses_replies"), start(), query()),
        messages.TaskResult,
    ),
)
DAMAGING_FAULTS = ("truncates", "crosses")


class ExecutorContract:
    """The contract; a subclass creates drivers of new executors."""

    def new_driver(self) -> Driver:
        raise NotImplementedError

    def test_replies(self):
        for case in CASES:
            with self.subTest(case.name):
                reply = case.execute(self.new_driver())
                if isinstance(case.expected, kinds.TaskRefusal):
                    self.assertIs(reply.reason, case.expected)
                elif case.expected is LOST:
                    self.assertIs(reply, LOST)
                else:
                    self.assertIsInstance(reply, case.expected)

    def test_a_result_is_intact_and_for_its_own_body(self):
        driver = self.new_driver()
        for number, body in enumerate((b"", b"abc", bytes(range(256)))):
            task_id = ids.TaskId(f"t{number}")
            reply = driver.start(task_id, body=body)
            self.assertTrue(messages.is_intact(reply, task_id))
            self.assertTrue(reply.succeeded)

    def test_a_damaged_result_is_recognised(self):
        for fault in DAMAGING_FAULTS:
            with self.subTest(fault):
                driver = self.new_driver()
                driver.start("other", body=b"longer than the first")
                driver.control(fault=fault)
                reply = driver.start("t")
                self.assertFalse(messages.is_intact(reply, ids.TaskId("t")))

    def test_a_failed_task_is_reported_as_failed(self):
        driver = self.new_driver()
        driver.control(fault="fails_tasks")
        self.assertFalse(driver.start("t").succeeded)

    def test_a_restart_changes_the_incarnation(self):
        driver = self.new_driver()
        before = driver.query("t").incarnation
        driver.control(restart=True)
        self.assertNotEqual(driver.query("t").incarnation, before)

    def test_a_list_names_the_tasks_of_a_key_but_no_tombstone(self):
        driver = self.new_driver()
        driver.start("t1")
        driver.cancel("t2")
        reply = driver.send(messages.ListTasks("ward", "key"))
        self.assertEqual(reply.task_ids, ["t1"])
        self.assertEqual(
            driver.send(messages.ListTasks("ward", "k")).task_ids, []
        )


class ModelContractTest(ExecutorContract, unittest.TestCase):
    """The model in virtual time fulfils the contract."""

    def new_driver(self) -> Driver:
        return ModelDriver()

    def test_a_full_executor_is_busy(self):
        model = executor.Executor(1, "first", RUN_S)
        model.handle(
            messages.StartTask("t1", LABELS, b"", 10**9), 0.0, 1_000_000
        )
        reply = model.handle(
            messages.StartTask("t2", LABELS, b"", 10**9), 0.0, 1_000_000
        )
        self.assertIs(reply.reason, REFUSAL.BUSY)


class HttpContractTest(ExecutorContract, unittest.TestCase):
    """The stand-in over HTTP fulfils the contract."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        running = deployment.Deployment(pathlib.Path(folder.name))
        cls.addClassCleanup(running.stop)
        cls.process = running.start_standin(
            "executor", "executor", {"slots": 1, "run_s": RUN_S}, {}
        )

    def new_driver(self) -> Driver:
        driver = HttpDriver(self.process.address)
        driver.control(restart=True)
        return driver
