"""Puts requests into the queue and takes them out."""

from dandelionpick import lanes
from dandelionpick import request_state
from dandelionpick import state as state_lib


def enqueue(state: state_lib.State, request: request_state.Request) -> None:
    """Queues a request, new or again."""
    request.phase = request_state.Phase.QUEUED
    request.current = None
    lanes.enqueue(state, request.name(), request)


def withdraw(state: state_lib.State, request: request_state.Request) -> None:
    """Takes a request out of the queue, if it is there."""
    if request.phase is request_state.Phase.QUEUED:
        lanes.withdraw(state, request.name())
