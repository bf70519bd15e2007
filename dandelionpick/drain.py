"""Graceful shutdown: leaves, finishes open work, exits in bounded time."""

from collections.abc import Callable

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import membership
from dandelionpick import outcomes
from dandelionpick import problems
from dandelionpick import request_state
from dandelionpick import state as state_lib

HandOver = Callable[[state_lib.State, dispatch.Step], bool]

_hand_overs: list[HandOver] = []


def on_leaving(hand_over: HandOver) -> HandOver:
    """Registers a callback that hands work over before the exit.

    Args:
        hand_over: called on each tick of a graceful shutdown; returns whether
            nothing is left to hand over.
    """
    _hand_overs.append(hand_over)
    return hand_over


def request(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts a graceful shutdown and notifies all peers at once."""
    if state.drain.requested_s is not None:
        return
    state.drain.requested_s = step.moment.now_s
    step.note(effects.Component.DRAIN, "graceful shutdown requested")
    membership.send_heartbeats(state, step, state.members.peers.values())


def is_requested(state: state_lib.State) -> bool:
    """Returns whether a graceful shutdown has begun."""
    return state.drain.requested_s is not None


def refuses_new_work(state: state_lib.State, now_s: float) -> bool:
    """Returns whether a graceful shutdown's notice period has ended."""
    requested_s = state.drain.requested_s
    if requested_s is None:
        return False
    return now_s - requested_s >= state.limits.drain_notice_s


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Exits when no work is in progress or the time limit is reached."""
    if state.drain.exit_sent or not is_requested(state):
        return
    now_s = step.moment.now_s
    handed_over = hand_over_all(state, step)
    limit_reached = (
        now_s - state.drain.requested_s >= state.limits.drain_limit_s
    )
    unanswered = unanswered_requests(state)
    done = refuses_new_work(state, now_s) and handed_over and not unanswered
    if not done and not limit_reached:
        return
    answer_unfinished(state, step, unanswered)
    state.drain.exit_sent = True
    step.emit(effects.Exit())


def hand_over_all(state: state_lib.State, step: dispatch.Step) -> bool:
    """Calls every hand-over callback; returns whether all have finished."""
    finished = [hand_over(state, step) for hand_over in _hand_overs]
    return all(finished)


def unanswered_requests(state: state_lib.State) -> list[request_state.Request]:
    """Returns the requests without an answer."""
    return list(state.requests.unanswered.values())


def answer_unfinished(
    state: state_lib.State,
    step: dispatch.Step,
    unanswered: list[request_state.Request],
) -> None:
    """Ends the requests that are still in progress at the time limit."""
    step.note(
        effects.Component.DRAIN,
        f"exiting with {len(unanswered)} requests in progress",
        warning=bool(unanswered),
    )
    for unfinished in unanswered:
        outcomes.end_without_result(state, step, unfinished, problems.leaving())
