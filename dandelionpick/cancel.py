"""Cancels requests, with a tombstone that outlasts the answer.

Non-idempotent work is cancelled through its claim: a claim in state `not_run`
keeps every instance from starting the key. An idempotent request is cancelled
on the instance that has it, with tombstones on the executors that were sent a
start. The answer is `not_run` only if the request can't run any more,
`completed` if it ran, `pending` while it runs.
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
    """One cancel of a key through its claim.

    Attributes:
        proved: whether the key is known to name non-idempotent work.
    """

    message: caller_messages.CancelRequest
    exchange_id: ids.ExchangeId
    proved: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TombstoneClaimed:
    """Context of a claim in state NOT_RUN."""

    cancellation: Cancellation


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCancelled:
    """Context of a tombstone for the task that a claim names."""

    cancellation: Cancellation
    record: claim_state.ClaimRecord


@dispatch.receive.register
def _(
    message: caller_messages.CancelRequest,
    state: state_lib.State,
    step: dispatch.Step,
    exchange_id: ids.ExchangeId,
) -> None:
    problem = request_checks.problem_of_key(message.key)
    if problem is not None:
        answer(step, message, exchange_id, kinds.Outcome.UNKNOWN, problem)
        return
    known = state.requests.by_name.get((message.organisation, message.key))
    done = known is not None and known.answer is not None
    if done and known.answer.outcome is kinds.Outcome.COMPLETED:
        step.respond(exchange_id, known.answer)
        return
    if known is not None and known.job_class.idempotent:
        cancel_own(state, step, known, exchange_id)
    elif ids.key_time_ms(message.key) is not None:
        proved = known is not None or names_exclusive_class(state, message)
        cancellation = Cancellation(message, exchange_id, proved)
        write_tombstone(state, step, cancellation, None)
    else:
        lookup.begin(state, step, message, exchange_id, 0.0)


def names_exclusive_class(
    state: state_lib.State, message: caller_messages.CancelRequest
) -> bool:
    """Returns whether the caller named a class that is not idempotent."""
    organisation = state.configuration.organisations.get(message.organisation)
    if organisation is None:
        return False
    job_class = organisation.classes.get(message.job_class)
    return job_class is not None and not job_class.idempotent


def cancel_own(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    exchange_id: ids.ExchangeId,
) -> None:
    """Cancels an idempotent request that this instance took."""
    if request.answer is not None:
        step.respond(exchange_id, request.answer)
        return
    request.cancelled = True
    request.waiting.append(exchange_id)
    request_queue.withdraw(state, request)
    for run in request.starts:
        if run.state in (runs.OPEN, runs.REFUSED):
            run.tombstone = True
            runs.follow(state, step, request, run)
    progress.finish_if_cancelled(state, step, request)


def write_tombstone(
    state: state_lib.State,
    step: dispatch.Step,
    cancellation: Cancellation,
    expected: claim_state.ClaimRecord | None,
) -> None:
    """Writes a claim that keeps the key from being started."""
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
            exclusive=cancellation.proved,
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


@claims.decided.register
def _(
    context: TombstoneClaimed,
    state: state_lib.State,
    step: dispatch.Step,
    verdict: claims.Verdict,
) -> None:
    cancellation = context.cancellation
    record = verdict.record
    if verdict.status is claims.ClaimStatus.UNAVAILABLE:
        problem = problems.store_unavailable()
        answer_unknown(step, cancellation, problem)
    elif record is None:
        write_tombstone(state, step, cancellation, None)
    elif record.state is claim_state.ClaimState.NOT_RUN:
        answer_not_run(state, step, cancellation, record)
    elif record.body is not None:
        reply = claim_answers.answer_of(record)
        step.respond(cancellation.exchange_id, reply)
    elif record.target:
        cancel_task(state, step, cancellation, record)
    else:
        answer_unknown(step, cancellation, problems.names_job())


def answer_not_run(
    state: state_lib.State,
    step: dispatch.Step,
    cancellation: Cancellation,
    record: claim_state.ClaimRecord,
) -> None:
    """Answers after the claim says that the key will not run.

    A claim does not keep an idempotent request from running, so the class
    must be known before this is told as `not_run`: from this instance's own
    request, from the caller, or from an earlier claim of the key.
    """
    problem = problems.cancelled()
    if not (cancellation.proved or claim_answers.is_exclusive(record)):
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
            told = msgspec.structs.replace(
                known.answer, outcome=kinds.Outcome.NOT_RUN, problem=problem
            )
            outcomes.revise(state, known, told)
    exchange_id = cancellation.exchange_id
    answer(step, message, exchange_id, kinds.Outcome.NOT_RUN, problem)


def cancel_task(
    state: state_lib.State,
    step: dispatch.Step,
    cancellation: Cancellation,
    record: claim_state.ClaimRecord,
) -> None:
    """Leaves a tombstone for the task that a claim names."""
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
        runs.ASK_TIMEOUT_S,
    )


@dispatch.returned.register
def _(
    context: TaskCancelled,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    cancellation, record = context.cancellation, context.record
    run = claim_answers.run_of(record)
    proved = runs.judge(run, reply, step.moment.unix_ms)
    message = cancellation.message
    if proved is runs.NOT_RUN:
        write_tombstone(state, step, cancellation, record)
    elif proved is runs.RAN:
        step.respond(
            cancellation.exchange_id,
            outcomes.answer_of(message.organisation, message.key, reply),
        )
    elif proved is runs.OPEN:
        exchange_id = cancellation.exchange_id
        answer(step, message, exchange_id, kinds.Outcome.PENDING, None)
    else:
        answer_unknown(step, cancellation, problems.target_lost())


@dispatch.failed.register
def _(
    context: TaskCancelled,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    answer_unknown(step, context.cancellation, problems.not_reached())


def answer_unknown(
    step: dispatch.Step, cancellation: Cancellation, problem: errors.Problem
) -> None:
    """Answers a cancel that proves nothing."""
    message, exchange_id = cancellation.message, cancellation.exchange_id
    answer(step, message, exchange_id, kinds.Outcome.UNKNOWN, problem)


def answer(
    step: dispatch.Step,
    message: caller_messages.CancelRequest,
    exchange_id: ids.ExchangeId,
    outcome: kinds.Outcome,
    problem: errors.Problem | None,
) -> None:
    """Answers a cancel without a response of the task."""
    step.respond(
        exchange_id,
        caller_messages.Answer(
            organisation=message.organisation,
            key=message.key,
            outcome=outcome,
            problem=problem,
        ),
    )
