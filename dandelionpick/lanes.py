"""Schedules queued requests: short and normal lanes, and slot limits."""

import math

from dandelionpick import dispatch
from dandelionpick import list_messages
from dandelionpick import membership
from dandelionpick import queueing
from dandelionpick import request_state
from dandelionpick import retries
from dandelionpick import routing
from dandelionpick import state as state_lib

# Bounds how long a steady flow of short requests can delay a long one that has
# an open slot. It costs short requests at most one start in nine.
MAX_SHORT_STREAK = 8
JOB_UNIT = "job"
# A task that has just reached the limit is still running, and its elapsed time
# can fall in a bucket whose middle lies below the limit.
PROVISIONAL_FACTOR = 1.5

Assignment = tuple[request_state.Request, list_messages.InstanceEntry]


def queue_item(
    state: state_lib.State,
    name: request_state.RequestName,
    request: request_state.Request,
) -> queueing.Item:
    """Builds the queue item of a request.

    The charge of a start is 1 for organisations that are accounted by job. For
    the others it is the expected run time divided by the mean over all
    classes, so that both units have the same magnitude.
    """
    run_times = state.routing.run_times
    cost_s = run_times.expected_s(
        routing.class_key(request), request.job_class.run_s
    )
    organisation = state.configuration.organisations.get(name[0])
    share = organisation.share if organisation else 1.0
    charge = 1.0
    if organisation and organisation.accounting_unit != JOB_UNIT:
        charge = cost_s / run_times.mean_s if run_times.mean_s else 1.0
    return queueing.Item(
        name,
        routing.lane_of(state, request),
        request.job_class.worth,
        request.deadline_s,
        share=max(share, 1e-6),
        cost_s=cost_s,
        charge=0.0 if request.runs_created or request.runs else charge,
        never_sent=not request.may_have_run(),
    )


def enqueue(
    state: state_lib.State,
    name: request_state.RequestName,
    request: request_state.Request,
) -> None:
    """Adds a new or retried request to the queue."""
    if name not in state.routing.queue:
        state.routing.queue.push(queue_item(state, name, request))


def withdraw(state: state_lib.State, name: request_state.RequestName) -> None:
    """Removes a request from the queue."""
    state.routing.queue.remove(name)


def take_next(
    state: state_lib.State, now_s: float, draw: float
) -> Assignment | None:
    """Removes and returns the next request to start, with its executor.

    Returns:
        None if no queued request can start now.
    """
    if state.routing.starts_paused or state.routing.saturated:
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
    """Queues the requests whose retry delay has passed."""
    for name in retries.pop_due(state, now_s, draw):
        enqueue(state, name, state.requests.by_name[name])


def _take(
    state: state_lib.State, lane: queueing.Lane, now_s: float, draw: float
) -> Assignment | None:
    item = _head(state, lane)
    if item is None:
        return None
    if lane is queueing.Lane.NORMAL and not is_open_to_long(state):
        return None
    request = state.requests.by_name[item.name]
    entry = routing.choose_executor(state, request, now_s, draw)
    if entry is None:
        state.routing.saturated = True
        return None
    state.routing.queue.start(item)
    if lane is queueing.Lane.SHORT:
        state.routing.short_streak += 1
    else:
        state.routing.short_streak = 0
    return request, entry


def _head(state: state_lib.State, lane: queueing.Lane) -> queueing.Item | None:
    """Returns the first item of a lane.

    Removes requests that were answered, and moves items whose class is no
    longer short to the normal lane.
    """
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
    """Returns whether another long task may start."""
    return state.routing.long_running < state.routing.long_limit


def count_slots(state: state_lib.State) -> tuple[int, int]:
    """Returns all slots of the executors in use, and those open to long work.

    No slots are reserved for short work if no organisation has a short class.
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
    """Updates the slot counts and this instance's limit on long tasks."""
    now_s = step.moment.now_s
    state.routing.saturated = False
    _reclassify_long_tasks(state, now_s)
    state.routing.remaining_s = remaining_run_time_s(state, now_s)
    last_computed_s = state.routing.limit_computed_s
    slots, open_to_long = count_slots(state)
    state.routing.slots = slots
    state.routing.open_slots = open_to_long
    peers = list(membership.live_peers(state, now_s))
    count = 1 + len(peers)
    used = len(state.routing.running)
    state.routing.free_slots = max(0, slots // count - used)
    if now_s - last_computed_s < state.limits.heartbeat_period_s:
        state.routing.long_limit = min(state.routing.long_limit, open_to_long)
        if state.routing.long_limit or not open_to_long:
            return
    state.routing.limit_computed_s = now_s
    own_long = state.routing.long_running
    peer_long = sum(
        peer.heartbeat.long_running
        for peer in peers
        if peer.heartbeat is not None
    )
    # Instances learn of each other's long tasks once per heartbeat period. If
    # each takes only its share of the unused open slots, together they can't
    # exceed the open slots, and a single busy instance still gets most of them.
    unused = max(0, open_to_long - own_long - peer_long)
    state.routing.long_limit = own_long + math.ceil(unused / count)


def remaining_run_time_s(
    state: state_lib.State, now_s: float
) -> dict[queueing.Lane, float]:
    """Returns the expected remaining run time of running tasks, by lane."""
    remaining_s = dict.fromkeys(queueing.Lane, 0.0)
    for task in state.routing.running.values():
        remaining_s[task.lane] += max(
            0.0, task.expected_s - now_s + task.started_s
        )
    return remaining_s


def _reclassify_long_tasks(state: state_lib.State, now_s: float) -> None:
    """Counts running tasks as long once they exceed the limit for short work.

    Their elapsed time is recorded provisionally, so that a class whose tasks
    never end is demoted too.
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
        histogram = state.routing.run_times.histogram_of(task.class_key)
        histogram.add(task.provisional_s, now_s)
