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
# Requests may still arrive on open connections once the exit was decided. They
# are answered after this time at the latest; the server ends those that are
# open 0.4 s after it has begun to close, without a usable answer.
CLOSING_S = 0.2


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
    """Exits once no request is open; refuses those for which no time is left.

    Ticks go on until the process has ended.
    """
    drain = state.drain
    now_s = step.moment.now_s
    if drain.requested_s is None:
        return
    waited_s = now_s - drain.requested_s
    out_of_time = waited_s >= state.limits.drain_s - KILL_MARGIN_S
    if drain.exit_sent_s is not None:
        out_of_time = now_s - drain.exit_sent_s >= CLOSING_S
    if out_of_time:
        for request in list(state.open_requests.values()):
            open_requests.refuse_store_unavailable(state, step, request)
    if (
        drain.exit_sent_s is None
        and waited_s >= BALANCER_NOTICE_S
        and not state.open_requests
    ):
        drain.exit_sent_s = now_s
        step.note(effects.Component.DRAIN, f"exiting after {waited_s:.1f} s")
        step.emit(effects.Exit())
