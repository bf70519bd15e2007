"""Detects that a target has seen a higher epoch."""

from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import target_api


def is_fenced(reply: Any) -> bool:
    """Returns whether a target refused an order because of its epoch."""
    return (
        isinstance(reply, target_api.Rejected)
        and reply.problem is target_api.OrderProblem.FENCED
    )


def handle_fenced(
    state: state_lib.State, step: dispatch.Step, epoch: ids.Epoch
) -> None:
    """Stops sending orders, because another instance is the scheduler."""
    election = state.election
    if election.role is not state_lib.Role.LEADING or election.epoch != epoch:
        return
    step.note(
        effects.Component.SCHEDULER,
        f"a target refused epoch {epoch}; another scheduler has taken over",
        warning=True,
    )
    election.fenced = True
