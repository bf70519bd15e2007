"""Cancels requests, with tombstones that outlive the answer.

Non-idempotent work is cancelled through its claim: a claim in state `not_run`
prevents every instance from starting the key. An idempotent request is
cancelled on the instance that accepted it, with tombstones on the executors
that were sent a start. The answer is `not_run` only if the request can no
longer run, `completed` if it ran, and `pending` while it runs.
"""

import dataclasses

import msgspec

from dandelionpick import caller_messages
from dandelionpick import claim_answers
from dandelionpick import claim_state
from dandelionpick import claims
from dandelionpick import dispatch
from dandelionpick import errors
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import lookup
from dandelionpick import outcomes
from dandelionpick import problems
from dandelionpick import progress
from dandelionpick import request_checks
from dandelionpick import request_queue
from dandelionpick import request_state
from dandelionpick import runs
from dandelionpick import state as state_lib

CLAIM_TIMEOUT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cancellation:
    """Cancellation of a key through its claim.

    Attributes:
        known_exclusive: whether the key is known to be non-idempotent work.
    """

    message: caller_messages.CancelRequest
    exchange_id: ids.ExchangeId
    known_exclusive: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TombstoneClaimed:
    """Context of the write of a claim in state NOT_RUN."""

    cancellation: Cancellation


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCancelled:
    """Context of the tombstone for the task of a claim."""

    cancellation: Cancellation
    record: claim_state.ClaimRecord


@dispatch.on_message.register
def _(
    message: caller_messages.CancelRequest,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    problem = request_checks.key_problem(message.key)
    if problem is not None:
        respond(step, message, exchange_id, kinds.Outcome.UNKNOWN, problem)
        return
    known = state.requests.by_name.get((message.organisation, message.key))
    done = known is not None and known.answer is not None
    if done and known.answer.outcome is kinds.Outcome.COMPLETED:
        step.respond(exchange_id, known.answer)
        return
    if known is not None and known.job_class.idempotent:
        cancel_local(state, step, known, exchange_id)
    elif ids.key_timestamp_ms(message.key) is not None:
        proved = known is not None or names_exclusive_class(state, message)
        cancellation = Cancellation(message, exchange_id, proved)
        write_tombstone(state, step, cancellation, None)
    else:
        lookup.start_lookup(state, step, message, exchange_id, 0.0)


def names_exclusive_class(
    state: state_lib.State, message: caller_messages.CancelRequest
) -> bool:
    """Returns whether the caller gave a class that is not idempotent."""
    organisation = state.configuration.organisations.get(message.organisation)
    if organisation is None:
        return False
    job_class = organisation.classes.get(message.job_class)
    return job_class is not None and not job_class.idempotent


def cancel_local(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    exchange_id: ids.ExchangeId,
) -> None:
    """Cancels an idempotent request that this instance accepted."""
    if request.answer is not None:
        step.respond(exchange_id, request.answer)
        return
    request.cancelled = True
    request.waiting.append(exchange_id)
    request_queue.withdraw(state, request)
    for run in request.runs:
        if run.state in (runs.OPEN, runs.REFUSED):
            run.tombstone = True
            runs.start_polling(state, step, request, run)
    progress.finish_if_cancelled(state, step, request)


def write_tombstone(
    state: state_lib.State,
    step: dispatch.Step,
    cancellation: Cancellation,
    expected: claim_state.ClaimRecord | None,
) -> None:
    """Writes a claim that prevents the key from being started."""
    message = cancellation.message
    final = {
        "state": claim_state.ClaimState.NOT_RUN,
        "final_ms": step.moment.unix_ms,
    }
    if expected is None:
        record = claims.new_record(
            state,
            message.organisation,
            message.key,
            "",
            exclusive=cancellation.known_exclusive,
            **final,
        )
    else:
        record = claim_state.with_fields(expected, **final)
    claims.claim(
        state,
        step,
        record,
        TombstoneClaimed(cancellation),
        timeout_s=CLAIM_TIMEOUT_S,
        expected=expected,
    )


@claims.handle_result.register
def _(
    context: TombstoneClaimed,
    state: state_lib.State,
    step: dispatch.Step,
    result: claims.ClaimResult,
) -> None:
    cancellation = context.cancellation
    record = result.record
    if result.status is claims.ClaimStatus.UNAVAILABLE:
        problem = problems.store_unavailable()
        answer_unknown(step, cancellation, problem)
    elif record is None:
        write_tombstone(state, step, cancellation, None)
    elif record.state is claim_state.ClaimState.NOT_RUN:
        answer_not_run(state, step, cancellation, record)
    elif record.body is not None:
        reply = claim_answers.completed_answer(record)
        step.respond(cancellation.exchange_id, reply)
    elif record.target:
        cancel_task(state, step, cancellation, record)
    else:
        answer_unknown(step, cancellation, problems.key_of_job())


def answer_not_run(
    state: state_lib.State,
    step: dispatch.Step,
    cancellation: Cancellation,
    record: claim_state.ClaimRecord,
) -> None:
    """Answers a cancel once the claim is in state `not_run`.

    A claim does not prevent an idempotent request from running, so the answer
    is `not_run` only if the class is known: from this instance's own request,
    from the caller, or from an earlier claim of the key.
    """
    problem = problems.cancelled()
    if not (cancellation.known_exclusive or claim_answers.is_exclusive(record)):
        answer_unknown(step, cancellation, problem)
        return
    message = cancellation.message
    name = (message.organisation, message.key)
    known = state.requests.by_name.get(name)
    if known is not None and not known.job_class.idempotent:
        known.key_not_run = True
        if known.answer is None:
            outcomes.end_without_result(state, step, known, problem)
        else:
            revised = msgspec.structs.replace(
                known.answer, outcome=kinds.Outcome.NOT_RUN, problem=problem
            )
            outcomes.revise_answer(state, known, revised)
    exchange_id = cancellation.exchange_id
    respond(step, message, exchange_id, kinds.Outcome.NOT_RUN, problem)


def cancel_task(
    state: state_lib.State,
    step: dispatch.Step,
    cancellation: Cancellation,
    record: claim_state.ClaimRecord,
) -> None:
    """Places a tombstone for the task of a claim."""
    entry = state.members.entries.get(record.target)
    if entry is None:
        answer_unknown(step, cancellation, problems.target_lost())
        return
    dispatch.call(
        state,
        step,
        runs.destination_of(entry),
        executor_messages.CancelTask(record.task_id),
        TaskCancelled(cancellation, record),
        runs.QUERY_TIMEOUT_S,
    )


@dispatch.on_reply.register
def _(
    context: TaskCancelled,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    cancellation, record = context.cancellation, context.record
    run = claim_answers.run_from_claim(record)
    proved = runs.classify_reply(run, reply, step.moment.unix_ms)
    message = cancellation.message
    if proved is runs.NOT_RUN:
        write_tombstone(state, step, cancellation, record)
    elif proved is runs.RAN:
        step.respond(
            cancellation.exchange_id,
            outcomes.completed_answer(message.organisation, message.key, reply),
        )
    elif proved is runs.OPEN:
        exchange_id = cancellation.exchange_id
        respond(step, message, exchange_id, kinds.Outcome.PENDING, None)
    else:
        answer_unknown(step, cancellation, problems.target_lost())


@dispatch.on_failure.register
def _(
    context: TaskCancelled,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    answer_unknown(step, context.cancellation, problems.executor_unreachable())


def answer_unknown(
    step: dispatch.Step, cancellation: Cancellation, problem: errors.Problem
) -> None:
    """Answers a cancel that could not determine the outcome."""
    message, exchange_id = cancellation.message, cancellation.exchange_id
    respond(step, message, exchange_id, kinds.Outcome.UNKNOWN, problem)


def respond(
    step: dispatch.Step,
    message: caller_messages.CancelRequest,
    exchange_id: ids.ExchangeId,
    outcome: kinds.Outcome,
    problem: errors.Problem | None,
) -> None:
    """Answers a cancel without any output of the task."""
    step.respond(
        exchange_id,
        caller_messages.Answer(
            organisation=message.organisation,
            key=message.key,
            outcome=outcome,
            problem=problem,
        ),
    )
