"""Begins and ends the faults of a run."""

import asyncio
import contextlib
import copy
import dataclasses
import functools
import signal
import time
from typing import Any

import aiohttp

from soak import ledger as ledger_lib
from soak import plan
from soak import processes
from soak import slow_request

LINK_DELAY_S = 0.5
# A request that was begun this long before a stop has been received.
RECEIVED_AFTER_S = 0.1
# The rest of its body is sent that long after the stop. A process that closes
# at once still answers for 0.6 s.
REST_DELAY_S = 1.5
PROBE_TIMEOUT = aiohttp.ClientTimeout(total=0.5)
SCHEDULER_METRIC = "dandelionpick_scheduler 1.0"


@dataclasses.dataclass
class Context:
    """What the faults act on.

    Attributes:
        keys: keys of callers that may still be withdrawn.
        editing: is held while the configuration is changed.
    """

    system: processes.System
    session: aiohttp.ClientSession
    ledger: ledger_lib.Ledger
    keys: list[str]
    editing: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    async def control(self, **body: Any) -> None:
        """Sends a control message to the platform's stand-in."""
        url = f"http://{self.system.store}/control"
        async with self.session.post(url, json=body) as response:
            response.raise_for_status()

    async def scheduler(self) -> processes.Instance | None:
        """Returns the instance that says it is the scheduler, if one does."""
        for instance in self.system.instances:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.get(
                    f"http://{instance.peers}/metrics", timeout=PROBE_TIMEOUT
                ) as response:
                    if SCHEDULER_METRIC in await response.text():
                        return instance
        return None


@functools.singledispatch
async def play(fault: plan.Fault, context: Context) -> None:
    """Plays a fault until its end."""
    raise NotImplementedError(type(fault))


@contextlib.contextmanager
def _concerning(instance: processes.Instance):
    """Marks an instance as concerned by a fault."""
    instance.faults += 1
    try:
        yield
    finally:
        instance.faults -= 1
        instance.calm_since_s = time.monotonic()


@play.register
async def _(fault: plan.ProcessFault, context: Context) -> None:
    instance = context.system.instances[fault.instance]
    if fault.at_scheduler:
        instance = await context.scheduler() or instance
    if instance.child is None or instance.stopping_since_s < float("inf"):
        return
    match fault.action:
        case plan.ProcessAction.RELOAD:
            instance.signal(signal.SIGHUP)
        case plan.ProcessAction.STOP:
            await _stop(instance, context, fault.for_s)
        case plan.ProcessAction.PAUSE:
            with _concerning(instance):
                child = instance.child
                child.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                child.send_signal(signal.SIGCONT)
        case plan.ProcessAction.KILL:
            with _concerning(instance):
                instance.kill()
                await asyncio.sleep(fault.for_s)
                if instance.child is None:
                    instance.start()


async def _stop(
    instance: processes.Instance, context: Context, down_s: float
) -> None:
    """Tells an instance to stop, and starts it again when it has ended."""
    child = instance.child
    assert child is not None
    # Keeps a second signal from ending it at once.
    instance.stopping_since_s = time.monotonic()
    serves = await _serves(instance, context)
    request = await _begin_request(instance) if serves else None
    instance.stopping_since_s = began_s = time.monotonic()
    child.send_signal(signal.SIGTERM)
    if request is not None:
        await asyncio.sleep(REST_DELAY_S)
        is_answered = await request.finish()
        if instance.child is child and instance.is_calm(began_s):
            context.ledger.check(
                ledger_lib.Promise.STOP_CUTS_NOTHING_OFF,
                is_answered,
                f"{instance.name} was told to stop and doesn't answer a"
                " request that had begun before",
            )
    limit_s = processes.DRAIN_S + processes.STOP_MARGIN_S
    while child.poll() is None and time.monotonic() < began_s + limit_s:
        await asyncio.sleep(processes.POLL_S)
    # A process that does not serve yet is ended by the signal.
    if serves and instance.child is child and instance.is_calm(began_s):
        context.ledger.check(
            ledger_lib.Promise.STOP_IN_TIME,
            child.poll() == 0,
            f"{instance.name} was told to stop; exit status {child.poll()}"
            f" after {time.monotonic() - began_s:.1f} s",
        )
    with _concerning(instance):
        if instance.child is child:
            instance.kill()
        await asyncio.sleep(down_s)
        if instance.child is None:
            instance.start()


async def _serves(instance: processes.Instance, context: Context) -> bool:
    """Returns whether the process of an instance has begun to answer."""
    try:
        async with context.session.get(
            f"http://{instance.health}/readyz", timeout=PROBE_TIMEOUT
        ):
            return True
    except (aiohttp.ClientError, TimeoutError):
        return False


async def _begin_request(
    instance: processes.Instance,
) -> slow_request.SlowRequest | None:
    """Begins a request; returns None if the instance doesn't accept it."""
    try:
        request = await slow_request.SlowRequest.begin(instance)
    except OSError:
        return None
    await asyncio.sleep(RECEIVED_AFTER_S)
    return request


@play.register
async def _(fault: plan.LinkFault, context: Context) -> None:
    instance = context.system.instances[fault.instance]
    with _concerning(instance):
        instance.link_faults += 1
        match fault.action:
            case plan.LinkAction.RESET:
                await asyncio.to_thread(instance.link.cut)
            case plan.LinkAction.SILENCE:
                await asyncio.to_thread(instance.link.silence_all)
            case plan.LinkAction.DELAY:
                instance.link.delay(LINK_DELAY_S)
        await asyncio.sleep(fault.for_s)
        instance.link_faults -= 1
        if not instance.link_faults:
            instance.link.heal()


@play.register
async def _(fault: plan.StoreFault, context: Context) -> None:
    system = context.system
    system.store_faults += 1
    try:
        await context.control(store=fault.action.value, begins=True)
        await asyncio.sleep(fault.for_s)
        if fault.for_s:
            await context.control(store=fault.action.value, begins=False)
    finally:
        system.store_faults -= 1
        system.store_calm_since_s = time.monotonic()


@play.register
async def _(fault: plan.TargetFault, context: Context) -> None:
    concerns = {"target": fault.target, "action": fault.action.value}
    await context.control(**concerns, begins=True)
    await asyncio.sleep(fault.for_s)
    await context.control(**concerns, begins=False)


@play.register
async def _(fault: plan.Edit, context: Context) -> None:
    # Edits that overlap would take each other back.
    async with context.editing:
        await _edit(fault.action, context)


async def _edit(action: plan.EditAction, context: Context) -> None:
    system = context.system
    document = copy.deepcopy(system.configuration)
    document["version"] += 1
    key = None
    match action:
        case plan.EditAction.ADD_ROUTE:
            name = f"added-{document['version']}"
            route = {**document["routes"][0], "name": name}
            document["routes"].append({**route, "prefix": f"/{name}/"})
        case plan.EditAction.WITHDRAW_KEY:
            if not context.keys:
                return
            key = context.keys.pop()
            document["tenants"][0]["api_keys"].remove(key)
    await context.control(configuration=document)
    # The probes read both.
    system.configuration, system.edited_s = document, time.monotonic()
    if key is not None:
        system.withdrawn_keys[key] = system.edited_s


@play.register
async def _(fault: plan.Evacuation, context: Context) -> None:
    if context.system.store_faults:
        # The operator's request would not be acknowledged.
        return
    await context.control(evacuated=fault.domain, begins=True)
    await asyncio.sleep(fault.for_s)
    await context.control(evacuated=fault.domain, begins=False)
