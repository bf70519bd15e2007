"""Election of the scheduler: a key in the store that a lease keeps alive.

The revision of the key is the scheduler's epoch. Targets obey no lower epoch
than they have seen, so an earlier scheduler that still believes in its lease
can cost time, but can't start anything on a target that the new one has read.
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
from dandelionpick.batch import takeover
from dandelionpick.batch import watches
from dandelionpick.batch import watching

# Three renewals may be lost before the lease ends; a killed scheduler is
# noticed within this time.
LEASE_TTL_S = 1.2
# Candidates near the store come first: each waits this many times its
# shortest round trip.
CAMPAIGN_RTTS = 4.0
CAMPAIGN_JITTER_S = 0.03
CAMPAIGN_RETRY_S = 0.3
SCHEDULER_WATCH_S = 2.0

_record_decoder = msgspec.json.Decoder(state_lib.SchedulerRecord)


@dataclasses.dataclass(frozen=True, slots=True)
class GrantContext:
    """A lease for the scheduler's key."""

    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AcquireContext:
    """The scheduler's key is written."""

    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ResignContext:
    """The scheduler's lease is ended."""


def start(state: state_lib.State, step: dispatch.Step) -> None:
    """Begins to follow who the scheduler is."""
    watching.start(
        state,
        step,
        watches.SchedulerWatch(state_lib.SCHEDULER, SCHEDULER_WATCH_S),
    )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Campaigns if there is no scheduler; steps down if it was replaced."""
    authority = state.authority
    now_s = step.moment.now_s
    if authority.role is state_lib.Role.FOLLOWING:
        if authority.campaign_s is not None and now_s >= authority.campaign_s:
            _campaign(state, step)
    elif authority.role is state_lib.Role.LEADING and authority.fenced:
        step_down(state, step, "a target has seen a higher epoch")


def step_down(state: state_lib.State, step: dispatch.Step, reason: str) -> None:
    """Stops being the scheduler, without a word to the store."""
    authority = state.authority
    if authority.role is not state_lib.Role.LEADING:
        return
    step.note(
        effects.Part.SCHEDULER,
        f"stepped down in epoch {authority.epoch}: {reason}",
        warning=True,
    )
    authority.role = state_lib.Role.FOLLOWING
    authority.lease = ids.LeaseId(0)
    takeover.abandon(state)
    if authority.record is None:
        authority.campaign_s = now_plus_delay(state, step)


def resign(state: state_lib.State, step: dispatch.Step) -> None:
    """Gives the role up before the process exits."""
    authority = state.authority
    if authority.role is state_lib.Role.LEADING:
        step.note(
            effects.Part.SCHEDULER, f"resigned in epoch {authority.epoch}"
        )
        takeover.abandon(state)
        state_lib.call_store(
            state, step, store_api.EndLease(authority.lease), ResignContext()
        )
    authority.role = state_lib.Role.LEFT


def now_plus_delay(state: state_lib.State, step: dispatch.Step) -> float:
    """Returns when this instance becomes a candidate."""
    rtt_s = min(state.store_health.best_rtt_s, 0.1)
    delay_s = CAMPAIGN_RTTS * rtt_s + CAMPAIGN_JITTER_S * step.moment.draw
    return step.moment.now_s + delay_s


@watching.apply_item.register
def _(
    watch: watches.SchedulerWatch,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    if item.key != state_lib.SCHEDULER:
        return
    authority = state.authority
    try:
        authority.record = _record_decoder.decode(item.value)
    except msgspec.DecodeError as error:
        step.note(
            effects.Part.SCHEDULER,
            f"unreadable scheduler key at revision {item.revision}: {error}",
            warning=True,
        )
        return
    authority.record_epoch = ids.Epoch(item.revision)
    authority.campaign_s = None
    if authority.role is state_lib.Role.LEADING:
        if item.revision != authority.epoch:
            step_down(state, step, f"epoch {item.revision} has begun")
        return
    if authority.record.incarnation == state.incarnation:
        if authority.role is state_lib.Role.ACQUIRING:
            _lead(state, step, ids.Epoch(item.revision), step.moment.now_s)
        return
    if authority.record.instance == state.identity.instance:
        # An instance runs one process, so that the last one has ended.
        authority.replaces = item.revision
        authority.campaign_s = step.moment.now_s
        return
    authority.replaces = 0
    step.note(
        effects.Part.SCHEDULER,
        f"{authority.record.instance} is the scheduler in epoch"
        f" {item.revision}",
    )
    if authority.role is state_lib.Role.ACQUIRING:
        authority.role = state_lib.Role.FOLLOWING


@watching.apply_removal.register
def _(
    watch: watches.SchedulerWatch,
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
) -> None:
    if key != state_lib.SCHEDULER:
        return
    authority = state.authority
    authority.record = None
    authority.replaces = 0
    step_down(state, step, "the scheduler's key was removed")
    if authority.role is state_lib.Role.FOLLOWING:
        authority.campaign_s = now_plus_delay(state, step)


@watching.apply_listed.register
def _(
    watch: watches.SchedulerWatch, state: state_lib.State, step: dispatch.Step
) -> None:
    authority = state.authority
    if state_lib.SCHEDULER in watch.known:
        return
    authority.record = None
    step_down(state, step, "the scheduler's key does not exist")
    if (
        authority.role is state_lib.Role.FOLLOWING
        and authority.campaign_s is None
    ):
        authority.campaign_s = now_plus_delay(state, step)


def _campaign(state: state_lib.State, step: dispatch.Step) -> None:
    authority = state.authority
    authority.role = state_lib.Role.ACQUIRING
    authority.campaign_s = None
    state_lib.call_store(
        state,
        step,
        store_api.GrantLease(LEASE_TTL_S),
        GrantContext(step.moment.now_s),
    )


def challenge(state: state_lib.State, step: dispatch.Step) -> None:
    """Becomes a candidate once although another instance holds the key."""
    authority = state.authority
    authority.replaces = authority.record_epoch
    authority.campaign_s = now_plus_delay(state, step)


def _holds_own_key(state: state_lib.State) -> bool:
    """Returns whether the key is that of this instance's last process."""
    record = state.authority.record
    return record is not None and record.instance == state.identity.instance


def _give_up(state: state_lib.State, step: dispatch.Step) -> None:
    """Becomes a candidate again later if nobody else has won."""
    authority = state.authority
    if authority.role is state_lib.Role.ACQUIRING:
        authority.role = state_lib.Role.FOLLOWING
    if not _holds_own_key(state):
        authority.replaces = 0
    if authority.role is state_lib.Role.FOLLOWING and (
        not authority.record or authority.replaces
    ):
        delay_s = CAMPAIGN_RETRY_S * (0.5 + step.moment.draw)
        authority.campaign_s = step.moment.now_s + delay_s


@dispatch.returned.register
def _(
    context: GrantContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    authority = state.authority
    if authority.role is not state_lib.Role.ACQUIRING:
        return
    if not isinstance(reply, store_api.LeaseHeld):
        _give_up(state, step)
        return
    authority.lease = reply.lease
    record = state_lib.SchedulerRecord(
        state.identity.instance,
        state.incarnation,
        state.identity.peer_address,
    )
    commit = store_api.Commit(
        (store_api.Condition(state_lib.SCHEDULER, state.authority.replaces),),
        (
            store_api.Write(
                state_lib.SCHEDULER, msgspec.json.encode(record), reply.lease
            ),
        ),
    )
    state_lib.call_store(state, step, commit, AcquireContext(step.moment.now_s))


@dispatch.failed.register
def _(
    context: GrantContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    _give_up(state, step)


@dispatch.returned.register
def _(
    context: AcquireContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    if state.authority.role is not state_lib.Role.ACQUIRING:
        return
    if isinstance(reply, store_api.Committed):
        _lead(state, step, ids.Epoch(reply.revision), context.sent_s)
        return
    _give_up(state, step)


@dispatch.failed.register
def _(
    context: AcquireContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    # If the write took effect, the watch shows the key with our incarnation,
    # but the lease may be half over by then; a new attempt is simpler.
    _give_up(state, step)


def _lead(
    state: state_lib.State,
    step: dispatch.Step,
    epoch: ids.Epoch,
    kept_s: float,
) -> None:
    authority = state.authority
    authority.role = state_lib.Role.LEADING
    if authority.replaces:
        state.monitoring.replaced_s = step.moment.now_s
    authority.epoch = epoch
    authority.campaign_s = None
    authority.record_epoch = epoch
    authority.record = state_lib.SchedulerRecord(
        state.identity.instance, state.incarnation, state.identity.peer_address
    )
    authority.kept_s = kept_s
    authority.keep_at_s = 0.0
    authority.keep_pending = False
    authority.refusals = 0
    authority.fenced = False
    step.count("takeovers_total")
    step.note(effects.Part.SCHEDULER, f"became the scheduler in epoch {epoch}")
    takeover.begin(state, step, epoch)


@dispatch.returned.register
def _(
    context: ResignContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    step.note(effects.Part.SCHEDULER, "the store has ended the lease")


@dispatch.failed.register
def _(
    context: ResignContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    step.note(
        effects.Part.SCHEDULER, "the lease could not be ended; it will expire"
    )
