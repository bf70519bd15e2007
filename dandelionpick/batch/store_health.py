"""Detects when the store stops serving this instance, and when it recovers."""

from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import kinds
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api

# The recovery from a shorter outage is not logged.
MIN_LOGGED_OUTAGE_S = 0.5

# Replies that the store does not delay, unlike those to watches.
PROMPT_REPLIES = (
    store_api.Item,
    store_api.Listed,
    store_api.Committed,
    store_api.Conflict,
    store_api.LeaseHeld,
)


def record_reply(
    state: state_lib.State,
    step: dispatch.Step,
    call: dispatch.PendingCall,
    reply: Any,
) -> None:
    """Updates the store's health after a call.

    Args:
        state: the reducer's state.
        step: the current step.
        call: the call that has ended; ignored unless it went to the store.
        reply: the reply, or None if there was none.
    """
    if call.destination.service is not kinds.Service.STORE:
        return
    health = state.store_health
    now_s = step.moment.now_s
    if reply is None or isinstance(reply, store_api.Refused):
        health.last_failure_s = now_s
        if health.failing_since_s == float("inf"):
            health.failing_since_s = now_s
            step.note(
                effects.Component.STORE,
                "a call failed:"
                f" {'no reply' if reply is None else reply.status}",
                warning=True,
            )
        return
    if isinstance(reply, PROMPT_REPLIES):
        health.min_rtt_s = min(health.min_rtt_s, now_s - call.sent_s)
    if now_s - health.failing_since_s > MIN_LOGGED_OUTAGE_S:
        step.note(
            effects.Component.STORE,
            f"serves again after {now_s - health.failing_since_s:.1f} s",
        )
    health.failing_since_s = float("inf")
