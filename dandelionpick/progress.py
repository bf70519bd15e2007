"""Advances requests when executors reply about their runs."""

from dandelionpick import caller_messages
from dandelionpick import claimed_requests
from dandelionpick import dispatch
from dandelionpick import executor_messages
from dandelionpick import kinds
from dandelionpick import outcomes
from dandelionpick import problems
from dandelionpick import request_queue
from dandelionpick import request_state
from dandelionpick import retries
from dandelionpick import runs
from dandelionpick import state as state_lib

UNREACHABLE_BACKOFF_S = 0.1
# A task may have failed because of its executor, so a second one is tried.
MAX_FAILED_RUNS = 2
# Refused runs get tombstones this long before the deadline, so that the
# answer at the deadline can be `not_run`.
TOMBSTONE_LEAD_S = 0.25
MAX_TOMBSTONED_RUNS = 8
RESOLVE_DURATION_S = 30.0


def resume_open_runs(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
) -> bool:
    """Waits for the open run of an earlier submission, if there is one."""
    running = [run for run in request.runs if run.state is runs.OPEN]
    if not running or not request.job_class.idempotent:
        return False
    request.phase = request_state.Phase.RUNNING
    request.current_run = running[-1]
    for run in running:
        runs.start_polling(state, step, request, run)
    return True


def back_off(
    state: state_lib.State,
    step: dispatch.Step,
    run: request_state.Run,
    delay_s: float,
) -> None:
    """Sends no more starts to an executor for delay_s seconds."""
    load = state.requests.load.get(run.target)
    if load is not None:
        load.backoff_until_s = step.moment.now_s + delay_s


def handle_reply(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
    reply: executor_messages.TaskReply,
) -> None:
    """Updates a run and its request from an executor's reply."""
    if run.state in (runs.NOT_RUN, runs.RAN):
        return
    proved_state = runs.classify_reply(run, reply, step.moment.unix_ms)
    if proved_state is runs.RAN:
        run.state = runs.RAN
        runs.stop_polling(state, run)
        complete(state, step, request, run, reply)
    elif proved_state is runs.REFUSED:
        handle_refusal(state, step, request, run)
    elif proved_state is None:
        handle_damaged_reply(state, step, request, run)
    elif proved_state is not runs.OPEN:
        close_run(state, step, request, run, proved_state)
    elif request.answer is None or run in state.requests.polled:
        runs.start_polling(state, step, request, run, runs.POLL_PERIOD_S)
        if isinstance(reply, executor_messages.TaskUnknown):
            resend(state, step, request, run)


def handle_refusal(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
) -> None:
    """Tries another executor after a refusal.

    A non-idempotent request does so only after a tombstone has made the
    refusal final: a second copy of the start may still be in transit.
    """
    run.state = runs.REFUSED
    if request.answer is not None:
        return
    if request.job_class.idempotent and not request.cancelled:
        request.tried.append(run.target)
        if request.current_run is run and not wait_for_hedge(
            state, request, run
        ):
            request_queue.enqueue(state, request)
        return
    run.tombstone = True
    runs.start_polling(state, step, request, run)


def handle_damaged_reply(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
) -> None:
    """Treats a damaged reply, or one for another task, as a lost reply."""
    if request.job_class.idempotent and request.answer is None:
        back_off(state, step, run, UNREACHABLE_BACKOFF_S)
        request.lost_calls += 1
        retry(state, step, request, run)
    else:
        runs.start_polling(state, step, request, run, runs.POLL_PERIOD_S)


def resend(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
) -> None:
    """Resends a start that its executor has not received."""
    entry = state.members.entries.get(run.target)
    unwanted = request.answer is not None or request.cancelled
    late = step.moment.unix_ms >= run.deadline_ms
    if unwanted or late or entry is None or not run.sent_here or run.tombstone:
        return
    if request.current_run is run:
        run.resent = True
        if not run.reserved:
            runs.reserve_slot(state, entry)
        runs.send(state, step, request, run, entry)


def close_run(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
    proved_state: request_state.RunState,
) -> None:
    """Records that a run did not run, or can no longer be resolved."""
    run.state = proved_state
    runs.stop_polling(state, run)
    runs.untrack(state, run)
    if proved_state is runs.NOT_RUN and run in request.runs:
        request.runs.remove(run)
    if request.answer is not None:
        revise_if_proved(state, request)
    elif request.cancelled and request.job_class.idempotent:
        finish_if_cancelled(state, step, request)
    elif request.job_class.idempotent:
        # The executor has restarted, perhaps because of the request.
        request.lost_calls += proved_state is runs.LOST
        sent = proved_state is not runs.NOT_RUN
        cost = 1.0 if sent else retries.NOT_SENT_COST
        retry(state, step, request, run, cost)
    else:
        claimed_requests.retry_claim_or_fail(state, step, request, run)


def revise_if_proved(
    state: state_lib.State, request: request_state.Request
) -> None:
    """Turns a retained `unknown` into `not_run` when that is proved."""
    unknown = request.answer.outcome is kinds.Outcome.UNKNOWN
    if not unknown or not outcomes.is_proved_not_run(request):
        return
    answer = caller_messages.Answer(
        organisation=request.submission.organisation,
        key=request.submission.key,
        outcome=kinds.Outcome.NOT_RUN,
        problem=request.answer.problem,
    )
    outcomes.revise_answer(state, request, answer)


def finish_if_cancelled(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
) -> None:
    """Answers a cancelled request when none of its starts can run."""
    if outcomes.is_proved_not_run(request):
        problem = problems.cancelled()
        outcomes.end_without_result(state, step, request, problem)


def wait_for_hedge(
    state: state_lib.State,
    request: request_state.Request,
    run: request_state.Run,
) -> bool:
    """Lets a request wait for another start that is in progress, if any."""
    for other in request.runs:
        if other is run or other.state is not runs.OPEN:
            continue
        if other.task_id in state.routing.running:
            request.current_run = other
            return True
    return False


def retry(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
    cost: float = 1.0,
) -> None:
    """Tries a request again after a delay, charged to the retry budget.

    Does nothing if the request does not wait for this run.
    """
    if request.current_run is not run or request.cancelled:
        return
    request.tried.append(run.target)
    if not wait_for_hedge(state, request, run):
        schedule_retry(state, step, request, cost)


def schedule_retry(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    cost: float = 1.0,
) -> None:
    """Schedules a retry, or gives up after too many failures or losses."""
    request.phase = request_state.Phase.QUEUED
    request.current_run = None
    now_s = step.moment.now_s
    draw = step.moment.random_value
    if retries.schedule(state, request.name(), request, now_s, draw, cost):
        return
    outcomes.end_without_result(state, step, request, problems.target_lost())
    keep_resolving(state, step, request)


def complete(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
    result: executor_messages.TaskResult,
) -> None:
    """Answers a request with the executor's result."""
    if request.answer is not None:
        if request.answer.outcome is not kinds.Outcome.COMPLETED:
            answer = outcomes.completed_answer(*request.name(), result)
            outcomes.revise_answer(state, request, answer)
            claimed_requests.record_completion(state, step, request, result)
        return
    if not result.succeeded and request.job_class.idempotent:
        request.failures += 1
        if request.failures < MAX_FAILED_RUNS and request.current_run is run:
            retry(state, step, request, run)
            return
    answer = outcomes.completed_answer(*request.name(), result)
    outcomes.finish(state, step, request, answer)
    claimed_requests.record_completion(state, step, request, result)


def tombstone_refused_runs(
    state: state_lib.State, step: dispatch.Step, request: request_state.Request
) -> None:
    """Places tombstones for refused runs shortly before the deadline."""
    refused = [run for run in request.runs if run.state is runs.REFUSED]
    if request.submission.attempt > 1 or len(refused) > MAX_TOMBSTONED_RUNS:
        return
    for run in refused:
        if not run.tombstone:
            run.tombstone = True
            runs.start_polling(state, step, request, run)


def expire(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
) -> None:
    """Answers a request whose deadline has passed.

    The runs of a request with an unknown outcome are still polled, so that
    a later fetch can return the actual outcome.
    """
    problem = problems.deadline_passed()
    outcomes.end_without_result(state, step, request, problem)
    keep_resolving(state, step, request)


def keep_resolving(
    state: state_lib.State, step: dispatch.Step, request: request_state.Request
) -> None:
    """Polls the runs of an answered request for RESOLVE_DURATION_S."""
    request.resolve_until_s = step.moment.now_s + RESOLVE_DURATION_S
    for run in request.runs:
        if run.state in (runs.OPEN, runs.REFUSED):
            runs.start_polling(state, step, request, run)
