"""Chooses the executor for a request and records executors' replies."""

from dandelionpick import dispatch
from dandelionpick import estimates
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import membership
from dandelionpick import quarantine
from dandelionpick import queueing
from dandelionpick import request_state
from dandelionpick import retries
from dandelionpick import routing_state
from dandelionpick import state as state_lib

FIRST_BUSY_BACKOFF_S = 0.02
MAX_BUSY_BACKOFF_S = 0.32
# An older report of free slots is ignored, because other instances use the same
# executor.
MAX_REPORT_AGE_S = 1.0
# After this many consecutive starts without a reply, an executor is sent no
# more work until it replies to a query.
MAX_UNANSWERED = 3


def load_of(
    state: state_lib.State, entry: list_messages.InstanceEntry
) -> request_state.TargetLoad:
    """Returns the load record of an executor, and creates it if needed."""
    load = state.requests.load.get(entry.id)
    if load is None:
        load = request_state.TargetLoad(free_slots=entry.slots)
        state.requests.load[entry.id] = load
    return load


def is_unreachable(state: state_lib.State, target: ids.InstanceId) -> bool:
    """Returns whether the last MAX_UNANSWERED starts all got no reply."""
    health = state.routing.health.get(target)
    return health is not None and health.unanswered >= MAX_UNANSWERED


def is_available(
    state: state_lib.State, entry: list_messages.InstanceEntry
) -> bool:
    """Returns whether an executor is reachable and not leaving.

    It is leaving if the list or the executor itself reported so.
    """
    if entry.state is kinds.Liveness.LEAVING:
        return False
    health = state.routing.health.get(entry.id)
    if health is None:
        return True
    return not health.leaving and health.unanswered < MAX_UNANSWERED


def executors_in_use(
    state: state_lib.State,
) -> list[list_messages.InstanceEntry]:
    """Returns the executors that accept new work, busy or not."""
    quarantined = state.routing.quarantined
    return [
        entry
        for entry in membership.targets(state, kinds.Role.EXECUTOR)
        if entry.id not in quarantined and is_available(state, entry)
    ]


def usable_executors(
    state: state_lib.State, now_s: float
) -> list[list_messages.InstanceEntry]:
    """Returns the executors that can be sent a task now."""
    usable = []
    for entry in executors_in_use(state):
        load = load_of(state, entry)
        if load.running < entry.slots and now_s >= load.backoff_until_s:
            usable.append(entry)
    return usable


def probes_due(
    state: state_lib.State, now_s: float
) -> list[list_messages.InstanceEntry]:
    """Returns the quarantined executors that may be probed now."""
    if not state.routing.quarantined:
        return []
    return [
        entry
        for entry in membership.targets(state, kinds.Role.EXECUTOR)
        if quarantine.is_probe_due(state, entry.id, now_s)
        and is_available(state, entry)
    ]


def choose_executor(
    state: state_lib.State,
    request: request_state.Request,
    now_s: float,
    draw: float,
    may_probe: bool = True,
) -> list_messages.InstanceEntry | None:
    """Returns the less loaded of two random executors, or None.

    Executors on which the request already failed are used only if no other is
    usable. A quarantined executor whose probe is due is preferred if the
    request can be retried elsewhere when the probe fails.
    """
    first = not request.lost_calls + request.failures
    if may_probe and first and request.job_class.idempotent:
        for entry in probes_due(state, now_s):
            return entry
    usable = usable_executors(state, now_s)
    untried = [entry for entry in usable if entry.id not in request.tried]
    candidates = untried or usable
    if not candidates:
        return None
    first, second = pick_two(
        candidates, retries.derive_draw(draw, "first", state.calls_made)
    )
    if _load_score(state, second, now_s) < _load_score(state, first, now_s):
        return second
    return first


def pick_two(
    candidates: list[list_messages.InstanceEntry], draw: float
) -> tuple[list_messages.InstanceEntry, list_messages.InstanceEntry]:
    """Returns two distinct random candidates, or the only one twice."""
    size = len(candidates)
    first = int(draw * size)
    if size == 1:
        return candidates[0], candidates[0]
    step = 1 + int(retries.derive_draw(draw, "second") * (size - 1))
    return candidates[first], candidates[(first + step) % size]


def _load_score(
    state: state_lib.State,
    entry: list_messages.InstanceEntry,
    now_s: float,
) -> float:
    """Returns the used share of the slots plus a penalty for failures.

    An executor that fails its tasks immediately always looks idle. The penalty
    keeps it from attracting work before there is enough evidence for a
    quarantine.
    """
    load = load_of(state, entry)
    used = load.running
    health = quarantine.health_of(state, entry.id)
    if now_s - health.replied_s <= MAX_REPORT_AGE_S:
        used = max(used, entry.slots - load.free_slots)
    failed = quarantine.failed_share(state, entry.id, now_s)
    return used / max(1, entry.slots) + 2.0 * failed


def record_start(
    state: state_lib.State,
    entry: list_messages.InstanceEntry,
    request: request_state.Request,
    task_id: ids.TaskId,
    now_s: float,
) -> None:
    """Records that a start is sent to an executor; its slot is reserved."""
    remove_running(state, task_id)
    load = load_of(state, entry)
    load.free_slots = max(0, load.free_slots - 1)
    if request.runs_created <= 1 and len(request.runs) == 1:
        retries.credit_start(state)
    lane = lane_of(state, request)
    if lane is queueing.Lane.NORMAL:
        state.routing.long_running += 1
    key = class_key(request)
    expected_s = state.routing.run_times.expected_s(
        key, request.job_class.run_s
    )
    state.routing.remaining_s[lane] += expected_s
    state.routing.running[task_id] = routing_state.RunningTask(
        request.name(), key, entry.id, now_s, expected_s, lane
    )


def class_key(request: request_state.Request) -> estimates.ClassKey:
    """Returns the key under which the request's run times are recorded."""
    submission = request.submission
    return (submission.organisation, submission.job_class)


def lane_of(
    state: state_lib.State, request: request_state.Request
) -> queueing.Lane:
    """Returns the current lane of a request's class."""
    short = state.routing.run_times.is_short(
        class_key(request), request.job_class.short, state.limits.short_max_s
    )
    return queueing.Lane.SHORT if short else queueing.Lane.NORMAL


def record_reply(
    state: state_lib.State,
    step: dispatch.Step,
    target: ids.InstanceId,
    task_id: ids.TaskId,
    reply: executor_messages.TaskReply,
) -> None:
    """Records an executor's reply to the start of a task."""
    task = remove_running(state, task_id)
    load = state.requests.load.get(target)
    health = quarantine.health_of(state, target)
    if load is not None and isinstance(reply, executor_messages.TaskRefused):
        health.busy_streak += 1
        draw = retries.derive_draw(step.moment.random_value, task_id)
        load.backoff_until_s = step.moment.now_s + retries.backoff_s(
            health.busy_streak, draw, FIRST_BUSY_BACKOFF_S, MAX_BUSY_BACKOFF_S
        )
        return
    health.busy_streak = 0
    if task is None or not isinstance(reply, executor_messages.TaskResult):
        return
    succeeded = reply.succeeded and executor_messages.is_intact(reply, task_id)
    if succeeded and not task.stalled:
        record_run_time(state, task, step.moment.now_s)
    quarantine.record_outcome(state, step, task, succeeded)
    if succeeded and task.hedged:
        _record_overtaken(state, step, task)


def _record_overtaken(
    state: state_lib.State,
    step: dispatch.Step,
    ended: routing_state.RunningTask,
) -> None:
    """Records earlier tasks of the request as failed after its hedge succeeded.

    The job ran in the usual time on another executor, so the executor and not
    the job delayed the first task. It may never reply.
    """
    for task in list(state.routing.running.values()):
        if task.name == ended.name and task.started_s < ended.started_s:
            quarantine.record_outcome(state, step, task, succeeded=False)
            task.stalled = True


def record_run_time(
    state: state_lib.State, task: routing_state.RunningTask, now_s: float
) -> None:
    """Records the run time of a finished task."""
    run_times = state.routing.run_times
    if task.provisional_s is not None:
        run_times.histogram_of(task.class_key).remove(task.provisional_s)
    run_times.observe(task.class_key, now_s - task.started_s, now_s)


def record_executor_state(
    state: state_lib.State,
    target: ids.InstanceId,
    reply: executor_messages.TaskReply,
    now_s: float,
) -> None:
    """Records the executor state that every reply contains.

    "Leaving" holds until another incarnation replies, because replies can
    arrive out of order and an incarnation that is leaving does not return.
    """
    load = state.requests.load.get(target)
    if load is not None:
        load.free_slots = reply.free_slots
    health = quarantine.health_of(state, target)
    health.replied_s = now_s
    health.unanswered = 0
    state.routing.saturated = False
    if reply.incarnation != health.incarnation:
        if health.incarnation:
            quarantine.reset_after_restart(health)
        health.incarnation = reply.incarnation
        if health.leaving != reply.incarnation:
            health.leaving = ""
    refused = isinstance(reply, executor_messages.TaskRefused)
    if reply.leaving or (refused and reply.reason is kinds.TaskRefusal.LEAVING):
        health.leaving = reply.incarnation


def record_failure(
    state: state_lib.State,
    step: dispatch.Step,
    target: ids.InstanceId,
    task_id: ids.TaskId,
) -> None:
    """Records that a start of a task got no reply."""
    task = remove_running(state, task_id)
    if task is None or task.stalled:
        return
    quarantine.health_of(state, target).unanswered += 1
    quarantine.record_outcome(state, step, task, succeeded=False)


def remove_running(
    state: state_lib.State, task_id: ids.TaskId
) -> routing_state.RunningTask | None:
    """Removes a task from the running tasks; returns it, or None."""
    state.routing.saturated = False
    task = state.routing.running.pop(task_id, None)
    if task is None:
        return None
    if task.lane is queueing.Lane.NORMAL:
        state.routing.long_running -= 1
    return task
