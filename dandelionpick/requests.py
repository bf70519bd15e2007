"""Life of a request on the instance that took it."""

import dataclasses

from dandelionpick import caller_messages
from dandelionpick import dispatch
from dandelionpick import drain
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import request_state
from dandelionpick import routing
from dandelionpick import state as state_lib

BUSY_BACKOFF_S = 0.02


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
) -> None:
    """Takes a request, or joins the one that has its key."""
    name = (message.organisation, message.key)
    digest = executor_messages.digest_of(message.body)
    known = state.requests.by_name.get(name)
    if known is not None:
        join(state, step, known, digest, exchange_id)
        return
    problem = check(state, step, message)
    if problem is not None:
        step.respond(exchange_id, refusal(message, problem))
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
    )
    state.requests.by_name[name] = request
    state.requests.queue.append(name)
    dispatch_queued(state, step)


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
    """Sends a request to an executor."""
    request.phase = request_state.Phase.RUNNING
    request.runs += 1
    request.sent = True
    request.target = entry.id
    routing.load_of(state, entry).running += 1
    submission = request.submission
    task_id = task_id_of(submission, request.runs)
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
    load = state.requests.load[context.target]
    load.running -= 1
    load.free_slots = reply.free_slots
    load.leaving = reply.leaving
    request = state.requests.by_name.get(context.name)
    if request is not None and request.answer is None:
        if isinstance(reply, executor_messages.TaskResult):
            complete(state, step, request, reply, context.task_id)
        else:
            load.busy_until_s = step.moment.now_s + BUSY_BACKOFF_S
            retry(state, context.name, request)
    dispatch_queued(state, step)


@dispatch.failed.register
def _(
    context: TaskStarted,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    state.requests.load[context.target].running -= 1
    request = state.requests.by_name.get(context.name)
    if request is not None and request.answer is None:
        retry(state, context.name, request)
    dispatch_queued(state, step)


def retry(
    state: state_lib.State,
    name: request_state.RequestName,
    request: request_state.Request,
) -> None:
    """Puts a request back at the head of the queue."""
    request.tried.append(request.target)
    request.phase = request_state.Phase.QUEUED
    state.requests.queue.insert(0, name)


def complete(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    result: executor_messages.TaskResult,
    task_id: ids.TaskId,
) -> None:
    """Answers a request with the executor's result."""
    if not executor_messages.is_whole(result, task_id):
        name = (request.submission.organisation, request.submission.key)
        retry(state, name, request)
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
        state.requests.queue.remove(name)
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
