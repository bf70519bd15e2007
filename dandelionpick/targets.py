"""Queries executors that get no work, and expires records of targets."""

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

QUERY_PERIOD_S = 5.0
# Unreachable executors are queried more often, because if all of them are
# unreachable, nothing can start in this failure domain.
UNREACHABLE_QUERY_PERIOD_S = 1.0
RECORD_RETENTION_S = 60.0
# Id of a task that never starts, so the query has no effect on the executor.
NO_TASK = ids.TaskId("none")


@dataclasses.dataclass(frozen=True, slots=True)
class StateQueried:
    """Context of a query for an executor's own state."""

    target: ids.InstanceId


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Queries executors that get no work, and drops stale records."""
    now_s = step.moment.now_s
    for entry in membership.targets(state, kinds.Role.EXECUTOR):
        health = quarantine.health_of(state, entry.id)
        if now_s - health.queried_s >= query_period_s(state, entry.id):
            health.queried_s = now_s
            query(state, step, entry)
    drop_stale_records(state, now_s)


def query_period_s(state: state_lib.State, target: ids.InstanceId) -> float:
    """Returns the period of queries to an executor; infinite for none.

    A leaving executor may be restarted under its id, and one that the list
    lacks is kept only while it replies. The others reply to the work that they
    are sent.
    """
    if routing.is_unreachable(state, target):
        return UNREACHABLE_QUERY_PERIOD_S
    health = quarantine.health_of(state, target)
    if health.leaving or target in state.members.missing_since_s:
        return QUERY_PERIOD_S
    return float("inf")


def query(
    state: state_lib.State,
    step: dispatch.Step,
    entry: list_messages.InstanceEntry,
) -> None:
    """Queries an executor for its incarnation and whether it is leaving."""
    dispatch.call(
        state,
        step,
        effects.Destination(kinds.Service.EXECUTOR, entry.id, entry.address),
        executor_messages.QueryTask(NO_TASK),
        StateQueried(entry.id),
        state.limits.call_timeout_s,
    )


@dispatch.on_reply.register
def _(
    context: StateQueried,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    runs.record_reply(state, step, context.target, reply)


@dispatch.on_failure.register
def _(
    context: StateQueried,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    """Does nothing; the executor is queried again after its period."""


def drop_stale_records(state: state_lib.State, now_s: float) -> None:
    """Drops the records of targets that are no longer listed."""
    members = state.members
    loads = state.requests.load
    known = {*members.last_reply_s, *loads, *state.routing.health}
    for name in known - members.entries.keys():
        busy = name in loads and loads[name].running
        heard_s = members.last_reply_s.get(name, float("-inf"))
        if busy or now_s - heard_s <= RECORD_RETENTION_S:
            continue
        members.last_reply_s.pop(name, None)
        loads.pop(name, None)
        state.routing.health.pop(name, None)
        state.routing.quarantined.discard(name)
