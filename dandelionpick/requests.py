"""Lifecycle of a request on the instance that accepted it."""

from dandelionpick import admission
from dandelionpick import caller_messages
from dandelionpick import claimed_requests
from dandelionpick import dispatch
from dandelionpick import errors
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import lanes
from dandelionpick import list_messages
from dandelionpick import outcomes
from dandelionpick import peer_messages
from dandelionpick import problems
from dandelionpick import progress
from dandelionpick import request_checks
from dandelionpick import request_queue
from dandelionpick import request_state
from dandelionpick import routing
from dandelionpick import runs
from dandelionpick import state as state_lib
from dandelionpick import submission_checks

# After these replies the start may still occupy a slot.
SLOT_HELD_REPLIES = (
    executor_messages.TaskRunning,
    executor_messages.TaskUnknown,
)


@dispatch.on_message.register
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
    lost_calls: int = 0,
) -> None:
    """Accepts a request, or joins the one that already has its key.

    Args:
        state: the reducer's state.
        step: the current step.
        message: the submission.
        exchange_id: the exchange to answer.
        hops: instances that forwarded the request.
        lost_calls: runs and forwards whose reply these have lost.
    """
    name = (message.organisation, message.key)
    digest = executor_messages.digest_of(message.body)
    known = state.requests.by_name.get(name)
    if known is not None and not may_run_again(known, message, digest):
        join_existing(state, step, known, message, digest, exchange_id)
        return
    problem = submission_problem(state, step, message)
    if problem is not None:
        refuse(step, message, problem, exchange_id, hops)
        return
    request = new_request(state, step, message, digest)
    request.hops = hops
    request.lost_calls = lost_calls
    if known is not None:
        request.runs = known.runs
        request.runs_created = known.runs_created
        request.may_have_run_elsewhere = known.may_have_run_elsewhere
    if known is not None or claimed_requests.must_read_claim_first(
        request, step
    ):
        register(state, step, request, exchange_id)
        resume_or_queue(state, step, request)
    else:
        admit(state, step, request, exchange_id)


def resume_or_queue(
    state: state_lib.State, step: dispatch.Step, request: request_state.Request
) -> None:
    """Looks for an earlier run of the key before the request is queued."""
    if claimed_requests.must_read_claim_first(request, step):
        claimed_requests.read_claim(state, step, request)
    elif not progress.resume_open_runs(state, step, request):
        request_queue.enqueue(state, request)
        dispatch_queued(state, step)


def admit(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    exchange_id: ids.ExchangeId,
) -> None:
    """Queues a new request, or refuses it under overload."""
    name = request.name()
    decision = admission.decide(state, name, request, step.moment.now_s)
    if decision.problem is not None:
        message = request.submission
        refuse(step, message, decision.problem, exchange_id, request.hops)
        return
    if decision.displaced is not None:
        displace(state, step, decision.displaced, admission.displaced())
    register(state, step, request, exchange_id)
    request_queue.enqueue(state, request)
    if decision.forward_candidate:
        state.routing.forward_candidates.append(name)
    dispatch_queued(state, step)


def refuse(
    step: dispatch.Step,
    message: caller_messages.SubmitRequest,
    problem: errors.Problem,
    exchange_id: ids.ExchangeId,
    hops: int,
) -> None:
    """Refuses a submission of a caller or of a peer."""
    step.count("refusals_total", problem.kind.value)
    if hops:
        step.respond(exchange_id, peer_messages.Refused(problem))
    else:
        step.respond(exchange_id, outcomes.refusal_answer(message, problem))


def displace(
    state: state_lib.State,
    step: dispatch.Step,
    name: request_state.RequestName,
    problem: errors.Problem,
) -> None:
    """Refuses a queued request that was never sent."""
    step.count("refusals_total", problem.kind.value)
    request = state.requests.by_name[name]
    outcomes.end_without_result(state, step, request, problem)


def register(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    exchange_id: ids.ExchangeId,
) -> None:
    """Registers a request, which is certain to be answered from now on."""
    state.requests.by_name[request.name()] = request
    state.requests.unanswered[request.name()] = request
    await_answer(step, request, request.submission, exchange_id)


def new_request(
    state: state_lib.State,
    step: dispatch.Step,
    message: caller_messages.SubmitRequest,
    digest: str,
) -> request_state.Request:
    """Builds the state of a new request without registering it."""
    now_s = step.moment.now_s
    organisation = state.configuration.organisations[message.organisation]
    return request_state.Request(
        submission=message,
        job_class=organisation.classes[message.job_class],
        digest=digest,
        received_s=now_s,
        deadline_s=now_s + message.deadline_s,
        deadline_ms=step.moment.unix_ms + int(message.deadline_s * 1000),
        trace=step.trace,
    )


def await_answer(
    step: dispatch.Step,
    request: request_state.Request,
    message: caller_messages.SubmitRequest,
    exchange_id: ids.ExchangeId,
) -> None:
    """Holds the exchange until the answer, or answers `pending` at once."""
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
    """Returns whether a submission is a retry of one that had no result."""
    if known.answer is None or known.key_not_run or digest != known.digest:
        return False
    if known.answer.outcome is kinds.Outcome.COMPLETED:
        return False
    return message.attempt > known.submission.attempt


def join_existing(
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
        answer = outcomes.refusal_answer(message, problem, proved=False)
        step.respond(exchange_id, answer)
    elif request.answer is not None:
        answer = outcomes.answer_for_attempt(
            request, request.answer, message.attempt
        )
        step.respond(exchange_id, answer)
    else:
        await_answer(step, request, message, exchange_id)


def submission_problem(
    state: state_lib.State,
    step: dispatch.Step,
    message: caller_messages.SubmitRequest,
) -> errors.Problem | None:
    """Returns why a request can't be accepted, or None."""
    return submission_checks.leaving_problem(
        state, step.moment.now_s
    ) or request_checks.submission_problem(state, message, step.moment.unix_ms)


def dispatch_queued(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts queued requests while executors have free slots."""
    now_s = step.moment.now_s
    while chosen := lanes.take_next(state, now_s, step.moment.random_value):
        start(state, step, *chosen)


def start(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    entry: list_messages.InstanceEntry,
) -> None:
    """Sends a request to an executor, after its claim if it needs one."""
    if step.moment.now_s >= request.deadline_s:
        progress.expire(state, step, request)
        return
    if not request.job_class.idempotent:
        claimed_requests.begin_claim(state, step, request, entry)
        return
    load = runs.reserve_slot(state, entry)
    run = reuse_refused_run(request, entry, load.incarnation)
    if run is None:
        request.runs_created += 1
        task_id = task_id_of(request, request.runs_created)
        run = request_state.Run(
            entry.id, task_id, load.incarnation, request.deadline_ms
        )
        request.runs.append(run)
    runs.send(state, step, request, run, entry)


def reuse_refused_run(
    request: request_state.Request,
    entry: list_messages.InstanceEntry,
    incarnation: ids.Incarnation,
) -> request_state.Run | None:
    """Reopens and returns a run that the executor refused, if there is one.

    Otherwise a request that waits under overload would accumulate a run for
    each refusal.
    """
    for run in request.runs:
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


@dispatch.on_reply.register
def _(
    context: runs.TaskStarted,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    run = context.run
    runs.release_run_slot(state, run)
    runs.record_reply(state, step, run.target, reply)
    routing.record_reply(state, step, run.target, run.task_id, reply)
    request = runs.newest_request(state, context.request, run)
    progress.handle_reply(state, step, request, run, reply)
    dispatch_queued(state, step)


@dispatch.on_reply.register
def _(
    context: runs.TaskQueried,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    run = context.run
    run.query_in_flight = False
    runs.record_reply(state, step, run.target, reply)
    if not isinstance(reply, SLOT_HELD_REPLIES):
        runs.release_run_slot(state, run)
        routing.record_reply(state, step, run.target, run.task_id, reply)
    request = runs.newest_request(state, context.request, run)
    progress.handle_reply(state, step, request, run, reply)
    dispatch_queued(state, step)


@dispatch.on_failure.register
def _(
    context: runs.TaskStarted,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    run = context.run
    request = runs.newest_request(state, context.request, run)
    if failure is kinds.CallFailure.NOT_SENT:
        runs.release_run_slot(state, run)
    elif request.answer is not None:
        runs.untrack(state, run)
    if run.state is runs.OPEN:
        if failure is kinds.CallFailure.NOT_SENT and not run.resent:
            routing.record_failure(state, step, run.target, run.task_id)
            progress.back_off(state, step, run, progress.UNREACHABLE_BACKOFF_S)
            progress.close_run(state, step, request, run, runs.NOT_RUN)
        elif request.answer is None:
            runs.start_polling(state, step, request, run)
    dispatch_queued(state, step)


@dispatch.on_failure.register
def _(
    context: runs.TaskQueried,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    run = context.run
    request = runs.newest_request(state, context.request, run)
    run.query_in_flight = False
    run.next_query_s = step.moment.now_s + runs.POLL_PERIOD_S
    runs.release_run_slot(state, run)
    routing.record_failure(state, step, run.target, run.task_id)
    if request.answer is None and request.job_class.idempotent:
        progress.back_off(state, step, run, progress.UNREACHABLE_BACKOFF_S)
        if not request.cancelled:
            runs.stop_polling(state, run)
        request.lost_calls += 1
        progress.retry(state, step, request, run)
    dispatch_queued(state, step)


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Expires requests, evicts answers, polls runs and starts requests."""
    now_s = step.moment.now_s
    for request in list(state.requests.unanswered.values()):
        if now_s >= request.deadline_s:
            progress.expire(state, step, request)
        elif now_s >= request.deadline_s - progress.TOMBSTONE_LEAD_S:
            progress.tombstone_refused_runs(state, step, request)
    outcomes.evict_answers(state, now_s)
    runs.tick(state, step)
    dispatch_queued(state, step)
