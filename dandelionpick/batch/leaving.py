"""Graceful shutdown: resigns as the scheduler and exits when idle."""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick.batch import leadership
from dandelionpick.batch import open_requests
from dandelionpick.batch import state as state_lib

# The load balancer stops sending requests after two failed probes, one each
# second.
BALANCER_NOTICE_S = 2.5
# Time kept in reserve before the process is killed, in which open requests are
# answered, connections are closed, and the process exits.
KILL_MARGIN_S = 1.2


def request_shutdown(state: state_lib.State, step: dispatch.Step) -> None:
    """Begins the graceful shutdown: resigns, and is no longer ready."""
    if state.drain.requested_s is not None:
        return
    state.drain.requested_s = step.moment.now_s
    step.note(
        effects.Component.DRAIN,
        f"shutting down with {len(state.open_requests)} open requests",
    )
    leadership.resign(state, step)


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Exits once no request is open; refuses open ones just before the kill."""
    drain = state.drain
    if drain.requested_s is None or drain.exit_sent:
        return
    waited_s = step.moment.now_s - drain.requested_s
    out_of_time = waited_s >= state.limits.drain_s - KILL_MARGIN_S
    if out_of_time:
        for request in list(state.open_requests.values()):
            open_requests.refuse_store_unavailable(state, step, request)
    if waited_s >= BALANCER_NOTICE_S and not state.open_requests:
        drain.exit_sent = True
        step.note(effects.Component.DRAIN, f"exiting after {waited_s:.1f} s")
        step.emit(effects.Exit())
