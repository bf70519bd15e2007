"""Keeps the records of executors, and asks those that nothing is sent to."""

import dataclasses

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import membership
from dandelionpick import quarantine
from dandelionpick import routing
from dandelionpick import runs
from dandelionpick import state as state_lib

ASK_PERIOD_S = 5.0
# Unreachable executors are asked more often, because they may all be, and
# then nothing can start in this failure domain.
UNREACHABLE_PERIOD_S = 1.0
FORGET_S = 60.0
# Never started, so that the query changes nothing on the executor.
NO_TASK = ids.TaskId("none")


@dataclasses.dataclass(frozen=True, slots=True)
class StateAsked:
    """Context of a query for an executor's own state."""

    target: ids.InstanceId


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Asks executors that are not sent work, and drops old records."""
    now_s = step.moment.now_s
    for entry in membership.targets(state, kinds.Role.EXECUTOR):
        health = quarantine.health_of(state, entry.id)
        if now_s - health.asked_s >= period_s(state, entry.id):
            health.asked_s = now_s
            ask(state, step, entry)
    forget(state, now_s)


def period_s(state: state_lib.State, target: ids.InstanceId) -> float:
    """Returns how often an executor is asked for its state.

    One that leaves may be restarted under its id, and one that the list lacks
    stays known only while it replies. The others reply to work.
    """
    if routing.is_unreachable(state, target):
        return UNREACHABLE_PERIOD_S
    health = quarantine.health_of(state, target)
    if health.leaving or target in state.members.missing:
        return ASK_PERIOD_S
    return float("inf")


def ask(
    state: state_lib.State,
    step: dispatch.Step,
    entry: list_messages.InstanceEntry,
) -> None:
    """Queries an executor for its incarnation and whether it leaves."""
    dispatch.call(
        state,
        step,
        effects.Destination(kinds.Service.EXECUTOR, entry.id, entry.address),
        executor_messages.QueryTask(NO_TASK),
        StateAsked(entry.id),
        state.limits.call_timeout_s,
    )


@dispatch.returned.register
def _(
    context: StateAsked,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    runs.heard(state, step, context.target, reply)


@dispatch.failed.register
def _(
    context: StateAsked,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    """Does nothing: the executor is asked again after its period."""


def forget(state: state_lib.State, now_s: float) -> None:
    """Drops the records of targets that are gone."""
    members = state.members
    loads = state.requests.load
    known = {*members.heard, *loads, *state.routing.health}
    for name in known - members.entries.keys():
        busy = name in loads and loads[name].running
        heard_s = members.heard.get(name, float("-inf"))
        if busy or now_s - heard_s <= FORGET_S:
            continue
        members.heard.pop(name, None)
        loads.pop(name, None)
        state.routing.health.pop(name, None)
        state.routing.quarantined.discard(name)
