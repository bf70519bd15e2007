"""Keeps new work away from failure domains that operators evacuate.

The load pattern is a failure domain that is emptied for maintenance while work
keeps arriving. Running work goes on there, and nothing new may start from a
bound after the request on. The store holds a key for each domain; the scheduler
watches these keys, and a new scheduler lists them before it starts anything.
"""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import evacuation_state
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import schedule_state
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import watches
from dandelionpick.batch import watching

# Wait of a call of the watch. A dead connection is given up 0.6 s later, and a
# listing that fails as well takes 1.2 s, so that two lost calls leave the view
# 2.3 s old, less than half of the 5 s within which starts have to end.
EVACUATIONS_WATCH_S = 0.5
# Nothing is started if the view is older than this share of the bound although
# the store has served other calls since. The rest covers a late event loop and
# the time that an order takes.
MAX_VIEW_AGE_SHARE = 0.8
# Calls that the store serves this long after the one that confirmed the view
# show that it serves this instance; the calls of all watches last 0.5 s to 1 s.
SERVED_SINCE_S = 1.0


def is_watched(state: state_lib.State) -> bool:
    """Returns whether the platform evacuates failure domains."""
    return state.limits.evacuate_s > 0


def start(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts to watch the evacuations, at a takeover."""
    if not is_watched(state):
        return
    watching.start(
        state,
        step,
        watches.EvacuationsWatch(
            state.formats.evacuations_prefix, EVACUATIONS_WATCH_S, relists=True
        ),
    )


def is_closed(
    schedule: schedule_state.Schedule, target: schedule_state.Target
) -> bool:
    """Returns whether a target is in a domain that is being evacuated."""
    return (
        target.entry is not None
        and target.entry.failure_domain in schedule.closed_domains
    )


def is_view_current(state: state_lib.State, now_s: float) -> bool:
    """Returns whether the evacuations are known as recently as starts require.

    While the store serves nothing, no evacuation can be acknowledged, so that
    an old view is good enough. If it only doesn't serve this instance, another
    one becomes the scheduler within the bound.
    """
    if not is_watched(state):
        return True
    confirmed_s = watching.confirmed_s(state, watches.EvacuationsWatch)
    served_s = leadership_bounds.key_confirmed_s(state)
    return (
        now_s - confirmed_s < MAX_VIEW_AGE_SHARE * state.limits.evacuate_s
        or served_s - confirmed_s < SERVED_SINCE_S
    )


@watching.apply_item.register
def _(
    watch: watches.EvacuationsWatch,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    schedule = state.schedule
    if schedule is None:
        return
    domain = _domain_of(watch, item.key)
    if domain in schedule.closed_domains:
        return
    schedule.closed_domains |= {domain}
    schedule.evacuations.by_domain[domain] = evacuation_state.Evacuation(
        step.moment.unix_ms
    )
    _drop_reservations(schedule)
    _expire_views(schedule)


@watching.apply_removal.register
def _(
    watch: watches.EvacuationsWatch,
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
) -> None:
    schedule = state.schedule
    if schedule is None:
        return
    domain = _domain_of(watch, key)
    schedule.closed_domains -= {domain}
    evacuation = schedule.evacuations.by_domain.pop(domain, None)
    _expire_views(schedule)
    schedule.dirty = True
    if evacuation is not None:
        step.note(
            effects.Component.SCHEDULER,
            f"the evacuation of {domain} has ended",
            runs=sum(evacuation.runs.values()),
        )


def _domain_of(watch: watches.Watch, key: str) -> ids.FailureDomain:
    return ids.FailureDomain(key.removeprefix(watch.prefix))


def _drop_reservations(schedule: schedule_state.Schedule) -> None:
    """Drops reservations that use a closed target; their steps plan again."""
    for key, reservation in list(schedule.reservations.items()):
        targets = map(schedule.targets.get, reservation.resources)
        if any(target and is_closed(schedule, target) for target in targets):
            del schedule.reservations[key]


def _expire_views(schedule: schedule_state.Schedule) -> None:
    for view in schedule.pool_views.values():
        view.expires_s = float("-inf")


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Counts what still runs in evacuated domains, and logs their progress."""
    schedule = state.schedule
    if schedule is None or schedule.stage is not stages.Stage.READY:
        return
    for domain, evacuation in schedule.evacuations.by_domain.items():
        _count_runs(schedule, domain, evacuation)
        _note_progress(schedule, step, domain, evacuation)
    _note_coverage(schedule, step)
    _note_age(state, schedule, step)


def _count_runs(
    schedule: schedule_state.Schedule,
    domain: ids.FailureDomain,
    evacuation: evacuation_state.Evacuation,
) -> None:
    """Updates the domain's targets, with those that have lost their entry."""
    evacuation.targets &= schedule.targets.keys()
    evacuation.targets |= {
        target.id
        for target in schedule.targets.values()
        if target.entry is not None and target.entry.failure_domain == domain
    }
    evacuation.runs = {
        target_id: len(schedule.targets[target_id].runs)
        for target_id in evacuation.targets
        if schedule.targets[target_id].runs
    }


def _note_progress(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    domain: ids.FailureDomain,
    evacuation: evacuation_state.Evacuation,
) -> None:
    if not evacuation.announced:
        evacuation.announced = True
        known = bool(evacuation.targets)
        step.note(
            effects.Component.SCHEDULER,
            f"evacuating {domain}: nothing starts there any more"
            if known
            else f"no target belongs to {domain}, which is to be evacuated",
            warning=not known,
            targets=len(evacuation.targets),
            runs=sum(evacuation.runs.values()),
        )
    # A target that was not listed under this epoch may run something.
    if evacuation.runs:
        evacuation.is_empty = False
    elif (
        evacuation.targets
        and not evacuation.is_empty
        and all(
            target.listed or target.replaced
            for target in map(schedule.targets.__getitem__, evacuation.targets)
        )
    ):
        evacuation.is_empty = True
        step.note(
            effects.Component.SCHEDULER,
            f"nothing runs in {domain} any more",
            targets=len(evacuation.targets),
        )


def _note_coverage(
    schedule: schedule_state.Schedule, step: dispatch.Step
) -> None:
    """Warns when no target is left that may take work."""
    covers_all = False
    if schedule.closed_domains:
        domains = {
            target.entry.failure_domain
            for target in schedule.targets.values()
            if target.entry is not None
        }
        covers_all = bool(domains) and domains <= schedule.closed_domains
    if covers_all and not schedule.evacuations.covers_all:
        step.note(
            effects.Component.SCHEDULER,
            "all failure domains are being evacuated; jobs wait",
            warning=True,
            domains=sorted(schedule.closed_domains),
        )
    schedule.evacuations.covers_all = covers_all


def _note_age(
    state: state_lib.State,
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
) -> None:
    """Warns when nothing starts because the evacuations aren't known."""
    is_outdated = not is_view_current(state, step.moment.now_s)
    if is_outdated and not schedule.evacuations.is_outdated:
        step.note(
            effects.Component.STORE,
            "evacuations could not be read for too long; nothing is started",
            warning=True,
        )
    schedule.evacuations.is_outdated = is_outdated
