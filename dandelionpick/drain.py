"""Planned stop: leave, finish what is in progress, exit."""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import membership
from dandelionpick import state as state_lib


def request(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts a planned stop and tells the peers at once."""
    if state.drain.requested_s is not None:
        return
    state.drain.requested_s = step.moment.now_s
    step.note(effects.Part.DRAIN, "planned stop requested")
    membership.send_heartbeats(state, step)


def refuses_new_work(state: state_lib.State, now_s: float) -> bool:
    """Tells whether the notice period of a planned stop is over."""
    requested_s = state.drain.requested_s
    if requested_s is None:
        return False
    return now_s - requested_s >= state.limits.drain_notice_s


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Exits when the notice period is over and no request is in progress."""
    if state.drain.exit_sent:
        return
    if not refuses_new_work(state, step.moment.now_s):
        return
    if any(r.answer is None for r in state.requests.by_name.values()):
        return
    if state.edits.queue or state.edits.accepted:
        return
    state.drain.exit_sent = True
    step.note(effects.Part.DRAIN, "no request in progress, exiting")
    step.emit(effects.Exit())
