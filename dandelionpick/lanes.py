"""Decides which queued request starts next."""

import math

from dandelionpick import dispatch
from dandelionpick import list_messages
from dandelionpick import membership
from dandelionpick import queueing
from dandelionpick import request_state
from dandelionpick import retries
from dandelionpick import routing
from dandelionpick import state as state_lib

# Bounds how long a steady flow of short work can delay long work that has an
# open slot; costs short work one start in nine at most.
MAX_SHORT_STREAK = 8
JOB_UNIT = "job"
# A task that has just reached the limit goes on; with its run time so far it
# can fall in a bucket whose middle lies below the limit.
PROVISIONAL_FACTOR = 1.5

Start = tuple[request_state.Request, list_messages.InstanceEntry]


def item_of(
    state: state_lib.State,
    name: request_state.RequestName,
    request: request_state.Request,
) -> queueing.Item:
    """Builds the queue item of a request.

    A start counts 1 for organisations that are accounted by job. For the
    others it counts the expected run time, in units of the mean over all
    classes, so that both units are of the same size.
    """
    known = state.routing.run_times
    cost_s = known.expected_s(
        routing.class_key(request), request.job_class.run_s
    )
    organisation = state.configuration.organisations.get(name[0])
    share = organisation.share if organisation else 1.0
    charge = 1.0
    if organisation and organisation.accounting_unit != JOB_UNIT:
        charge = cost_s / known.mean_s if known.mean_s else 1.0
    return queueing.Item(
        name,
        routing.lane_of(state, request),
        request.job_class.worth,
        request.deadline_s,
        share=max(share, 1e-6),
        cost_s=cost_s,
        charge=0.0 if request.runs or request.starts else charge,
        never_sent=not request.may_have_run(),
    )


def enqueue(
    state: state_lib.State,
    name: request_state.RequestName,
    request: request_state.Request,
) -> None:
    """Queues a request, new or again."""
    if name not in state.routing.queue:
        state.routing.queue.push(item_of(state, name, request))


def withdraw(state: state_lib.State, name: request_state.RequestName) -> None:
    """Takes a request out of the queue."""
    state.routing.queue.remove(name)


def take_next(
    state: state_lib.State, now_s: float, draw: float
) -> Start | None:
    """Removes and returns the request that starts next, with its executor.

    Returns:
        None if nothing is queued that an executor could take now.
    """
    if state.routing.hold or state.routing.full:
        return None
    release_delayed(state, now_s, draw)
    lanes = [queueing.Lane.SHORT, queueing.Lane.NORMAL]
    if state.routing.short_streak >= MAX_SHORT_STREAK:
        lanes.reverse()
    for lane in lanes:
        start = _take(state, lane, now_s, draw)
        if start is not None:
            return start
    return None


def release_delayed(state: state_lib.State, now_s: float, draw: float) -> None:
    """Queues the requests whose wait before a retry is over."""
    for name in retries.due(state, now_s, draw):
        enqueue(state, name, state.requests.by_name[name])


def _take(
    state: state_lib.State, lane: queueing.Lane, now_s: float, draw: float
) -> Start | None:
    item = _head(state, lane)
    if item is None:
        return None
    if lane is queueing.Lane.NORMAL and not is_open_to_long(state):
        return None
    request = state.requests.by_name[item.name]
    entry = routing.choose_executor(state, request, now_s, draw)
    if entry is None:
        state.routing.full = True
        return None
    state.routing.queue.start(item)
    if lane is queueing.Lane.SHORT:
        state.routing.short_streak += 1
    else:
        state.routing.short_streak = 0
    return request, entry


def _head(state: state_lib.State, lane: queueing.Lane) -> queueing.Item | None:
    """Returns the first item of a lane whose class still belongs there."""
    queue = state.routing.queue
    while (item := queue.head(lane)) is not None:
        request = state.requests.by_name.get(item.name)
        if request is None or request.answer is not None:
            queue.remove(item.name)
            continue
        if lane is queueing.Lane.NORMAL:
            return item
        if routing.lane_of(state, request) is lane:
            return item
        queue.move(item, queueing.Lane.NORMAL)
    return None


def is_open_to_long(state: state_lib.State) -> bool:
    """Returns whether long work may use another slot."""
    return state.routing.long_running < state.routing.long_limit


def open_slots(state: state_lib.State) -> tuple[int, int]:
    """Returns the slots of the executors in use, and those open to long work.

    No slot is closed if no organisation has a class that may use it.
    """
    slots = sum(entry.slots for entry in routing.executors_in_use(state))
    has_short = any(
        job_class.short
        for organisation in state.configuration.organisations.values()
        for job_class in organisation.classes.values()
    )
    if not has_short:
        return slots, slots
    closed = math.ceil(slots * state.limits.closed_to_long_share)
    return slots, max(min(slots, 1), slots - closed)


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Recounts long work and renews this instance's limit on it."""
    now_s = step.moment.now_s
    state.routing.full = False
    _note_long_tasks(state, now_s)
    state.routing.left_s = left_in_progress_s(state, now_s)
    renewed_s = state.routing.limit_set_s
    slots, open_to_long = open_slots(state)
    state.routing.slots = slots
    state.routing.open_slots = open_to_long
    peers = list(membership.live_peers(state, now_s))
    count = 1 + len(peers)
    used = len(state.routing.running)
    state.routing.free_slots = max(0, slots // count - used)
    if now_s - renewed_s < state.limits.heartbeat_period_s:
        state.routing.long_limit = min(state.routing.long_limit, open_to_long)
        if state.routing.long_limit or not open_to_long:
            return
    state.routing.limit_set_s = now_s
    own = state.routing.long_running
    elsewhere = sum(
        peer.heartbeat.long_running
        for peer in peers
        if peer.heartbeat is not None
    )
    # Instances learn of each other's long tasks once in a heartbeat period.
    # If each takes only its part of what is left, they can't together exceed
    # the open slots, and a single busy instance still gets most of them.
    left = max(0, open_to_long - own - elsewhere)
    state.routing.long_limit = own + math.ceil(left / count)


def left_in_progress_s(
    state: state_lib.State, now_s: float
) -> dict[queueing.Lane, float]:
    """Returns the expected remaining run time of the running tasks."""
    left_s = dict.fromkeys(queueing.Lane, 0.0)
    for task in state.routing.running.values():
        left_s[task.lane] += max(0.0, task.expected_s - now_s + task.started_s)
    return left_s


def _note_long_tasks(state: state_lib.State, now_s: float) -> None:
    """Counts tasks that outlast short work as long before they end.

    Their run time so far is recorded provisionally, so that a class whose
    tasks do not end at all is demoted too.
    """
    limit_s = state.limits.short_max_s
    for task in state.routing.running.values():
        elapsed_s = now_s - task.started_s
        if task.lane is queueing.Lane.NORMAL or elapsed_s <= limit_s:
            continue
        task.lane = queueing.Lane.NORMAL
        state.routing.long_running += 1
        if task.stalled:
            continue
        task.provisional_s = elapsed_s * PROVISIONAL_FACTOR
        histogram = state.routing.run_times.of(task.class_key)
        histogram.add(task.provisional_s, now_s)
