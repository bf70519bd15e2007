"""Consequences of what executors reply about the runs of a request."""

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
# A failed task may be the executor's fault; a second executor decides.
MAX_FAILED_RUNS = 2
# Refused starts get tombstones this long before the deadline, so that the
# answer at the deadline can say that the request was not run.
SETTLE_S = 0.25
MAX_SETTLED_RUNS = 8
RESOLVE_S = 30.0


def resume(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
) -> bool:
    """Waits for the open run of an earlier submission, if there is one."""
    running = [run for run in request.starts if run.state is runs.OPEN]
    if not running or not request.job_class.idempotent:
        return False
    request.phase = request_state.Phase.RUNNING
    request.current = running[-1]
    for run in running:
        runs.follow(state, step, request, run)
    return True


def back_off(
    state: state_lib.State,
    step: dispatch.Step,
    run: request_state.Run,
    delay_s: float,
) -> None:
    """Leaves an executor alone for a moment."""
    load = state.requests.load.get(run.target)
    if load is not None:
        load.busy_until_s = step.moment.now_s + delay_s


def learn(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
    reply: executor_messages.TaskReply,
) -> None:
    """Draws the consequences of an executor's reply about a run."""
    if run.state in (runs.NOT_RUN, runs.RAN):
        return
    proved = runs.judge(run, reply, step.moment.unix_ms)
    if proved is runs.RAN:
        run.state = runs.RAN
        runs.unfollow(state, run)
        complete(state, step, request, run, reply)
    elif proved is runs.REFUSED:
        refuse(state, step, request, run)
    elif proved is None:
        lose(state, step, request, run)
    elif proved is not runs.OPEN:
        close(state, step, request, run, proved)
    elif request.answer is None or run in state.requests.followed:
        runs.follow(state, step, request, run, runs.ASK_PERIOD_S)
        if isinstance(reply, executor_messages.TaskUnknown):
            resend(state, step, request, run)


def refuse(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
) -> None:
    """Uses another executor after a refusal.

    A non-idempotent request does so only when a tombstone has made the
    refusal final: a second copy of the start may still be on its way.
    """
    run.state = runs.REFUSED
    if request.answer is not None:
        return
    if request.job_class.idempotent and not request.cancelled:
        request.tried.append(run.target)
        if request.current is run and not wait_for_hedge(state, request, run):
            request_queue.enqueue(state, request)
        return
    run.tombstone = True
    runs.follow(state, step, request, run)


def lose(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
) -> None:
    """Treats a damaged or crossed reply as a lost one."""
    if request.job_class.idempotent and request.answer is None:
        back_off(state, step, run, UNREACHABLE_BACKOFF_S)
        request.losses += 1
        retry(state, step, request, run)
    else:
        runs.follow(state, step, request, run, runs.ASK_PERIOD_S)


def resend(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
) -> None:
    """Sends a start again that its executor has not seen."""
    entry = state.members.entries.get(run.target)
    unwanted = request.answer is not None or request.cancelled
    late = step.moment.unix_ms >= run.deadline_ms
    if unwanted or late or entry is None or not run.own or run.tombstone:
        return
    if request.current is run:
        run.resent = True
        if not run.reserved:
            runs.reserve(state, entry)
        runs.send(state, step, request, run, entry)


def close(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
    proved: request_state.RunState,
) -> None:
    """Records that a run did not run, or can't be known any more."""
    run.state = proved
    runs.unfollow(state, run)
    runs.forget(state, run)
    if proved is runs.NOT_RUN and run in request.starts:
        request.starts.remove(run)
    if request.answer is not None:
        revise_if_proved(state, request)
    elif request.cancelled and request.job_class.idempotent:
        finish_if_cancelled(state, step, request)
    elif request.job_class.idempotent:
        sent = proved is not runs.NOT_RUN
        price = 1.0 if sent else retries.NOT_SENT_PRICE
        retry(state, step, request, run, price)
    else:
        claimed_requests.closed(state, step, request, run)


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
    outcomes.revise(state, request, answer)


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
    for other in request.starts:
        if other is run or other.state is not runs.OPEN:
            continue
        if other.task_id in state.routing.running:
            request.current = other
            return True
    return False


def retry(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
    price: float = 1.0,
) -> None:
    """Tries a request again after a delay, charged to the retry budget.

    Does nothing if the request does not wait for this run.
    """
    if request.current is not run or request.cancelled:
        return
    request.tried.append(run.target)
    if not wait_for_hedge(state, request, run):
        try_again(state, step, request, price)


def try_again(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    price: float = 1.0,
) -> None:
    """Schedules another try, or gives up after too many losses."""
    request.phase = request_state.Phase.QUEUED
    request.current = None
    now_s = step.moment.now_s
    draw = step.moment.draw
    if retries.schedule(state, request.name(), request, now_s, draw, price):
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
            answer = outcomes.answer_of(*request.name(), result)
            outcomes.revise(state, request, answer)
            claimed_requests.record_completion(state, step, request, result)
        return
    if not result.succeeded and request.job_class.idempotent:
        request.failures += 1
        if request.failures < MAX_FAILED_RUNS and request.current is run:
            retry(state, step, request, run)
            return
    answer = outcomes.answer_of(*request.name(), result)
    outcomes.finish(state, step, request, answer)
    claimed_requests.record_completion(state, step, request, result)


def settle(
    state: state_lib.State, step: dispatch.Step, request: request_state.Request
) -> None:
    """Leaves tombstones for refused starts shortly before the deadline."""
    refused = [run for run in request.starts if run.state is runs.REFUSED]
    if request.submission.attempt > 1 or len(refused) > MAX_SETTLED_RUNS:
        return
    for run in refused:
        if not run.tombstone:
            run.tombstone = True
            runs.follow(state, step, request, run)


def expire(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
) -> None:
    """Answers a request whose deadline has passed.

    An unknown outcome is resolved further, so that a later fetch is told what
    became of the request.
    """
    problem = problems.deadline_passed()
    outcomes.end_without_result(state, step, request, problem)
    keep_resolving(state, step, request)


def keep_resolving(
    state: state_lib.State, step: dispatch.Step, request: request_state.Request
) -> None:
    """Asks about the starts of an answered request for some time."""
    request.resolve_until_s = step.moment.now_s + RESOLVE_S
    for run in request.starts:
        if run.state in (runs.OPEN, runs.REFUSED):
            runs.follow(state, step, request, run)
