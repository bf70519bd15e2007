"""Life of a request on the instance that took it."""

from dandelionpick import caller_messages
from dandelionpick import claimed_requests
from dandelionpick import dispatch
from dandelionpick import drain
from dandelionpick import errors
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import outcomes
from dandelionpick import problems
from dandelionpick import progress
from dandelionpick import request_checks
from dandelionpick import request_queue
from dandelionpick import request_state
from dandelionpick import routing
from dandelionpick import runs
from dandelionpick import state as state_lib


@dispatch.receive.register
def _(
    message: caller_messages.SubmitRequest,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    submit(state, step, message, exchange_id)


def submit(
    state: state_lib.State,
    step: dispatch.Step,
    message: caller_messages.SubmitRequest,
    exchange_id: ids.ExchangeId,
) -> None:
    """Takes a request, or joins the one that has its key."""
    name = (message.organisation, message.key)
    digest = executor_messages.digest_of(message.body)
    known = state.requests.by_name.get(name)
    if known is not None and not may_run_again(known, message, digest):
        join(state, step, known, message, digest, exchange_id)
        return
    problem = check(state, step, message)
    if problem is not None:
        step.respond(exchange_id, outcomes.refusal(message, problem))
        return
    request = admit(state, step, message, digest)
    await_answer(step, request, message, exchange_id)
    if known is not None:
        request.starts = known.starts
        request.runs = known.runs
        request.foreign = known.foreign
    if claimed_requests.must_look_first(request, step):
        claimed_requests.look(state, step, request)
        return
    if progress.resume(state, step, request):
        return
    request_queue.enqueue(state, request)
    dispatch_queued(state, step)


def admit(
    state: state_lib.State,
    step: dispatch.Step,
    message: caller_messages.SubmitRequest,
    digest: str,
) -> request_state.Request:
    """Records a new request."""
    now_s = step.moment.now_s
    organisation = state.configuration.organisations[message.organisation]
    request = request_state.Request(
        submission=message,
        job_class=organisation.classes[message.job_class],
        digest=digest,
        received_s=now_s,
        deadline_s=now_s + message.deadline_s,
        deadline_ms=step.moment.unix_ms + int(message.deadline_s * 1000),
        trace=step.trace,
    )
    state.requests.by_name[request.name()] = request
    state.requests.unanswered[request.name()] = request
    return request


def await_answer(
    step: dispatch.Step,
    request: request_state.Request,
    message: caller_messages.SubmitRequest,
    exchange_id: ids.ExchangeId,
) -> None:
    """Keeps the exchange until the answer, or answers `pending` at once."""
    if message.wait:
        request.waiting.append(exchange_id)
        request.attempts[exchange_id] = message.attempt
        return
    pending = caller_messages.Answer(
        organisation=message.organisation,
        key=message.key,
        outcome=kinds.Outcome.PENDING,
    )
    step.respond(exchange_id, pending)


def may_run_again(
    known: request_state.Request,
    message: caller_messages.SubmitRequest,
    digest: str,
) -> bool:
    """Tells whether a submission is a retry of one that had no result."""
    if known.answer is None or known.key_not_run or digest != known.digest:
        return False
    if known.answer.outcome is kinds.Outcome.COMPLETED:
        return False
    return message.attempt > known.submission.attempt


def join(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    message: caller_messages.SubmitRequest,
    digest: str,
    exchange_id: ids.ExchangeId,
) -> None:
    """Answers a resubmission with the answer of the first submission."""
    if digest != request.digest:
        problem = problems.key_reused()
        answer = outcomes.refusal(message, problem, proved=False)
        step.respond(exchange_id, answer)
    elif request.answer is not None:
        answer = outcomes.told(request, request.answer, message.attempt)
        step.respond(exchange_id, answer)
    else:
        await_answer(step, request, message, exchange_id)


def check(
    state: state_lib.State,
    step: dispatch.Step,
    message: caller_messages.SubmitRequest,
) -> errors.Problem | None:
    """Returns why a request can't be taken, or None."""
    if drain.refuses_new_work(state, step.moment.now_s):
        return errors.Problem(
            errors.ProblemKind.LEAVING,
            "This instance is about to stop.",
            "Send the request again; the balancer will use another instance.",
        )
    return request_checks.problem_of(state, message, step.moment.unix_ms)


def dispatch_queued(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts queued requests while executors have free slots."""
    queue = state.requests.queue
    while queue:
        request = state.requests.by_name[queue[0]]
        entry = routing.choose_executor(
            state, request, step.moment.now_s, step.moment.draw
        )
        if entry is None:
            return
        name = queue.pop(0)
        start(state, step, name, request, entry)


def start(
    state: state_lib.State,
    step: dispatch.Step,
    name: request_state.RequestName,
    request: request_state.Request,
    entry: list_messages.InstanceEntry,
) -> None:
    """Sends a request to an executor, after its claim if it needs one."""
    if step.moment.now_s >= request.deadline_s:
        progress.expire(state, step, request)
        return
    if not request.job_class.idempotent:
        claimed_requests.begin(state, step, request, entry)
        return
    load = runs.reserve(state, entry)
    run = refused_run(request, entry, load.incarnation)
    if run is None:
        request.runs += 1
        task_id = task_id_of(request, request.runs)
        run = request_state.Run(
            entry.id, task_id, load.incarnation, request.deadline_ms
        )
        request.starts.append(run)
    runs.send(state, step, request, run, entry)


def refused_run(
    request: request_state.Request,
    entry: list_messages.InstanceEntry,
    incarnation: ids.Incarnation,
) -> request_state.Run | None:
    """Returns a run that the executor refused and may now be sent again.

    Without it, a request that waits under overload would collect a run for
    each refusal.
    """
    for run in request.starts:
        same = run.target == entry.id and run.incarnation == incarnation
        if same and run.state is runs.REFUSED and not run.tombstone:
            run.state = runs.OPEN
            run.resent = True
            return run
    return None


def task_id_of(request: request_state.Request, number: int) -> ids.TaskId:
    """Derives the task id of a run from the request's key and body."""
    submission = request.submission
    text = f"{submission.organisation}/{submission.key}/{request.digest}"
    return ids.TaskId(
        f"{executor_messages.digest_of(text.encode())[:32]}-{number}"
    )


@dispatch.returned.register
def _(
    context: runs.TaskStarted,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    runs.release(state, context.run.target)
    runs.heard(state, step, context.run.target, reply)
    request = runs.holder(state, context.request, context.run)
    progress.learn(state, step, request, context.run, reply)
    dispatch_queued(state, step)


@dispatch.returned.register
def _(
    context: runs.TaskAsked,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    context.run.asking = False
    runs.heard(state, step, context.run.target, reply)
    request = runs.holder(state, context.request, context.run)
    progress.learn(state, step, request, context.run, reply)
    dispatch_queued(state, step)


@dispatch.failed.register
def _(
    context: runs.TaskStarted,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    run = context.run
    request = runs.holder(state, context.request, run)
    runs.release(state, run.target)
    if run.state is runs.OPEN:
        if failure is kinds.CallFailure.NOT_SENT and not run.resent:
            progress.back_off(state, step, run, progress.UNREACHABLE_BACKOFF_S)
            progress.close(state, step, request, run, runs.NOT_RUN)
        elif request.answer is None:
            runs.follow(state, step, request, run)
    dispatch_queued(state, step)


@dispatch.failed.register
def _(
    context: runs.TaskAsked,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    run = context.run
    request = runs.holder(state, context.request, run)
    run.asking = False
    run.ask_s = step.moment.now_s + runs.ASK_PERIOD_S
    if request.answer is None and request.job_class.idempotent:
        progress.back_off(state, step, run, progress.UNREACHABLE_BACKOFF_S)
        if not request.cancelled:
            runs.unfollow(state, run)
        progress.retry(state, request, run)
    dispatch_queued(state, step)


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Ends requests whose deadline passed, drops old answers, dispatches."""
    now_s = step.moment.now_s
    for request in list(state.requests.unanswered.values()):
        if now_s >= request.deadline_s:
            progress.expire(state, step, request)
        elif now_s >= request.deadline_s - progress.SETTLE_S:
            progress.settle(state, step, request)
    outcomes.drop_old(state, now_s)
    runs.tick(state, step)
    dispatch_queued(state, step)
