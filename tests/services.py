"""Adapters through which contract tests call the platform's services."""

import asyncio
import json
import pathlib
import tempfile
import time
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import effects
from dandelionpick import http_client
from dandelionpick import http_pools
from dandelionpick import ids
from dandelionpick import kinds
from standins import deployment
from standins import faults

CALL_TIMEOUT_S = 1.0
WAIT_LIMIT_S = 20.0


class ModelService:
    """A stand-in's model in virtual time."""

    def __init__(self, model: Any):
        self.model = model
        self.now_s = 0.0

    def call(self, message: Any) -> Result[Any, kinds.CallFailure]:
        fault = self.model.faults.next_fault()
        if fault in (faults.Fault.REFUSES, faults.Fault.SILENT):
            return Failure(kinds.CallFailure.LOST)
        self.now_s += getattr(message, "wait_s", 0.0)
        reply = self.model.handle(message, self.now_s)
        if fault is faults.Fault.LOSES_REPLIES:
            return Failure(kinds.CallFailure.LOST)
        return Success(reply)

    def control(self, changes: dict[str, Any]) -> None:
        self.model.control(changes, self.now_s)

    def wait_until(self, condition) -> None:
        end_s = self.now_s + WAIT_LIMIT_S
        while not condition():
            self.now_s += 0.01
            if self.now_s >= end_s:
                raise AssertionError(
                    "the condition did not hold within the limit"
                )


class HttpService:
    """A service over HTTP, called with the client of a real process."""

    def __init__(self, service: kinds.Service, address: str):
        self.destination = effects.Destination(service, "", address)

    def call(self, message: Any) -> Result[Any, kinds.CallFailure]:
        return asyncio.run(self._call(message))

    async def _call(self, message: Any) -> Result[Any, kinds.CallFailure]:
        call = effects.Call(
            ids.CallId("contract"), self.destination, message, CALL_TIMEOUT_S
        )
        async with http_pools.Pools(http_pools.PoolLimits(1)) as session:
            return await http_client.send(session, call)

    def control(self, changes: dict[str, Any]) -> None:
        deployment.control(self.destination.address, changes)

    def wait_until(self, condition) -> None:
        end_s = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            time.sleep(0.01)
            if time.monotonic() >= end_s:
                raise AssertionError(
                    "the condition did not hold within the limit"
                )


class StandInProcess:
    """A stand-in in a separate process, for the tests of one class."""

    def __init__(self, role: str, options: dict[str, Any]):
        self.folder = tempfile.TemporaryDirectory()
        self.deployment = deployment.Deployment(pathlib.Path(self.folder.name))
        self.address = self.deployment.start_standin(
            role, role, json.loads(json.dumps(options)), {}
        ).address

    def stop(self) -> None:
        """Ends the process."""
        self.deployment.stop()
        self.folder.cleanup()
