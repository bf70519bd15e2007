"""Runs non-idempotent requests: claims the key, then starts the task.

If the key is already claimed, the request follows the existing claim instead.
"""

import dataclasses

from dandelionpick import claim_answers
from dandelionpick import claim_state
from dandelionpick import claims
from dandelionpick import dispatch
from dandelionpick import executor_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import outcomes
from dandelionpick import problems
from dandelionpick import request_queue
from dandelionpick import request_state
from dandelionpick import routing
from dandelionpick import runs
from dandelionpick import state as state_lib

# A claimed task may be started during this time. A retry must wait for the end
# of the window plus the clock margin before it may claim for another executor.
START_WINDOW_S = 4.0
# An incarnation reported longer ago is queried again before the claim, because
# a claim for an incarnation that has ended can only have an unknown outcome.
MAX_INCARNATION_AGE_S = 1.0
UNREACHABLE_BACKOFF_S = 0.25
COMPLETION_TIMEOUT_S = 60.0
KEY_RETENTION_MS = 24 * 3600 * 1000


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationQueried:
    """Context of the query for an executor's incarnation."""

    request: request_state.Request
    entry: list_messages.InstanceEntry


@dataclasses.dataclass(frozen=True, slots=True)
class ExistingClaimRead:
    """Context of the read that precedes a retry's claim."""

    request: request_state.Request


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimWritten:
    """Context of the claim that precedes a start."""

    request: request_state.Request
    entry: list_messages.InstanceEntry


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionWritten:
    """Context of the write of a response to the claim."""


def is_expired(key: ids.RequestKey, unix_ms: int) -> bool:
    """Returns whether a UUIDv7 key is older than the retention of claims."""
    time_ms = ids.key_timestamp_ms(key)
    return time_ms is not None and unix_ms - time_ms > KEY_RETENTION_MS


def must_read_claim_first(
    request: request_state.Request, step: dispatch.Step
) -> bool:
    """Returns whether the key is likely to be claimed, or has expired."""
    if request.job_class.idempotent:
        return False
    submission = request.submission
    return submission.attempt > 1 or is_expired(
        submission.key, step.moment.unix_ms
    )


def read_claim(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
) -> None:
    """Reads the claim before the request is queued for an executor."""
    request.phase = request_state.Phase.CLAIMING
    claims.read(
        state,
        step,
        request.name(),
        ExistingClaimRead(request),
        timeout_s=_claim_timeout_s(request, step),
    )


def _claim_timeout_s(
    request: request_state.Request, step: dispatch.Step
) -> float:
    return min(START_WINDOW_S / 2, request.deadline_s - step.moment.now_s)


@claims.handle_result.register
def _(
    context: ExistingClaimRead,
    state: state_lib.State,
    step: dispatch.Step,
    result: claims.ClaimResult,
) -> None:
    request = context.request
    if request.answer is not None:
        return
    if result.status is claims.ClaimStatus.UNAVAILABLE:
        problem = problems.store_unavailable()
        outcomes.end_without_result(state, step, request, problem)
    elif result.record is not None:
        join_claim(state, step, request, result.record)
    elif is_expired(request.submission.key, step.moment.unix_ms):
        request.may_have_run_elsewhere = True
        outcomes.end_without_result(
            state, step, request, problems.key_expired()
        )
    else:
        request_queue.enqueue(state, request)


def begin_claim(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    entry: list_messages.InstanceEntry,
) -> None:
    """Claims the key for an executor, once its incarnation is up to date."""
    request.phase = request_state.Phase.CLAIMING
    load = runs.reserve_slot(state, entry)
    now_s = step.moment.now_s
    if now_s - load.reported_s <= MAX_INCARNATION_AGE_S:
        write_claim(state, step, request, entry)
        return
    step.trace = request.trace
    unused_task_id = ids.TaskId(f"probe-{state.incarnation}-{state.calls_made}")
    dispatch.call(
        state,
        step,
        runs.destination_of(entry),
        executor_messages.QueryTask(unused_task_id),
        IncarnationQueried(request, entry),
        min(runs.QUERY_TIMEOUT_S, request.deadline_s - now_s),
    )


@dispatch.on_reply.register
def _(
    context: IncarnationQueried,
    state: state_lib.State,
    step: dispatch.Step,
    reply: executor_messages.TaskReply,
) -> None:
    request = context.request
    runs.record_reply(state, step, context.entry.id, reply)
    if request.answer is not None:
        runs.release_slot(state, context.entry.id)
    elif reply.leaving:
        runs.release_slot(state, context.entry.id)
        request_queue.enqueue(state, request)
    else:
        write_claim(state, step, request, context.entry)


@dispatch.on_failure.register
def _(
    context: IncarnationQueried,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    request = context.request
    runs.release_slot(state, context.entry.id)
    load = state.requests.load.get(context.entry.id)
    if load is not None:
        load.backoff_until_s = step.moment.now_s + UNREACHABLE_BACKOFF_S
    if request.answer is None:
        request.tried.append(context.entry.id)
        request_queue.enqueue(state, request)


def write_claim(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    entry: list_messages.InstanceEntry,
) -> None:
    """Writes the claim; the start follows when it is confirmed."""
    submission = request.submission
    window_ms = step.moment.unix_ms + int(START_WINDOW_S * 1000)
    record = claims.new_record(
        state,
        submission.organisation,
        submission.key,
        request.digest,
        target=entry.id,
        incarnation=routing.load_of(state, entry).incarnation,
        start_deadline_ms=min(request.deadline_ms, window_ms),
    )
    record = _with_task_id(record)
    step.trace = request.trace
    claims.claim(
        state,
        step,
        record,
        ClaimWritten(request, entry),
        timeout_s=_claim_timeout_s(request, step),
        expected=request.replaceable_claim,
    )


def _with_task_id(
    record: claim_state.ClaimRecord,
) -> claim_state.ClaimRecord:
    """Derives the task id from the key and the claim.

    Each claim has its own task id, so that a tombstone for an earlier claim
    does not stop a later one.
    """
    text = f"{record.organisation}/{record.key}/{record.body_digest}"
    prefix = executor_messages.digest_of(text.encode())[:32]
    task_id = ids.TaskId(f"{prefix}-{record.claim_id}")
    return claim_state.with_fields(record, task_id=task_id)


@claims.handle_result.register
def _(
    context: ClaimWritten,
    state: state_lib.State,
    step: dispatch.Step,
    result: claims.ClaimResult,
) -> None:
    request = context.request
    confirmed = result.status is claims.ClaimStatus.CONFIRMED
    if request.answer is None and confirmed:
        _start_claimed(state, step, request, context.entry, result.record)
        return
    runs.release_slot(state, context.entry.id)
    if request.answer is not None:
        return
    request.replaceable_claim = None
    if result.status is claims.ClaimStatus.UNAVAILABLE:
        problem = problems.store_unavailable()
        outcomes.end_without_result(state, step, request, problem)
    elif result.record is None:
        request_queue.enqueue(state, request)
    else:
        join_claim(state, step, request, result.record)


def _start_claimed(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    entry: list_messages.InstanceEntry,
    record: claim_state.ClaimRecord,
) -> None:
    """Sends the start, unless the claim was confirmed after its deadline.

    After a stall the claim may have been replaced. In that case its start
    deadline has passed, and the executor would refuse the start as well.
    """
    request.claim = record
    request.replaceable_claim = None
    if step.moment.unix_ms >= record.start_deadline_ms:
        request.replaceable_claim = record
        runs.release_slot(state, entry.id)
        request_queue.enqueue(state, request)
        return
    run = claim_answers.run_from_claim(record)
    request.runs.append(run)
    runs.send(state, step, request, run, entry)


def join_claim(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    record: claim_state.ClaimRecord,
) -> None:
    """Answers from an existing claim, or polls the task that it names."""
    request.claim = record
    request.may_have_run_elsewhere = True
    if record.state is claim_state.ClaimState.NOT_RUN:
        request.key_not_run = True
        problem = problems.cancelled()
        outcomes.end_without_result(state, step, request, problem)
    elif record.body_digest != request.digest:
        problem = problems.key_reused()
        outcomes.end_without_result(state, step, request, problem)
    elif record.body is not None:
        answer = claim_answers.completed_answer(record)
        outcomes.finish(state, step, request, answer)
    else:
        run = claim_answers.run_from_claim(record)
        run.sent_here = False
        request.runs.append(run)
        request.phase = request_state.Phase.RUNNING
        request.current_run = run
        runs.start_polling(state, step, request, run)


def retry_claim_or_fail(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    run: request_state.Run,
) -> None:
    """Queues a new claim if the run is proved not run; else gives up."""
    if request.current_run is not run:
        return
    claimed = request.claim.state is claim_state.ClaimState.CLAIMED
    if run.state is runs.NOT_RUN and claimed and not request.cancelled:
        request.replaceable_claim = request.claim
        request_queue.enqueue(state, request)
        return
    problem = problems.target_lost()
    outcomes.end_without_result(state, step, request, problem)


def record_completion(
    state: state_lib.State,
    step: dispatch.Step,
    request: request_state.Request,
    result: executor_messages.TaskResult,
) -> None:
    """Writes the response to the claim, so retries don't need the executor."""
    claim = request.claim
    if claim is None or claim.state is not claim_state.ClaimState.CLAIMED:
        return
    if claim.task_id != result.task_id:
        return
    kept = result.length <= claims.MAX_KEPT_RESPONSE_BYTES
    record = claim_state.with_fields(
        claim,
        state=claim_state.ClaimState.COMPLETED,
        final_ms=step.moment.unix_ms,
        succeeded=result.succeeded,
        length=result.length,
        digest=result.digest,
        body=result.body if kept else None,
    )
    request.claim = record
    claims.claim(
        state,
        step,
        record,
        CompletionWritten(),
        timeout_s=COMPLETION_TIMEOUT_S,
        expected=claim,
    )


@claims.handle_result.register
def _(
    context: CompletionWritten,
    state: state_lib.State,
    step: dispatch.Step,
    result: claims.ClaimResult,
) -> None:
    """Does nothing: if the write failed, retries query the executor."""
