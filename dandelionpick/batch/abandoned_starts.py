"""Keeps starts without a reply from taking effect after a restart.

A start without a reply may be carried out seconds later. The stop that the
target has confirmed keeps it from that, but is forgotten when the target
restarts. It is therefore repeated for each later incarnation. The same holds
for a start that was repeated: the first order may arrive after the run's end.
"""

import dataclasses
from typing import Any

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import fencing
from dandelionpick.batch import job_state
from dandelionpick.batch import orders
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import target_api

# A start is not carried out later than this after it was sent. Targets have
# carried out orders up to 12 s late.
MAX_LATE_S = 12.5
# Interval between listings of a target that runs nothing but may still carry
# out such a start, so that its restart is noticed.
LISTING_PERIOD_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonedStopContext:
    """Context of a call that stops a start that was given up."""

    epoch: ids.Epoch
    target: ids.TargetId


def record(target: schedule_state.Target, run: job_state.Run) -> None:
    """Records a run that is given up, if its start got no reply."""
    if run.unresolved_s < float("inf") and run.confirmed_s == float("inf"):
        record_order(target, run)


def record_order(target: schedule_state.Target, run: job_state.Run) -> None:
    """Records that an order to start a run may still be carried out."""
    target.abandoned_starts[run.task, run.attempt] = run.ordered_s


def has_any(target: schedule_state.Target, now_s: float) -> bool:
    """Returns whether a start that was given up may still take effect."""
    target.abandoned_starts = {
        key: sent_s
        for key, sent_s in target.abandoned_starts.items()
        if now_s - sent_s < MAX_LATE_S
    }
    return bool(target.abandoned_starts)


def stop_all(
    state: state_lib.State, step: dispatch.Step, target: schedule_state.Target
) -> None:
    """Stops the starts that were given up on an incarnation that is new."""
    schedule = state.schedule
    assert schedule is not None
    if not has_any(target, step.moment.now_s):
        return
    step.note(
        effects.Component.TARGETS,
        f"stopping {len(target.abandoned_starts)} starts that {target.id} may"
        " still carry out",
    )
    context = AbandonedStopContext(schedule.epoch, target.id)
    for task, attempt in target.abandoned_starts:
        dispatch.call(
            state,
            step,
            orders.destination(target),
            target_api.StopRun(target.id, schedule.epoch, task, attempt),
            context,
            orders.STOP_TIMEOUT_S,
        )


@dispatch.on_reply.register
def _(
    context: AbandonedStopContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    if fencing.is_fenced(reply):
        fencing.handle_fenced(state, step, context.epoch)


@dispatch.on_failure.register
def _(
    context: AbandonedStopContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    step.count("orders_total", "stop", failure.value)
    schedule = state.schedule
    target = schedule and schedule.targets.get(context.target)
    if target and schedule and schedule.epoch == context.epoch:
        # It is stopped again when the target is listed again.
        target.listed = False
