"""Sends starts to executors and interprets the replies."""

import dataclasses

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import request_state
from dandelionpick import routing
from dandelionpick import state as state_lib

# Clocks agree within 1 s, so a deadline that an executor enforces has certainly
# passed there after twice that time.
CLOCK_MARGIN_MS = 2_000
QUERY_TIMEOUT_S = 1.0
QUERY_WAIT_S = 0.5
POLL_PERIOD_S = 0.25
# A start without a reply for this long, or for twice the class's run time, is
# queried: the message or its reply may be lost without a broken connection.
START_TIMEOUT_S = 2.0

OPEN = request_state.RunState.OPEN
REFUSED = request_state.RunState.REFUSED
NOT_RUN = request_state.RunState.NOT_RUN
RAN = request_state.RunState.RAN
LOST = request_state.RunState.LOST
FINAL_REFUSALS = (
    kinds.TaskRefusal.TOMBSTONED,
    kinds.TaskRefusal.DEADLINE_PASSED,
)


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStarted:
    """Context of a start sent to an executor."""

    request: request_state.Request
    run: request_state.Run


@dataclasses.dataclass(frozen=True, slots=True)
class TaskQueried:
    """Context of a query about a task, or of its tombstone."""

    request: request_state.Request
    run: request_state.Run


def classify_reply(
    run: request_state.Run,
    reply: executor_messages.TaskReply,
    unix_ms: int,
) -> request_state.RunState | None:
    """Returns the state that a reply proves; None if the reply is damaged.

    A refusal because no slot is free, or because the executor is leaving,
    applies only to the refused copy of the start; a tombstone or a passed
    start deadline applies to every copy. A reply from another incarnation
    never proves that the run's own incarnation did not start the task.
    """
    if reply.task_id != run.task_id:
        return None
    if isinstance(reply, executor_messages.TaskResult):
        intact = executor_messages.is_intact(reply, run.task_id)
        return RAN if intact else None
    if isinstance(reply, executor_messages.TaskRunning):
        return OPEN
    if reply.incarnation != run.incarnation:
        return LOST
    return _classify_not_started(run, reply, unix_ms)


def _classify_not_started(
    run: request_state.Run,
    reply: executor_messages.TaskReply,
    unix_ms: int,
) -> request_state.RunState:
    if isinstance(reply, executor_messages.TaskTombstoned):
        return NOT_RUN
    if isinstance(reply, executor_messages.TaskRefused):
        return NOT_RUN if reply.reason in FINAL_REFUSALS else REFUSED
    passed = unix_ms > run.deadline_ms + CLOCK_MARGIN_MS
    return NOT_RUN if passed else OPEN


def record_reply(
    state: state_lib.State,
    step: dispatch.Step,
    target: ids.InstanceId,
    reply: executor_messages.TaskReply,
) -> None:
    """Records the state of the executor that a reply reports."""
    load = state.requests.load.get(target)
    if load is None:
        return
    load.incarnation = reply.incarnation
    load.reported_s = step.moment.now_s
    routing.record_executor_state(state, target, reply, step.moment.now_s)


def release_slot(state: state_lib.State, target: ids.InstanceId) -> None:
    """Releases a slot that was reserved for a start or claim."""
    load = state.requests.load.get(target)
    if load is not None:
        load.running -= 1


def release_run_slot(state: state_lib.State, run: request_state.Run) -> None:
    """Releases the slot of a start, at most once."""
    if run.reserved:
        run.reserved = False
        release_slot(state, run.target)


def untrack(state: state_lib.State, run: request_state.Run) -> None:
    """Stops counting a start as work in progress on its executor."""
    release_run_slot(state, run)
    routing.remove_running(state, run.task_id)


def send(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
    entry: list_messages.InstanceEntry,
) -> None:
    """Sends a start; the caller must have reserved a slot."""
    submission = request.submission
    request.phase = request_state.Phase.RUNNING
    request.current_run = run
    run.reserved = True
    request.target = run.target
    routing.record_start(state, entry, request, run.task_id, step.moment.now_s)
    message = executor_messages.StartTask(
        task_id=run.task_id,
        labels=executor_messages.TaskLabels(
            submission.organisation,
            submission.job_class,
            submission.key,
            submission.attempt,
        ),
        body=submission.body,
        start_deadline_ms=run.deadline_ms,
        incarnation=run.incarnation,
    )
    timeout_s = max(START_TIMEOUT_S, 2 * request.job_class.run_s)
    step.trace = request.trace
    dispatch.call(
        state,
        step,
        destination_of(entry),
        message,
        TaskStarted(request, run),
        min(timeout_s, request.deadline_s - step.moment.now_s),
    )


def destination_of(
    entry: list_messages.InstanceEntry,
) -> effects.Destination:
    """Returns the destination of calls to an executor."""
    return effects.Destination(kinds.Service.EXECUTOR, entry.id, entry.address)


def newest_request(
    state: state_lib.State,
    request: request_state.Request,
    run: request_state.Run,
) -> request_state.Request:
    """Returns the newest submission of the key that waits for the run."""
    newest = state.requests.by_name.get(request.name())
    if newest is not None and run in newest.runs:
        return newest
    return request


def start_polling(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
    delay_s: float = 0.0,
) -> None:
    """Polls the run's executor until the run is closed, after delay_s."""
    run.next_query_s = step.moment.now_s + delay_s
    state.requests.polled[run] = request
    if delay_s == 0.0:
        query(state, step, request, run)


def stop_polling(state: state_lib.State, run: request_state.Run) -> None:
    """Stops polling a run."""
    state.requests.polled.pop(run, None)


def query(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
) -> None:
    """Queries a run, or places its tombstone."""
    if run.query_in_flight:
        return
    entry = state.members.entries.get(run.target)
    if entry is None:
        run.next_query_s = step.moment.now_s + POLL_PERIOD_S
        return
    run.query_in_flight = True
    if run.tombstone:
        message = executor_messages.CancelTask(run.task_id)
    else:
        message = executor_messages.QueryTask(run.task_id, QUERY_WAIT_S)
    step.trace = request.trace
    dispatch.call(
        state,
        step,
        destination_of(entry),
        message,
        TaskQueried(request, run),
        QUERY_TIMEOUT_S,
    )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Queries the runs that are due; stops polling those out of time."""
    now_s = step.moment.now_s
    for run, owner in list(state.requests.polled.items()):
        request = newest_request(state, owner, run)
        if request.answer is not None and now_s > request.resolve_until_s:
            stop_polling(state, run)
            untrack(state, run)
        elif now_s >= run.next_query_s:
            query(state, step, request, run)


def reserve_slot(
    state: state_lib.State, entry: list_messages.InstanceEntry
) -> request_state.TargetLoad:
    """Reserves a slot of an executor for a start or claim."""
    load = routing.load_of(state, entry)
    load.running += 1
    return load
