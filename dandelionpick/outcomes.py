"""Answers of requests: their outcome, recipients and retention."""

import msgspec

from dandelionpick import caller_messages
from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import problems
from dandelionpick import request_queue
from dandelionpick import request_state
from dandelionpick import state as state_lib

# Memory of a retained request in addition to the body of its answer.
ANSWER_OVERHEAD_BYTES = 1_000


def refusal_answer(
    message: caller_messages.SubmitRequest,
    problem: errors.Problem,
    proved: bool = True,
) -> caller_messages.Answer:
    """Builds the answer to a submission for which nothing was started.

    Args:
        message: the submission.
        problem: why it was refused.
        proved: whether it is certain that this submission was not run.
    """
    first = message.attempt == 1 and proved
    return caller_messages.Answer(
        organisation=message.organisation,
        key=message.key,
        outcome=kinds.Outcome.NOT_RUN if first else kinds.Outcome.UNKNOWN,
        problem=problem,
    )


def is_proved_not_run(request: request_state.Request) -> bool:
    """Returns whether no start for the request ran or ever can."""
    if request.key_not_run:
        return True
    return not request.may_have_run_elsewhere and not request.runs


def end_without_result(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    problem: errors.Problem,
) -> None:
    """Answers `not_run` if that is proved, else `unknown`."""
    proved = is_proved_not_run(request)
    submission = request.submission
    answer = caller_messages.Answer(
        organisation=submission.organisation,
        key=submission.key,
        outcome=kinds.Outcome.NOT_RUN if proved else kinds.Outcome.UNKNOWN,
        problem=problem,
    )
    finish(state, step, request, answer)


def answer_for_attempt(
    request: request_state.Request,
    answer: caller_messages.Answer,
    attempt: int,
) -> caller_messages.Answer:
    """Returns the answer that holds for one submission of the key.

    A later submission gets `not_run` only if no submission of the key ran,
    because an earlier one may have run elsewhere.
    """
    if answer.outcome is not kinds.Outcome.NOT_RUN:
        return answer
    if attempt == 1 or request.key_not_run:
        return answer
    return msgspec.structs.replace(answer, outcome=kinds.Outcome.UNKNOWN)


def completed_answer(
    organisation: ids.OrganisationId,
    key: ids.RequestKey,
    result: executor_messages.TaskResult,
) -> caller_messages.Answer:
    """Builds the answer from an intact result."""
    return caller_messages.Answer(
        organisation=organisation,
        key=key,
        outcome=kinds.Outcome.COMPLETED,
        body=result.body,
        length=result.length,
        digest=result.digest,
        problem=None if result.succeeded else problems.task_failed(),
    )


def finish(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    answer: caller_messages.Answer,
) -> None:
    """Records the answer and sends it to every waiting exchange."""
    submission = request.submission
    requests = state.requests
    request.answer = answer_for_attempt(request, answer, submission.attempt)
    request_queue.withdraw(state, request)
    request.phase = request_state.Phase.DONE
    request.done_s = step.moment.now_s
    for exchange_id in request.waiting:
        attempt = request.attempts.get(exchange_id, submission.attempt)
        step.respond(exchange_id, answer_for_attempt(request, answer, attempt))
    request.waiting.clear()
    request.attempts.clear()
    # The digest is enough to recognise the key's body from now on.
    request.submission = msgspec.structs.replace(submission, body=b"")
    requests.unanswered.pop(request.name(), None)
    _record_metrics(step, request)
    requests.done.append(request)
    requests.answer_bytes += retained_bytes(request)
    evict_answers(state, step.moment.now_s)


def _record_metrics(
    step: dispatch.Step, request: request_state.Request
) -> None:
    step.count("requests_total", request.answer.outcome.value)
    elapsed_s = request.done_s - request.received_s
    labels = (request.submission.job_class,)
    step.emit(effects.Observe("request_seconds", elapsed_s, labels))


def revise_answer(
    state: state_lib.State,
    request: request_state.Request,
    answer: caller_messages.Answer,
) -> None:
    """Replaces a retained `unknown` by an outcome that was proved later."""
    if state.requests.by_name.get(request.name()) is not request:
        return
    state.requests.answer_bytes -= retained_bytes(request)
    request.answer = answer_for_attempt(
        request, answer, request.submission.attempt
    )
    state.requests.answer_bytes += retained_bytes(request)


def retained_bytes(request: request_state.Request) -> int:
    """Returns the bytes that a retained request is counted as."""
    return len(request.answer.body) + ANSWER_OVERHEAD_BYTES


def evict_answers(state: state_lib.State, now_s: float) -> None:
    """Evicts answers that are past retention or over the byte limit."""
    requests = state.requests
    limits = state.limits
    while requests.done:
        oldest = requests.done[0]
        old = now_s - oldest.done_s > limits.answer_retention_s
        if not old and requests.answer_bytes <= limits.max_answer_bytes:
            return
        requests.done.popleft()
        requests.answer_bytes -= retained_bytes(oldest)
        if requests.by_name.get(oldest.name()) is oldest:
            del requests.by_name[oldest.name()]


def local_answer(
    state: state_lib.State,
    organisation: ids.OrganisationId,
    key: ids.RequestKey,
) -> caller_messages.Answer | None:
    """Returns the answer in this instance's memory, or None."""
    known = state.requests.by_name.get((organisation, key))
    if known is None:
        return None
    return known.answer or caller_messages.Answer(
        organisation=organisation, key=key, outcome=kinds.Outcome.PENDING
    )


def unknown_answer(
    organisation: ids.OrganisationId,
    key: ids.RequestKey,
    problem: errors.Problem,
) -> caller_messages.Answer:
    """Builds an answer with an unknown outcome."""
    return caller_messages.Answer(
        organisation=organisation,
        key=key,
        outcome=kinds.Outcome.UNKNOWN,
        problem=problem,
    )
