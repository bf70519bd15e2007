"""The queue of admitted requests that wait for an executor."""

from dandelionpick import request_state
from dandelionpick import state as state_lib


def enqueue(state: state_lib.State, request: request_state.Request) -> None:
    """Queues a new request."""
    request.phase = request_state.Phase.QUEUED
    state.requests.queue.append(request.name())


def requeue(state: state_lib.State, request: request_state.Request) -> None:
    """Queues a request again, before those that came later."""
    request.phase = request_state.Phase.QUEUED
    request.current = None
    state.requests.queue.insert(0, request.name())


def withdraw(state: state_lib.State, request: request_state.Request) -> None:
    """Takes a request out of the queue, if it is there."""
    if request.phase is not request_state.Phase.QUEUED:
        return
    if request.name() in state.requests.queue:
        state.requests.queue.remove(request.name())
