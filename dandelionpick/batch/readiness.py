"""Readiness check for the load balancer."""

from dandelionpick.batch import admission
from dandelionpick.batch import state as state_lib


def reason_not_ready(state: state_lib.State, now_s: float) -> str:
    """Returns why this instance should get no requests, or "" if it should."""
    if state.drain.requested_s is not None:
        return "leaving"
    if state.catalog.current is None:
        return "no configuration"
    if not admission.is_fresh(state, now_s):
        return "the store does not confirm the configuration"
    return ""
