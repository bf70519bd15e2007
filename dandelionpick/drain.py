"""Planned stop: leave, finish what is in progress, exit in bounded time."""

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
    """Registers work that must be handed over before the exit.

    Args:
        hand_over: called on each tick of a planned stop; returns whether
            nothing is left to hand over.
    """
    _hand_overs.append(hand_over)
    return hand_over


def request(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts a planned stop and tells all peers at once."""
    if state.drain.requested_s is not None:
        return
    state.drain.requested_s = step.moment.now_s
    step.note(effects.Part.DRAIN, "planned stop requested")
    membership.send_heartbeats(state, step, state.members.peers.values())


def is_requested(state: state_lib.State) -> bool:
    """Returns whether a planned stop is under way."""
    return state.drain.requested_s is not None


def refuses_new_work(state: state_lib.State, now_s: float) -> bool:
    """Returns whether the notice period of a planned stop is over."""
    requested_s = state.drain.requested_s
    if requested_s is None:
        return False
    return now_s - requested_s >= state.limits.drain_notice_s


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Exits when nothing is in progress, or when the time limit is reached."""
    if state.drain.exit_sent or not is_requested(state):
        return
    now_s = step.moment.now_s
    handed_over = hand_over_all(state, step)
    late = now_s - state.drain.requested_s >= state.limits.drain_limit_s
    left = requests_left(state)
    done = refuses_new_work(state, now_s) and handed_over and not left
    if not done and not late:
        return
    end_rest(state, step, left)
    state.drain.exit_sent = True
    step.emit(effects.Exit())


def hand_over_all(state: state_lib.State, step: dispatch.Step) -> bool:
    """Lets every module hand over, and tells whether all have finished."""
    finished = [hand_over(state, step) for hand_over in _hand_overs]
    return all(finished)


def requests_left(state: state_lib.State) -> list[request_state.Request]:
    """Returns the requests without an answer."""
    return list(state.requests.unanswered.values())


def end_rest(
    state: state_lib.State,
    step: dispatch.Step,
    left: list[request_state.Request],
) -> None:
    """Answers what is still in progress when the time limit is reached."""
    step.note(
        effects.Part.DRAIN,
        f"exiting with {len(left)} requests in progress",
        warning=bool(left),
    )
    for pending in left:
        outcomes.end_without_result(state, step, pending, problems.leaving())
