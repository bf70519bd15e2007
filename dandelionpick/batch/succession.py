"""Decides which instance succeeds the scheduler, and when it hands over.

Deployments mix weak and strong instances. The scheduler sends most of the
orders and reads most of the listings, so that a weak one is late at a crest.
The scheduler learns from the Monitor calls how strong the other instances are
and tells each its rank; a candidate of a later rank campaigns later. A
scheduler whose event loop stays late resigns if a stronger instance is known.
"""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import messages
from dandelionpick.batch import monitoring_state
from dandelionpick.batch import state as state_lib

# Each rank campaigns this much later: a tick, and the difference that the
# distance to the store makes.
RANK_DELAY_S = 0.2
# Bounds the delay if all stronger instances are gone.
MAX_RANK = 2
# An instance that has not called for this long, twice the wait of a call, is
# not counted as a candidate.
CANDIDATE_TTL_S = 6.0
# Strengths within this factor count as equal; the nearest to the store wins.
EQUAL_STRENGTH_FACTOR = 1.25
# A scheduler hands over if its event loop has been late for this share of the
# time, averaged over the period, and a successor is this many times as strong.
HANDOVER_LAG_SHARE = 0.5
LAG_AVERAGE_S = 4.0
HANDOVER_STRENGTH_FACTOR = 1.5
# A new scheduler keeps the role for at least this long; the takeover itself
# makes it busy.
MIN_TENURE_S = 12.0


def record_candidate(
    state: state_lib.State, message: messages.Monitor, now_s: float
) -> None:
    """Records that another instance monitors this scheduler."""
    state.monitoring.candidates[message.instance] = monitoring_state.Candidate(
        message.strength,
        now_s,
        message.region,
        message.address,
        message.store_rtt_s,
    )


def rank_of(
    state: state_lib.State, instance: ids.InstanceId, now_s: float
) -> int:
    """Returns how many known candidates are stronger, up to MAX_RANK."""
    candidates = state.monitoring.candidates
    own = candidates.get(instance)
    if own is None:
        return 0
    stronger = sum(
        other.strength > EQUAL_STRENGTH_FACTOR * own.strength
        for other in live_candidates(state, now_s).values()
    )
    return min(stronger, MAX_RANK)


def live_candidates(
    state: state_lib.State, now_s: float
) -> dict[ids.InstanceId, monitoring_state.Candidate]:
    """Returns the instances that have called recently."""
    candidates = state.monitoring.candidates
    for instance, candidate in list(candidates.items()):
        if now_s - candidate.called_s > CANDIDATE_TTL_S:
            del candidates[instance]
    return candidates


def campaign_delay_s(state: state_lib.State) -> float:
    """Returns how much later than the first rank this instance campaigns."""
    return RANK_DELAY_S * state.monitoring.rank


def record_lag(state: state_lib.State, step: dispatch.Step) -> None:
    """Updates the average share of time in which the event loop is late."""
    election = state.election
    moment = step.moment
    elapsed_s = moment.now_s - election.lag_recorded_s
    election.lag_recorded_s = moment.now_s
    if not 0.0 < elapsed_s < LAG_AVERAGE_S:
        return
    weight = elapsed_s / LAG_AVERAGE_S
    share = min(1.0, moment.lag_s / elapsed_s)
    election.lag_share += weight * (share - election.lag_share)


def should_hand_over(state: state_lib.State, now_s: float) -> bool:
    """Returns whether a stronger instance should become the scheduler."""
    election = state.election
    if (
        election.role is not state_lib.Role.LEADING
        or election.lag_share < HANDOVER_LAG_SHARE
        or now_s - election.elected_s < MIN_TENURE_S
    ):
        return False
    needed = HANDOVER_STRENGTH_FACTOR * state.identity.strength
    return any(
        candidate.strength >= needed
        for candidate in live_candidates(state, now_s).values()
    )


def note_handover(state: state_lib.State, step: dispatch.Step) -> None:
    """Logs why the scheduler hands over."""
    step.count("handovers_total")
    step.note(
        effects.Component.SCHEDULER,
        "handing over to a stronger instance: the event loop was late for"
        f" {state.election.lag_share:.0%} of the time",
        warning=True,
        strength=state.identity.strength,
        epoch=state.election.epoch,
    )
