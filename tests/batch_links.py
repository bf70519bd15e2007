"""Transmits the instances' calls to simulated receivers in virtual time."""

import json
from collections.abc import Callable
from typing import Any

import msgspec
from returns import pipeline
from returns.result import Failure
from returns.result import Success

from dandelionpick import effects
from dandelionpick import events
from dandelionpick import kinds
from dandelionpick.batch import store_api
from dandelionpick.batch import target_api
from dandelionpick.platform import store
from dandelionpick.platform import targets
from standins import platform_store

LATENCY_S = 0.002


def perform_call(fabric: Any, instance: Any, call: effects.Call) -> None:
    """Performs a call, and delivers its reply or its failure."""
    finished: list[bool] = []

    def finish(result: Any) -> None:
        if finished:
            return
        finished.append(True)
        moment = fabric.moment()
        if pipeline.is_successful(result):
            event: events.Event = events.Returned(
                moment, call.call_id, result.unwrap()
            )
        else:
            event = events.Failed(moment, call.call_id, result.failure())
        fabric.deliver(instance, event)

    def time_out() -> None:
        finish(Failure(kinds.CallFailure.LOST))

    # Timeouts don't count the time in which the event loop was late.
    fabric.call_later(_timeout_s(call) + instance.lag_s, time_out)
    fabric.call_later(
        LATENCY_S * (0.5 + fabric.random.random()),
        lambda: _deliver_call(fabric, instance, call, finish),
    )


def _deliver_call(
    fabric: Any,
    instance: Any,
    call: effects.Call,
    finish: Callable[[Any], None],
) -> None:
    peer = call.destination.address.partition(":")[0]
    link = frozenset((instance.name, peer))
    if link in fabric.cut:
        return

    def reply_later(decode: Callable[[], Any]) -> None:
        def reply() -> None:
            if link not in fabric.cut:
                finish(decode())

        fabric.call_later(LATENCY_S * (0.5 + fabric.random.random()), reply)

    if call.destination.service is kinds.Service.STORE:
        _call_store(fabric, instance, call.message, reply_later)
    elif call.destination.service is kinds.Service.WORKER:
        _call_target(fabric, peer, call.message, reply_later, finish)
    else:
        _call_peer(fabric, peer, call.message, reply_later, finish)


def _call_store(
    fabric: Any, instance: Any, message: Any, reply_later: Any
) -> None:
    method, target, body = store.encode_request(message)
    body = json.loads(msgspec.json.encode(body))

    def done(reply: platform_store.Reply) -> None:
        exchange = (reply[0], msgspec.json.encode(reply[1]))
        reply_later(lambda: store.decode_reply(message, exchange))

    def serve() -> None:
        fabric.store.serve(
            method, target, body, fabric.now_s, done, instance.name
        )

    if fabric.commit_delay_s and isinstance(message, store_api.Commit):
        fabric.call_later(fabric.commit_delay_s, serve)
    else:
        serve()


def _call_target(
    fabric: Any, name: str, message: Any, reply_later: Any, finish: Any
) -> None:
    if name in fabric.refusing_targets:
        finish(Failure(kinds.CallFailure.NOT_SENT))
        return
    if name in fabric.replaced_targets:
        mismatch = (targets.INSTANCE_MISMATCH_STATUS, b"{}")
        reply_later(lambda: targets.decode_reply(message, mismatch))
        return
    target = fabric.world.targets.get(name)
    if target is None or not target.up:
        return
    path, body = targets.encode_request(message)
    body = json.loads(msgspec.json.encode(body))
    is_start = isinstance(message, target_api.StartRun)
    if is_start and _happens(fabric, fabric.dropped_start_share):
        return
    muted = name in fabric.muted_targets or (
        is_start and _happens(fabric, fabric.lost_start_share)
    )

    def done(reply: platform_store.Reply) -> None:
        exchange = (reply[0], msgspec.json.encode(reply[1]))
        if not muted:
            reply_later(lambda: targets.decode_reply(message, exchange))

    boot_s, sent_s = target.born_s, fabric.now_s
    if fabric.random.random() < fabric.late_share:

        def serve_late() -> None:
            is_same = target.born_s == boot_s
            if target.up and (is_same or fabric.late_after_restarts):
                fabric.world.order_sent_s = sent_s
                target.serve(path, body, fabric.now_s, lambda reply: None)
                fabric.world.order_sent_s = None

        fabric.call_later(fabric.late_s, serve_late)
        return
    target.serve(path, body, fabric.now_s, done)


def _happens(fabric: Any, share: float) -> bool:
    """Draws whether a fault happens; a share of 0 leaves the draws alone."""
    return share > 0.0 and fabric.random.random() < share


def _call_peer(
    fabric: Any, name: str, message: Any, reply_later: Any, finish: Any
) -> None:
    instance = fabric.instances.get(name)
    if instance is None or not instance.up:
        if name in fabric.powered_machines:
            finish(Failure(kinds.CallFailure.NOT_SENT))
        return
    fabric.exchange(
        name,
        message,
        lambda reply: reply_later(lambda: Success(reply)),
        lambda: finish(Failure(kinds.CallFailure.LOST)),
    )


def _timeout_s(call: effects.Call) -> float:
    if isinstance(call.message, target_api.ListRuns):
        return targets.listing_timeout_s(call.message)
    if isinstance(call.message, store_api.Watch):
        return call.message.wait_s + store.WATCH_MARGIN_S
    return call.timeout_s
