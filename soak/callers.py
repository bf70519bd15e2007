"""Callers that submit, poll and cancel jobs, and check the answers.

Each caller keeps its connection open and uses it until it breaks, whatever the
load balancer says of the instance.
"""

import asyncio
import dataclasses
import json
import random
import time
from typing import Any

import aiohttp

from soak import injection
from soak import ledger as ledger_lib
from soak import plan
from soak import processes
from standins import platform_demo

Promise = ledger_lib.Promise

TIMEOUT_S = 3.0
POLL_S = 0.5
# Requests for a job that was not accepted so far; the last refusal stands.
MAX_ATTEMPTS = 4
CANCELLED_SHARE = 0.1
# Share of the jobs that are submitted with a key that is never valid.
UNKNOWN_KEY_SHARE = 0.1
UNKNOWN_KEY = "unknown"
# Share of the submissions before which an invalid one is sent.
INVALID_SHARE = 0.1
INVALID_BODIES = (
    b"[" * 50_000,
    b'{"phases": [{"count": 1e999}]}',
    b'{"phases": [{"count": 1, "cpu": 1}], "start_at_ms": 1%s}' % (b"0" * 400),
    b'{"phases": [{"count": -1, "cpu": 1}]}',
    b'{"phases": [{"count": 1, "cpu": 0.5}]}',
    b"\xff\xfe",
    b"null",
)
# Share of the polls after which another tenant tries to see or cancel the job.
OTHER_TENANT_SHARE = 0.1
ENDED_STATES = ("completed", "failed", "cancelled")
# By these statuses a submission was refused; others leave the outcome open.
REFUSED_STATUSES = (400, 401, 403, 404, 413, 429, 503)
# Another attempt with the same key would be refused, too.
UNAUTHORIZED = 401
ACCEPTED_STATUSES = (200, 202)
NO_ANSWER = 0
# A request counts as received if it was sent this long before a planned stop.
RECEIVED_AFTER_S = 0.05


@dataclasses.dataclass
class Job:
    """A job that an instance has accepted.

    Attributes:
        key: the key that it was submitted with.
        accepted_s: when the answer arrived.
        tasks: names of its tasks.
        state: the last state that an answer told.
        cancelled: whether a cancellation was acknowledged or may be in force.
    """

    path: str
    job_id: str
    key: str
    accepted_s: float
    tasks: list[str]
    state: str = ""
    cancelled: bool = False


class Caller:
    """One caller with one connection.

    Attributes:
        jobs: the jobs that were accepted.
    """

    def __init__(self, context: injection.Context, seed: int):
        self.context = context
        self.random = random.Random(seed)
        self.jobs: list[Job] = []
        self.instance = self.random.choice(context.system.instances)
        self.session: aiohttp.ClientSession | None = None

    async def run(self, end_s: float) -> None:
        """Submits jobs, one after the other, until the given time.

        The first one is refused for its key, so that each run has refusals.
        """
        key = UNKNOWN_KEY
        while time.monotonic() < end_s:
            if self.random.random() < INVALID_SHARE:
                await self._submit_invalid_body()
            job = await self._submit_random(key)
            has_key = self.random.random() >= UNKNOWN_KEY_SHARE
            key = platform_demo.KEY if has_key else UNKNOWN_KEY
            if job is not None:
                await self._follow(job, end_s)
            await asyncio.sleep(self.random.uniform(0.0, POLL_S))

    async def close(self) -> None:
        """Closes the connection."""
        if self.session is not None:
            await self.session.close()
            self.session = None

    async def _submit_random(self, key: str) -> Job | None:
        return await self.submit(
            platform_demo.build_job(self.random.randrange(12)),
            self.random.choice(list(platform_demo.QUEUES)),
            key,
        )

    async def submit(
        self, body: dict[str, Any], queue: str, key: str
    ) -> Job | None:
        """Submits a job; returns it if it was accepted."""
        job_id = f"{self.random.getrandbits(64):016x}"
        path = f"/{queue}/{job_id}"
        url = f"http://{self.context.system.store}/jobs/{job_id}"
        async with self.context.session.post(url, json=body) as response:
            response.raise_for_status()
        is_refused = True
        for _ in range(MAX_ATTEMPTS):
            status, _ = await self.call(
                "POST", path, json.dumps(body).encode(), key
            )
            if status in ACCEPTED_STATUSES:
                tasks = [
                    f"{job_id}.0.{number}.{index}"
                    for number, phase in enumerate(body["phases"])
                    for index in range(phase["count"])
                ]
                job = Job(path, job_id, key, time.monotonic(), tasks)
                self.jobs.append(job)
                return job
            is_refused &= status in REFUSED_STATUSES
            if status == UNAUTHORIZED:
                break
            await asyncio.sleep(POLL_S)
        if is_refused:
            await self.context.control(refused=job_id)
            self.context.ledger.checks[Promise.REFUSED_NEVER_RUNS] += 1
        return None

    async def _submit_invalid_body(self) -> None:
        """Submits an invalid job, which has to be refused with status 400.

        An instance that serves no jobs at the time may answer with 503.
        """
        path = f"/normal/{self.random.getrandbits(64):016x}"
        body = self.random.choice(INVALID_BODIES)
        status, _ = await self.call("POST", path, body)
        if status != NO_ANSWER:
            self.context.ledger.check(
                Promise.INVALID_REQUEST_REFUSED,
                status in (400, 503),
                f"{body[:60]!r} is answered {status}",
            )

    async def _follow(self, job: Job, end_s: float) -> None:
        """Polls a job until it has ended; some are cancelled."""
        cancels = self.random.random() < CANCELLED_SHARE
        while job.state not in ENDED_STATES and time.monotonic() < end_s:
            await asyncio.sleep(POLL_S)
            if cancels:
                job.cancelled = True
                status, _ = await self.call("DELETE", job.path, key=job.key)
                if status in ACCEPTED_STATUSES:
                    await self.context.control(cancelled=job.job_id)
                    return
            await self.poll(job)
            if self.random.random() < OTHER_TENANT_SHARE:
                await self._try_as_other_tenant(job)

    async def _try_as_other_tenant(self, job: Job) -> None:
        """Tries to see or cancel a job with a key of another tenant."""
        method = self.random.choice(("GET", "DELETE"))
        queue = self.random.choice(list(platform_demo.QUEUES))
        path = f"/{queue}/{job.job_id}"
        status, _ = await self.call(method, path, key=processes.OTHER_KEY)
        if status != NO_ANSWER:
            self.context.ledger.check(
                Promise.OTHER_TENANT_REFUSED,
                status not in ACCEPTED_STATUSES,
                f"{method} {path} by another tenant is answered {status}",
            )

    async def poll(self, job: Job) -> None:
        """Asks for the state of a job."""
        began_s = time.monotonic()
        instance = self.instance
        status, reply = await self.call("GET", job.path, key=job.key)
        is_unknown = status in (404, 410)
        if self.context.system.is_in_touch(instance, began_s):
            self.context.ledger.check(
                Promise.ACCEPTED_IS_KNOWN,
                not is_unknown,
                f"{instance.name} answers {status} for {job.path}, which was"
                f" accepted {began_s - job.accepted_s:.1f} s before",
            )
        if status == 200:
            job.state = reply["state"]

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        key: str = platform_demo.KEY,
    ) -> tuple[int, Any]:
        """Sends a request on the open connection.

        After a call without an answer, the next one goes to another instance.

        Returns:
            The status, 0 without an answer, and the decoded body.
        """
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=1),
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            )
        instance = self.instance
        sent_s = time.monotonic()
        ledger = self.context.ledger
        try:
            async with self.session.request(
                method,
                f"http://{instance.callers}{path}",
                data=body,
                headers={
                    "content-type": "application/json",
                    "host": processes.HOST,
                    "authorization": f"Bearer {key}",
                    "x-deadline-ms": str(int(TIMEOUT_S * 1_000)),
                },
            ) as response:
                status, text = response.status, await response.text()
            self._check_cut_off(instance, sent_s, None)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._check_cut_off(instance, sent_s, error)
            status, text = NO_ANSWER, ""
        ledger.outcomes[status] += 1
        if status in (NO_ANSWER, 502, 503, 504):
            await self.close()
            self.instance = self.random.choice(self.context.system.instances)
        if status == NO_ANSWER:
            return status, None
        return status, self._decode(method, path, status, text)

    def _decode(self, method: str, path: str, status: int, text: str) -> Any:
        try:
            reply = json.loads(text)
        except ValueError:
            reply = None
        field = "state" if method == "GET" and status == 200 else None
        is_whole = isinstance(reply, dict) and (
            field in reply if field else status == 200 or "problem" in reply
        )
        self.context.ledger.check(
            Promise.OWN_ANSWER,
            is_whole,
            f"{method} {path} is answered {status} with {text[:200]!r}",
        )
        return reply if is_whole else {"state": ""}

    def _check_cut_off(
        self,
        instance: processes.Instance,
        sent_s: float,
        error: Exception | None,
    ) -> None:
        """Checks a request that was in progress when its instance stopped.

        Args:
            instance: the instance.
            sent_s: when the request was sent.
            error: why there was no answer; None if there was one.
        """
        stops_s = instance.stopping_since_s
        is_stopping = stops_s <= time.monotonic()
        was_received = sent_s + RECEIVED_AFTER_S <= stops_s
        if not is_stopping or not was_received or not instance.is_calm(sent_s):
            return
        self.context.ledger.check(
            Promise.STOP_CUTS_NOTHING_OFF,
            error is None or isinstance(error, TimeoutError),
            f"{instance.name} was told to stop, and ends a request that was"
            f" sent {stops_s - sent_s:.2f} s before: {error!r}",
        )


@injection.play.register
async def _(fault: plan.Flood, context: injection.Context) -> None:
    """Submits the job; its id depends on the time of the fault."""
    phase = {"count": fault.tasks, "cpu": 1_000, "mem_mb": 100, "gpu": 1}
    phase["estimate_ms"] = round(fault.work_s * 1_000)
    body = {"spec": json.dumps({"work_s": fault.work_s}), "phases": [phase]}
    caller = Caller(context, seed=round(fault.at_s * 1_000))
    try:
        await caller.submit(body, "batch", platform_demo.KEY)
    finally:
        await caller.close()
