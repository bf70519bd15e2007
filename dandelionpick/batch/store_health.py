"""Notices when the store stops serving this instance, and when it returns."""

from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import kinds
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api

# Shorter disturbances are not worth a log line.
NOTED_AFTER_S = 0.5


def note(
    state: state_lib.State,
    step: dispatch.Step,
    call: dispatch.PendingCall,
    reply: Any,
) -> None:
    """Takes note of the reply to a call, or None if there was none."""
    if call.destination.service is not kinds.Service.STORE:
        return
    health = state.store_health
    now_s = step.moment.now_s
    if reply is None or isinstance(reply, store_api.Refused):
        health.failed_s = now_s
        if health.failing_since_s == float("inf"):
            health.failing_since_s = now_s
            step.note(
                effects.Part.STORE,
                "a call failed:"
                f" {'no reply' if reply is None else reply.status}",
                warning=True,
            )
        return
    if now_s - health.failing_since_s > NOTED_AFTER_S:
        step.note(
            effects.Part.STORE,
            f"serves again after {now_s - health.failing_since_s:.1f} s",
        )
    health.failing_since_s = float("inf")
