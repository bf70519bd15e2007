"""A stand-in for a worker that runs parts of gangs on accelerators.

`Worker` is the model. Each call passes in the time, so that tests can run it in
virtual time; `standins.serve` serves it over HTTP.

A part's payload is JSON; its field "run_s" gives the seconds of work. A
checkpoint is the number of seconds of work done, as text.
"""

import dataclasses
import functools
import json
from typing import Any

from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import worker_messages as messages

REPORT_RETENTION_S = 60.0
DEFAULT_RUN_S = 1.0
USAGE_LAG_S = 5.0
OCCUPYING_STATES = (
    kinds.PartState.HELD,
    kinds.PartState.STARTING,
    kinds.PartState.RUNNING,
)


@dataclasses.dataclass
class Part:
    """A part of a gang on this worker.

    Attributes:
        expires_s: when the hold or the lease expires.
        run_end_s: when a running part completes its work.
        last_named_s: when a message last mentioned the part, or when it
            ended.
    """

    hold: messages.HoldPart
    state: kinds.PartState
    expires_s: float
    last_named_s: float
    work_s: float = 0.0
    done_work_s: float = 0.0
    run_end_s: float = float("inf")
    checkpoint: str = ""
    result: str = ""
    ran: bool = False


@dataclasses.dataclass(frozen=True)
class Transition:
    """A state change of a part, for the test oracle."""

    at_s: float
    gang_id: ids.GangId
    state: kinds.PartState
    labels: messages.PartLabels


class Worker:
    """Runs gang parts under leases.

    Attributes:
        transitions: all state changes, oldest first.
        tombstones: gangs whose parts this worker must refuse to hold.
        leaving: whether new holds are refused.
        fails: whether every part fails as soon as it runs.
        speed: seconds of work done per second; below 1 is slow or throttled.
    """

    def __init__(
        self,
        accelerators: int,
        incarnation: str,
        cores: int = 64,
        memory_gb: int = 128,
    ):
        self.accelerators = accelerators
        self.cores = cores
        self.memory_gb = memory_gb
        self.incarnation = ids.Incarnation(incarnation)
        self.leaving = False
        self.fails = False
        self.speed = 1.0
        self.parts: dict[ids.GangId, Part] = {}
        self.tombstones: set[ids.GangId] = set()
        self.transitions: list[Transition] = []
        self.samples: list[tuple[float, float]] = [(0.0, 0.0)]

    def restart(self, incarnation: str, now_s: float) -> None:
        """Loses all parts and tombstones, as a restart of the process does."""
        self.advance(now_s)
        for part in self.occupying():
            self.record(part, kinds.PartState.STOPPED, now_s)
        self.incarnation = ids.Incarnation(incarnation)
        self.parts.clear()
        self.tombstones.clear()
        self.samples = [(now_s, 0.0)]

    def handle(self, message: Any, now_s: float, unix_ms: int) -> Any:
        """Answers a message."""
        self.advance(now_s)
        reply = _handle(message, self, now_s)
        self.samples.append(
            (now_s, self.busy_accelerators() / max(1, self.accelerators))
        )
        return reply

    def advance(self, now_s: float) -> None:
        """Ends the parts whose lease has expired or whose work is done."""
        for gang_id, part in list(self.parts.items()):
            if part.state not in OCCUPYING_STATES:
                continue
            if part.run_end_s <= min(now_s, part.expires_s):
                part.result = f"done {part.work_s:g}"
                self.end(part, kinds.PartState.FINISHED, part.run_end_s)
            elif part.expires_s <= now_s and part.state is kinds.PartState.HELD:
                del self.parts[gang_id]
                self.record(part, kinds.PartState.STOPPED, part.expires_s)
            elif part.expires_s <= now_s:
                self.end(part, kinds.PartState.STOPPED, part.expires_s)

    def end(self, part: Part, state: kinds.PartState, at_s: float) -> None:
        """Puts a part in a final state, which frees its accelerators."""
        part.state = state
        part.last_named_s = at_s
        self.record(part, state, at_s)

    def record(self, part: Part, state: kinds.PartState, at_s: float) -> None:
        """Records a state change for the test oracle."""
        self.transitions.append(
            Transition(at_s, part.hold.gang_id, state, part.hold.labels)
        )

    def occupying(self) -> list[Part]:
        """Returns the parts that occupy accelerators."""
        return [
            part
            for part in self.parts.values()
            if part.state in OCCUPYING_STATES
        ]

    def busy_accelerators(self) -> int:
        """Returns the number of accelerators in use."""
        return sum(len(part.hold.accelerators) for part in self.occupying())

    def usage(self, now_s: float) -> float:
        """Returns the share of busy accelerators USAGE_LAG_S seconds ago."""
        while len(self.samples) > 1 and self.samples[1][0] <= (
            now_s - USAGE_LAG_S
        ):
            self.samples.pop(0)
        return self.samples[0][1]

    def status(self, part: Part) -> messages.PartStatus:
        """Builds the status message of a part."""
        return messages.PartStatus(
            gang_id=part.hold.gang_id,
            labels=part.hold.labels,
            state=part.state,
            accelerators=part.hold.accelerators,
            checkpoint=part.checkpoint,
            result=part.result,
            ran=part.ran,
        )

    def accept(self, part: Part) -> messages.PartReply:
        """Builds the reply to a message that took effect."""
        return messages.PartReply(
            self.incarnation, self.status(part), self.leaving
        )

    def refuse(
        self, gang_id: ids.GangId, reason: kinds.PartRefusal
    ) -> messages.PartRefused:
        """Builds the reply to a message that had no effect."""
        return messages.PartRefused(
            self.incarnation, gang_id, reason, self.leaving
        )


@functools.singledispatch
def _handle(message: Any, worker: Worker, now_s: float) -> Any:
    raise TypeError(f"no handler for {type(message).__name__}")


@_handle.register
def _(message: messages.HoldPart, worker: Worker, now_s: float) -> Any:
    known = worker.parts.get(message.gang_id)
    if known is not None and known.state in OCCUPYING_STATES:
        return worker.accept(known)
    reason = _hold_refusal(message, worker, known)
    if reason is not None:
        return worker.refuse(message.gang_id, reason)
    part = Part(message, kinds.PartState.HELD, now_s + message.hold_s, now_s)
    worker.parts[message.gang_id] = part
    worker.record(part, kinds.PartState.HELD, now_s)
    return worker.accept(part)


def _hold_refusal(
    message: messages.HoldPart, worker: Worker, known: Part | None
) -> kinds.PartRefusal | None:
    if message.incarnation not in ("", worker.incarnation):
        return kinds.PartRefusal.WRONG_INCARNATION
    if known is not None or message.gang_id in worker.tombstones:
        return kinds.PartRefusal.TOMBSTONED
    if worker.leaving:
        return kinds.PartRefusal.LEAVING
    held = [part.hold for part in worker.occupying()]
    taken = {index for hold in held for index in hold.accelerators}
    wanted = set(message.accelerators)
    fits = (
        len(wanted) == len(message.accelerators)
        and wanted <= set(range(worker.accelerators))
        and not wanted & taken
        and message.cores + sum(h.cores for h in held) <= worker.cores
        and message.memory_gb + sum(h.memory_gb for h in held)
        <= worker.memory_gb
    )
    return None if fits else kinds.PartRefusal.ACCELERATORS_TAKEN


@_handle.register
def _(message: messages.StartPart, worker: Worker, now_s: float) -> Any:
    part = worker.parts.get(message.gang_id)
    if message.gang_id in worker.tombstones:
        return worker.refuse(message.gang_id, kinds.PartRefusal.TOMBSTONED)
    if part is None:
        return worker.refuse(message.gang_id, kinds.PartRefusal.UNKNOWN_PART)
    if part.state is kinds.PartState.HELD:
        part.state = kinds.PartState.STARTING
        part.expires_s = now_s + message.lease_s
        part.work_s = parse_run_s(message.payload)
        part.checkpoint = message.checkpoint
        part.done_work_s = float(message.checkpoint or 0.0)
        worker.record(part, kinds.PartState.STARTING, now_s)
    return worker.accept(part)


def parse_run_s(payload: str) -> float:
    """Returns the seconds of work that a payload asks for."""
    try:
        return float(json.loads(payload)["run_s"])
    except (ValueError, KeyError, TypeError):
        return DEFAULT_RUN_S


@_handle.register
def _(message: messages.RenewLeases, worker: Worker, now_s: float) -> Any:
    for gang_id in message.gang_ids:
        part = worker.parts.get(gang_id)
        if part is not None:
            _renew(part, worker, now_s, message.lease_s)
    worker.advance(now_s)
    parts = [
        worker.status(part)
        for part in worker.parts.values()
        if part.state in OCCUPYING_STATES
        or now_s - part.last_named_s <= REPORT_RETENTION_S
    ]
    return messages.WorkerReport(
        worker.incarnation, parts, worker.usage(now_s), worker.leaving
    )


def _renew(part: Part, worker: Worker, now_s: float, lease_s: float) -> None:
    """Runs a starting part or renews a running one; sets last_named_s."""
    part.last_named_s = now_s
    if part.state is kinds.PartState.STARTING:
        part.state = kinds.PartState.RUNNING
        part.ran = True
        missing_s = max(0.0, part.work_s - part.done_work_s)
        part.run_end_s = now_s + missing_s / worker.speed
        worker.record(part, kinds.PartState.RUNNING, now_s)
        if worker.fails:
            worker.end(part, kinds.PartState.FAILED, now_s)
    if part.state is kinds.PartState.RUNNING:
        part.expires_s = now_s + lease_s


@_handle.register
def _(message: messages.StopPart, worker: Worker, now_s: float) -> Any:
    worker.tombstones.add(message.gang_id)
    part = worker.parts.get(message.gang_id)
    if part is None:
        return worker.refuse(message.gang_id, kinds.PartRefusal.UNKNOWN_PART)
    if part.state in OCCUPYING_STATES:
        if message.checkpoint and part.state is kinds.PartState.RUNNING:
            missing_s = (part.run_end_s - now_s) * worker.speed
            part.checkpoint = f"{part.work_s - missing_s:.3f}"
        worker.end(part, kinds.PartState.STOPPED, now_s)
    return worker.accept(part)
