"""Stores what was learnt about run times, so that it survives a takeover.

Nothing waits for it: a scheduler that has not read it, or can't, expects run
times by what it has seen itself. Only the scheduler writes it, so that a copy
that is written late is replaced by the next one.
"""

import dataclasses
from typing import Annotated
from typing import Any

import msgspec

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import run_time_groups
from dandelionpick.batch import schedule_state
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api

VERSION = 1
# A copy of the groups of a usual deployment takes about 20 KB. The store may be
# behind a narrow link between regions.
MAX_BYTES = 32_768
MAX_STORED_GROUPS = 96
# Shortest interval between two writes, or between two tries to read.
PERIOD_S = 5.0
WEIGHT_DIGITS = 2

Weight = Annotated[float, msgspec.Meta(gt=0, le=run_time_groups.MAX_WEIGHT)]
MeanError = Annotated[float, msgspec.Meta(ge=0, le=run_time_groups.MAX_ERROR)]
ErrorWeight = Annotated[
    int, msgspec.Meta(ge=1, le=run_time_groups.ERROR_WINDOW)
]
Key = Annotated[
    int,
    msgspec.Meta(
        ge=run_time_groups.key_of(run_time_groups.MIN_VALUE),
        le=run_time_groups.key_of(run_time_groups.MAX_VALUE),
    ),
]
Bins = tuple[tuple[Key, Weight], ...]


class StoredDistribution(msgspec.Struct, array_like=True, frozen=True):
    """The weights of a distribution, by bin."""

    ended: Bins = ()
    censored: Bins = ()


class StoredGroup(msgspec.Struct, array_like=True, frozen=True):
    """A group, and the errors of its two predictors."""

    queue: ids.QueueName
    organisation: str
    shape: str
    times: StoredDistribution
    ratios: StoredDistribution
    time_error: tuple[MeanError, ErrorWeight]
    estimate_error: tuple[MeanError, ErrorWeight]


class StoredRunTimes(msgspec.Struct, frozen=True):
    """The largest groups."""

    version: int
    groups: tuple[StoredGroup, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RunTimesContext:
    """Context of a read or a write of the learnt run times."""

    epoch: ids.Epoch


class _Head(msgspec.Struct):
    version: int


def read(state: state_lib.State, step: dispatch.Step) -> None:
    """Reads what an earlier scheduler has learnt."""
    schedule = state.schedule
    if schedule is None or not schedule.features.learn_run_times:
        return
    _call(state, step, schedule, store_api.Read(state_lib.RUN_TIMES_KEY))


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Writes what was learnt, if that has changed."""
    schedule = state.schedule
    if (
        schedule is None
        or not schedule.features.learn_run_times
        or schedule.stage is not stages.Stage.READY
    ):
        return
    learnt = schedule.run_times
    if learnt.is_pending or step.moment.now_s < learnt.call_at_s:
        return
    if not learnt.is_read:
        read(state, step)
    elif learnt.changed:
        learnt.changed = False
        commit = store_api.Commit(
            (store_api.Condition(state_lib.SCHEDULER_KEY, schedule.epoch),),
            (store_api.Write(state_lib.RUN_TIMES_KEY, encode(learnt)),),
        )
        _call(state, step, schedule, commit)


def _call(
    state: state_lib.State,
    step: dispatch.Step,
    schedule: schedule_state.Schedule,
    message: Any,
) -> None:
    schedule.run_times.is_pending = True
    schedule.run_times.call_at_s = step.moment.now_s + PERIOD_S
    context = RunTimesContext(schedule.epoch)
    state_lib.call_store(state, step, message, context)


def encode(learnt: run_time_groups.RunTimes) -> bytes:
    """Encodes as many groups as may be stored, those of most runs first."""
    ordered = sorted(
        learnt.groups.items(), key=lambda item: (-item[1].weight, item[0])
    )
    left = MAX_BYTES - len(msgspec.json.encode(StoredRunTimes(VERSION)))
    stored = []
    for key, group in ordered[:MAX_STORED_GROUPS]:
        item = _stored(key, group)
        left -= len(msgspec.json.encode(item)) + len(",")
        if left < 0:
            break
        stored.append(item)
    return msgspec.json.encode(StoredRunTimes(VERSION, tuple(stored)))


def _stored(
    key: run_time_groups.GroupKey, group: run_time_groups.Group
) -> StoredGroup:
    return StoredGroup(
        *key,
        _stored_distribution(group.times),
        _stored_distribution(group.ratios),
        *(
            (round(error.mean, 3), error.weight)
            for error in (group.time_error, group.estimate_error)
        ),
    )


def _stored_distribution(
    distribution: run_time_groups.Distribution,
) -> StoredDistribution:
    return StoredDistribution(
        *(
            tuple(
                (key, round(weight, WEIGHT_DIGITS))
                for key, weight in run_time_groups.bins_of(store)
                if weight >= 0.1**WEIGHT_DIGITS
            )
            for store in (distribution.ended, distribution.censored)
        )
    )


@dispatch.on_reply.register
def _(
    context: RunTimesContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    schedule = state.schedule
    if schedule is None or schedule.epoch != context.epoch:
        return
    schedule.run_times.is_pending = False
    if isinstance(reply, store_api.Item):
        _apply_item(schedule.run_times, step, reply)
    elif not isinstance(reply, store_api.Committed):
        # The same or more is written with the next try.
        schedule.run_times.changed = True


@dispatch.on_failure.register
def _(
    context: RunTimesContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    schedule = state.schedule
    if schedule is not None and schedule.epoch == context.epoch:
        schedule.run_times.is_pending = False
        schedule.run_times.changed = True


def _apply_item(
    learnt: run_time_groups.RunTimes,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    """Adds what was read to what was learnt meanwhile."""
    learnt.is_read = True
    if not item.revision:
        return
    problem = ""
    try:
        if len(item.value) > MAX_BYTES:
            problem = f"{len(item.value)} bytes are too many"
        elif (
            version := msgspec.json.decode(item.value, type=_Head).version
        ) != VERSION:
            problem = f"its version is {version}"
        else:
            stored = msgspec.json.decode(item.value, type=StoredRunTimes)
    except msgspec.DecodeError as error:
        problem = str(error)
    if problem:
        step.note(
            effects.Component.SCHEDULER,
            f"ignored the stored run times: {problem}",
            warning=True,
        )
        return
    for group in stored.groups[: run_time_groups.MAX_GROUPS]:
        _add_stored(learnt, group)
    learnt.forget_predictions()
    step.note(
        effects.Component.SCHEDULER,
        f"read the run times of {len(stored.groups)} groups",
    )


def _add_stored(learnt: run_time_groups.RunTimes, stored: StoredGroup) -> None:
    key = run_time_groups.GroupKey(
        stored.queue, stored.organisation, stored.shape
    )
    group = learnt.group(key)
    for distribution, bins in (
        (group.times, stored.times),
        (group.ratios, stored.ratios),
    ):
        for complete in (True, False):
            for number, weight in bins.ended if complete else bins.censored:
                distribution.add_bin(number, weight, complete)
    group.time_error = run_time_groups.Error(*stored.time_error)
    group.estimate_error = run_time_groups.Error(*stored.estimate_error)
