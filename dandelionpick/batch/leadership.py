"""Elects the scheduler through a key in the store that is bound to a lease.

The revision of the key is the scheduler's epoch, which serves as a fencing
token: a target refuses orders of a lower epoch than the highest one that it
has seen. A former scheduler that still assumes that it holds the lease can
cause delays, but can't start anything on a target that its successor has
listed.
"""

import dataclasses
from typing import Any

import msgspec

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import succession
from dandelionpick.batch import takeover
from dandelionpick.batch import waiting
from dandelionpick.batch import watches
from dandelionpick.batch import watching

# Three renewals may be lost before the lease expires. A killed scheduler is
# detected within this time.
LEASE_TTL_S = 1.2
# Each candidate waits for this many times its shortest round trip to the store,
# so that candidates near the store campaign first.
CAMPAIGN_RTTS = 4.0
CAMPAIGN_JITTER_S = 0.03
CAMPAIGN_RETRY_S = 0.3
SCHEDULER_WATCH_S = 2.0

_record_decoder = msgspec.json.Decoder(state_lib.SchedulerRecord)


@dataclasses.dataclass(frozen=True, slots=True)
class GrantLeaseContext:
    """Context of the call that creates a lease for the scheduler's key."""

    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteKeyContext:
    """Context of the commit that writes the scheduler's key."""

    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ResignContext:
    """Context of the call that ends the scheduler's lease."""


def start(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts the watch of the scheduler's key."""
    watching.start(
        state,
        step,
        watches.SchedulerWatch(state_lib.SCHEDULER_KEY, SCHEDULER_WATCH_S),
    )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts a campaign that is due; steps down if another scheduler leads."""
    election = state.election
    now_s = step.moment.now_s
    succession.record_lag(state, step)
    if election.role is state_lib.Role.FOLLOWING:
        if (
            election.campaign_at_s is not None
            and now_s >= election.campaign_at_s
        ):
            _campaign(state, step)
    elif election.role is state_lib.Role.LEADING and election.fenced:
        step_down(state, step, "its epoch is over")
    elif succession.should_hand_over(state, now_s):
        succession.note_handover(state, step)
        hand_over(state, step)


def step_down(state: state_lib.State, step: dispatch.Step, reason: str) -> None:
    """Stops being the scheduler without contacting the store."""
    election = state.election
    if election.role is not state_lib.Role.LEADING:
        return
    step.note(
        effects.Component.SCHEDULER,
        f"stepped down in epoch {election.epoch}: {reason}",
        warning=True,
    )
    waiting.note_end(state, step, "stepped down")
    election.role = state_lib.Role.FOLLOWING
    election.lease = ids.LeaseId(0)
    takeover.abandon(state)
    if election.record is None:
        election.campaign_at_s = next_campaign_s(state, step)


def hand_over(state: state_lib.State, step: dispatch.Step) -> None:
    """Releases the scheduler's lease and stays a candidate of the last rank."""
    election = state.election
    step.note(
        effects.Component.SCHEDULER, f"handed over in epoch {election.epoch}"
    )
    waiting.note_end(state, step, "handed over")
    _release_lease(state, step)
    election.role = state_lib.Role.FOLLOWING
    election.lease = ids.LeaseId(0)
    state.monitoring.rank = succession.MAX_RANK


def resign(state: state_lib.State, step: dispatch.Step) -> None:
    """Releases the scheduler's lease before the process exits."""
    election = state.election
    if election.role is state_lib.Role.LEADING:
        step.note(
            effects.Component.SCHEDULER, f"resigned in epoch {election.epoch}"
        )
        waiting.note_end(state, step, "resigned")
        _release_lease(state, step)
    election.role = state_lib.Role.LEFT


def _release_lease(state: state_lib.State, step: dispatch.Step) -> None:
    takeover.abandon(state)
    state_lib.call_store(
        state,
        step,
        store_api.EndLease(state.election.lease),
        ResignContext(),
    )


def next_campaign_s(state: state_lib.State, step: dispatch.Step) -> float:
    """Returns the time at which this instance starts to campaign."""
    rtt_s = min(state.store_health.min_rtt_s, 0.1)
    delay_s = (
        CAMPAIGN_RTTS * rtt_s
        + CAMPAIGN_JITTER_S * step.moment.random_value
        + succession.campaign_delay_s(state)
    )
    return step.moment.now_s + delay_s


@watching.apply_item.register
def _(
    watch: watches.SchedulerWatch,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    if item.key != state_lib.SCHEDULER_KEY:
        return
    election = state.election
    try:
        election.record = _record_decoder.decode(item.value)
    except msgspec.DecodeError as error:
        step.note(
            effects.Component.SCHEDULER,
            f"unreadable scheduler key at revision {item.revision}: {error}",
            warning=True,
        )
        return
    election.record_epoch = ids.Epoch(item.revision)
    election.campaign_at_s = None
    if election.role is state_lib.Role.LEADING:
        if item.revision != election.epoch:
            step_down(state, step, f"epoch {item.revision} has begun")
        return
    if election.record.incarnation == state.incarnation:
        if election.role is state_lib.Role.ACQUIRING:
            _become_scheduler(
                state, step, ids.Epoch(item.revision), step.moment.now_s
            )
        return
    if election.record.instance == state.identity.instance:
        # An instance runs one process at a time, so that the process that
        # wrote the key has ended.
        election.replaces_revision = item.revision
        election.campaign_at_s = step.moment.now_s
        return
    election.replaces_revision = 0
    step.note(
        effects.Component.SCHEDULER,
        f"{election.record.instance} is the scheduler in epoch {item.revision}",
    )
    if election.role is state_lib.Role.ACQUIRING:
        election.role = state_lib.Role.FOLLOWING


@watching.apply_removal.register
def _(
    watch: watches.SchedulerWatch,
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
) -> None:
    if key != state_lib.SCHEDULER_KEY:
        return
    election = state.election
    election.record = None
    election.replaces_revision = 0
    step_down(state, step, "the scheduler's key was removed")
    if election.role is state_lib.Role.FOLLOWING:
        election.campaign_at_s = next_campaign_s(state, step)


@watching.apply_listed.register
def _(
    watch: watches.SchedulerWatch, state: state_lib.State, step: dispatch.Step
) -> None:
    election = state.election
    if state_lib.SCHEDULER_KEY in watch.revisions:
        return
    election.record = None
    step_down(state, step, "the scheduler's key does not exist")
    if (
        election.role is state_lib.Role.FOLLOWING
        and election.campaign_at_s is None
    ):
        election.campaign_at_s = next_campaign_s(state, step)


def _campaign(state: state_lib.State, step: dispatch.Step) -> None:
    election = state.election
    election.role = state_lib.Role.ACQUIRING
    election.campaign_at_s = None
    state_lib.call_store(
        state,
        step,
        store_api.GrantLease(LEASE_TTL_S),
        GrantLeaseContext(step.moment.now_s),
    )


def challenge(state: state_lib.State, step: dispatch.Step) -> None:
    """Schedules one campaign to replace the current holder of the key."""
    election = state.election
    election.replaces_revision = election.record_epoch
    election.campaign_at_s = next_campaign_s(state, step)


def _own_instance_holds_key(state: state_lib.State) -> bool:
    """Returns whether an earlier process of this instance wrote the key."""
    record = state.election.record
    return record is not None and record.instance == state.identity.instance


def _abort_campaign(state: state_lib.State, step: dispatch.Step) -> None:
    """Ends the campaign; schedules another if no other instance has won."""
    election = state.election
    if election.role is state_lib.Role.ACQUIRING:
        election.role = state_lib.Role.FOLLOWING
    if not _own_instance_holds_key(state):
        election.replaces_revision = 0
    if election.role is state_lib.Role.FOLLOWING and (
        not election.record or election.replaces_revision
    ):
        delay_s = CAMPAIGN_RETRY_S * (0.5 + step.moment.random_value)
        election.campaign_at_s = step.moment.now_s + delay_s


@dispatch.on_reply.register
def _(
    context: GrantLeaseContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    election = state.election
    if election.role is not state_lib.Role.ACQUIRING:
        return
    if not isinstance(reply, store_api.LeaseHeld):
        _abort_campaign(state, step)
        return
    election.lease = reply.lease
    record = state_lib.SchedulerRecord(
        state.identity.instance,
        state.incarnation,
        state.identity.peer_address,
    )
    commit = store_api.Commit(
        (
            store_api.Condition(
                state_lib.SCHEDULER_KEY, state.election.replaces_revision
            ),
        ),
        (
            store_api.Write(
                state_lib.SCHEDULER_KEY,
                msgspec.json.encode(record),
                reply.lease,
            ),
        ),
    )
    state_lib.call_store(
        state, step, commit, WriteKeyContext(step.moment.now_s)
    )


@dispatch.on_failure.register
def _(
    context: GrantLeaseContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    _abort_campaign(state, step)


@dispatch.on_reply.register
def _(
    context: WriteKeyContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    if state.election.role is not state_lib.Role.ACQUIRING:
        return
    if isinstance(reply, store_api.Committed):
        _become_scheduler(
            state, step, ids.Epoch(reply.revision), context.sent_s
        )
        return
    _abort_campaign(state, step)


@dispatch.on_failure.register
def _(
    context: WriteKeyContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    # If the write took effect, the watch delivers the key with our incarnation,
    # but half of the lease may have passed by then; a new campaign is simpler.
    _abort_campaign(state, step)


def _become_scheduler(
    state: state_lib.State,
    step: dispatch.Step,
    epoch: ids.Epoch,
    renewed_s: float,
) -> None:
    election = state.election
    election.role = state_lib.Role.LEADING
    if election.replaces_revision:
        state.monitoring.last_replaced_s = step.moment.now_s
    election.epoch = epoch
    election.campaign_at_s = None
    election.record_epoch = epoch
    election.record = state_lib.SchedulerRecord(
        state.identity.instance, state.incarnation, state.identity.peer_address
    )
    election.acquired_s = renewed_s
    election.renewed_s = renewed_s
    election.elected_s = step.moment.now_s
    election.lag_share = 0.0
    state.monitoring.candidates.clear()
    # The scheduler decides by the configuration, so it reads the original.
    state.catalog.source = ""
    election.renew_at_s = 0.0
    election.renewal_pending = False
    election.refusals = 0
    election.fenced = False
    election.unverified = False
    step.count("takeovers_total")
    step.note(
        effects.Component.SCHEDULER, f"became the scheduler in epoch {epoch}"
    )
    takeover.begin(state, step, epoch)


@dispatch.on_reply.register
def _(
    context: ResignContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    step.note(effects.Component.SCHEDULER, "the store ended the lease")


@dispatch.on_failure.register
def _(
    context: ResignContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    step.note(
        effects.Component.SCHEDULER,
        "the lease could not be ended; it expires by itself",
    )
