"""Chooses the executor for a request."""

from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import membership
from dandelionpick import request_state
from dandelionpick import state as state_lib


def load_of(
    state: state_lib.State, entry: list_messages.InstanceEntry
) -> request_state.TargetLoad:
    """Returns the load record of an executor, new if there is none."""
    load = state.requests.load.get(entry.id)
    if load is None:
        load = request_state.TargetLoad(free_slots=entry.slots)
        state.requests.load[entry.id] = load
    return load


def usable_executors(
    state: state_lib.State, now_s: float
) -> list[list_messages.InstanceEntry]:
    """Returns the executors that may take a task now."""
    usable = []
    for entry in membership.targets(state, kinds.Role.EXECUTOR):
        load = load_of(state, entry)
        if entry.state is kinds.Liveness.LEAVING or load.leaving:
            continue
        if load.running >= entry.slots or now_s < load.busy_until_s:
            continue
        usable.append(entry)
    return usable


def choose_executor(
    state: state_lib.State,
    request: request_state.Request,
    now_s: float,
    draw: float,
) -> list_messages.InstanceEntry | None:
    """Returns the less loaded of two random executors, or None.

    Executors that already failed the request are used only if no other is
    usable.
    """
    usable = usable_executors(state, now_s)
    fresh = [entry for entry in usable if entry.id not in request.tried]
    candidates = fresh or usable
    if not candidates:
        return None
    size = len(candidates)
    first = int(draw * size)
    second = (first + 1 + int(draw * 1_000_003) % max(1, size - 1)) % size
    pair = (candidates[first], candidates[second])
    return min(
        pair,
        key=lambda entry: (
            state.requests.load[entry.id].running,
            -state.requests.load[entry.id].free_slots,
        ),
    )
