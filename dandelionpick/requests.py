"""Life of a request on the instance that took it."""

import dataclasses

from dandelionpick import admission
from dandelionpick import caller_messages
from dandelionpick import dispatch
from dandelionpick import drain
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import lanes
from dandelionpick import list_messages
from dandelionpick import peer_messages
from dandelionpick import request_state
from dandelionpick import retries
from dandelionpick import routing
from dandelionpick import state as state_lib


@dataclasses.dataclass(frozen=True, slots=True)
class TaskStarted:
    """Context of a start sent to an executor."""

    name: request_state.RequestName
    target: ids.InstanceId
    task_id: ids.TaskId


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
    hops: int = 0,
) -> None:
    """Takes a request that passed `hops` instances, or joins its key's."""
    name = (message.organisation, message.key)
    digest = executor_messages.digest_of(message.body)
    known = state.requests.by_name.get(name)
    if known is not None:
        join(state, step, known, digest, exchange_id)
        return
    problem = check(state, step, message)
    if problem is not None:
        refuse(step, message, problem, exchange_id, hops)
        return
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
        waiting=[exchange_id],
        hops=hops,
    )
    decision = admission.decide(state, name, request, now_s)
    if decision.problem is not None:
        refuse(step, message, decision.problem, exchange_id, hops)
        return
    if decision.displaced is not None:
        displace(state, step, decision.displaced, admission.displaced())
    state.requests.by_name[name] = request
    lanes.enqueue(state, name, request)
    if decision.offered:
        state.routing.offers.append(name)
    dispatch_queued(state, step)


def refuse(
    step: dispatch.Step,
    message: caller_messages.SubmitRequest,
    problem: errors.Problem,
    exchange_id: ids.ExchangeId,
    hops: int,
) -> None:
    """Answers a submission that is not taken, to a caller or to a peer."""
    step.count("refusals_total", problem.kind.value)
    if hops:
        step.respond(exchange_id, peer_messages.Refused(problem))
    else:
        step.respond(exchange_id, refusal(message, problem))


def displace(
    state: state_lib.State,
    step: dispatch.Step,
    name: request_state.RequestName,
    problem: errors.Problem,
) -> None:
    """Refuses a queued request that was never sent.

    Its record is dropped, so that the caller can submit the key again.
    """
    request = state.requests.by_name.pop(name)
    lanes.withdraw(state, name)
    step.count("refusals_total", problem.kind.value)
    finish(step, request, refusal(request.submission, problem))


def join(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    digest: str,
    exchange_id: ids.ExchangeId,
) -> None:
    """Answers a resubmission with the answer of the first submission."""
    if digest != request.digest:
        problem = errors.Problem(
            errors.ProblemKind.KEY_REUSED,
            "The key was submitted before with another body.",
            "Use a new key for a new request.",
        )
        step.respond(exchange_id, refusal(request.submission, problem))
        return
    if request.answer is not None:
        step.respond(exchange_id, request.answer)
        return
    request.waiting.append(exchange_id)


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
    organisation = state.configuration.organisations.get(message.organisation)
    if organisation is None:
        return errors.Problem(
            errors.ProblemKind.UNKNOWN_ORGANISATION,
            f'Organisation "{message.organisation}" does not exist.',
            "Check the name, or ask the operators to create it in the tree.",
        )
    if message.job_class not in organisation.classes:
        return errors.Problem(
            errors.ProblemKind.UNKNOWN_CLASS,
            f'Organisation "{message.organisation}" has no job class'
            f' "{message.job_class}".',
            "Use one of: " + ", ".join(sorted(organisation.classes)) + ".",
        )
    return None


def refusal(
    message: caller_messages.SubmitRequest, problem: errors.Problem
) -> caller_messages.Answer:
    """Builds the answer to a submission for which nothing was started."""
    first = message.attempt == 1
    return caller_messages.Answer(
        organisation=message.organisation,
        key=message.key,
        outcome=kinds.Outcome.NOT_RUN if first else kinds.Outcome.UNKNOWN,
        problem=problem,
    )


def dispatch_queued(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts queued requests while executors have free slots."""
    now_s = step.moment.now_s
    while chosen := lanes.take_next(state, now_s, step.moment.draw):
        start(state, step, *chosen)


def start(
    state: state_lib.State,
    step: dispatch.Step,
    name: request_state.RequestName,
    request: request_state.Request,
    entry: list_messages.InstanceEntry,
) -> None:
    """Sends a request to an executor."""
    request.phase = request_state.Phase.RUNNING
    request.runs += 1
    request.sent = True
    request.target = entry.id
    submission = request.submission
    task_id = task_id_of(submission, request.runs)
    routing.note_start(state, entry, name, request, task_id, step.moment.now_s)
    message = executor_messages.StartTask(
        task_id=task_id,
        labels=executor_messages.TaskLabels(
            submission.organisation,
            submission.job_class,
            submission.key,
            request.runs,
        ),
        body=submission.body,
        start_deadline_ms=request.deadline_ms,
    )
    destination = effects.Destination(
        kinds.Service.EXECUTOR, entry.id, entry.address
    )
    step.trace = request.trace
    dispatch.call(
        state,
        step,
        destination,
        message,
        TaskStarted(name, entry.id, task_id),
        request.deadline_s - step.moment.now_s,
    )


def task_id_of(
    submission: caller_messages.SubmitRequest, run: int
) -> ids.TaskId:
    """Derives the task id of a run from the request's key."""
    text = f"{submission.organisation}/{submission.key}"
    return ids.TaskId(
        f"{executor_messages.digest_of(text.encode())[:32]}-{run}"
    )


@dispatch.returned.register
def _(
    context: TaskStarted,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    routing.note_reply(state, step, context.target, context.task_id, reply)
    request = state.requests.by_name.get(context.name)
    if request is not None and request.answer is None:
        if isinstance(reply, executor_messages.TaskResult):
            complete(state, step, request, reply, context)
        else:
            requeue(state, context, request)
    dispatch_queued(state, step)


@dispatch.failed.register
def _(
    context: TaskStarted,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    routing.note_failure(state, step, context.target, context.task_id)
    request = state.requests.by_name.get(context.name)
    if request is not None and request.answer is None:
        retry(state, step, context, request, failure)
    dispatch_queued(state, step)


def requeue(
    state: state_lib.State,
    context: TaskStarted,
    request: request_state.Request,
) -> None:
    """Queues a request again that an executor refused."""
    request.tried.append(context.target)
    if not routing.has_run(state, context.name):
        request.phase = request_state.Phase.QUEUED
        lanes.enqueue(state, context.name, request)


def retry(
    state: state_lib.State,
    step: dispatch.Step,
    context: TaskStarted,
    request: request_state.Request,
    failure: kinds.CallFailure = kinds.CallFailure.LOST,
) -> None:
    """Tries a request again whose task was lost or failed.

    A request that has another task in progress, a hedge, waits for that.
    """
    request.tried.append(context.target)
    lost = failure is kinds.CallFailure.LOST
    request.failures += lost
    if not routing.has_run(state, context.name):
        price = 1.0 if lost else retries.NOT_SENT_PRICE
        try_again(state, step, context.name, request, price)


def try_again(
    state: state_lib.State,
    step: dispatch.Step,
    name: request_state.RequestName,
    request: request_state.Request,
    price: float = 1.0,
) -> None:
    """Queues a request for another try, or gives up after too many."""
    request.phase = request_state.Phase.QUEUED
    now_s = step.moment.now_s
    draw = step.moment.draw
    if not retries.schedule(state, name, request, now_s, draw, price):
        finish(step, request, retries.lost(request))


def complete(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    result: executor_messages.TaskResult,
    context: TaskStarted,
) -> None:
    """Answers a request with the executor's result.

    The first failed task of an idempotent request is tried on another
    executor, which tells a failing executor from a failing job.
    """
    again = request.job_class.idempotent and not request.failures
    whole = executor_messages.is_whole(result, context.task_id)
    if not whole or (again and not result.succeeded):
        retry(state, step, context, request)
        return
    answer = caller_messages.Answer(
        organisation=request.submission.organisation,
        key=request.submission.key,
        outcome=kinds.Outcome.COMPLETED,
        body=result.body,
        length=result.length,
        digest=result.digest,
    )
    finish(step, request, answer)


def finish(
    step: dispatch.Step,
    request: request_state.Request,
    answer: caller_messages.Answer,
) -> None:
    """Records the answer and sends it to every waiting exchange."""
    request.answer = answer
    request.phase = request_state.Phase.DONE
    request.done_s = step.moment.now_s
    for exchange_id in request.waiting:
        step.respond(exchange_id, answer)
    request.waiting.clear()


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Ends requests whose deadline passed, drops old answers, dispatches."""
    now_s = step.moment.now_s
    for name, request in list(state.requests.by_name.items()):
        if request.answer is None and now_s >= request.deadline_s:
            expire(state, step, name, request)
        elif (
            request.answer is not None
            and now_s - request.done_s > state.limits.answer_retention_s
        ):
            del state.requests.by_name[name]
    dispatch_queued(state, step)


def expire(
    state: state_lib.State,
    step: dispatch.Step,
    name: request_state.RequestName,
    request: request_state.Request,
) -> None:
    """Answers a request whose deadline has passed."""
    if request.phase is request_state.Phase.QUEUED:
        lanes.withdraw(state, name)
    proved = not request.sent and request.submission.attempt == 1
    problem = errors.Problem(
        errors.ProblemKind.DEADLINE_PASSED,
        "The request had no answer by its deadline.",
        "Fetch the answer later, or submit the key again with a higher"
        " attempt.",
    )
    answer = caller_messages.Answer(
        organisation=request.submission.organisation,
        key=request.submission.key,
        outcome=kinds.Outcome.NOT_RUN if proved else kinds.Outcome.UNKNOWN,
        problem=problem,
    )
    finish(step, request, answer)
