"""Adds requests to the queue and removes them."""

from dandelionpick import lanes
from dandelionpick import request_state
from dandelionpick import state as state_lib


def enqueue(state: state_lib.State, request: request_state.Request) -> None:
    """Adds a new or retried request to the queue."""
    request.phase = request_state.Phase.QUEUED
    request.current_run = None
    lanes.enqueue(state, request.name(), request)


def withdraw(state: state_lib.State, request: request_state.Request) -> None:
    """Removes a request from the queue, if it is queued."""
    if request.phase is request_state.Phase.QUEUED:
        lanes.withdraw(state, request.name())
