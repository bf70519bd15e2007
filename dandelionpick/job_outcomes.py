"""Derives the outcome of a job from the end of its gang, and stores it."""

import dataclasses
from typing import Any

import msgspec

from dandelionpick import dispatch
from dandelionpick import document_results
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import gang_parts
from dandelionpick import job_claims
from dandelionpick import job_documents
from dandelionpick import job_state
from dandelionpick import job_status
from dandelionpick import kinds
from dandelionpick import state as state_lib

# An idempotent job is failed after this many runs with a failed task. A worker
# on which every task fails is quarantined after fewer.
MAX_FAILED_RUNS = 5
# A job ends after this many runs soon after whose start a worker restarted,
# because it may be crashing its workers.
MAX_CRASHED_RUNS = 3
RETRY_S = 1.0

TASK_FAILED = errors.Problem(
    errors.ProblemKind.TASK_FAILED,
    "A task of the job failed.",
    "Read the task's own log, correct its input and submit a new job.",
)
CANCELLED = errors.Problem(
    errors.ProblemKind.CANCELLED,
    "The job was cancelled; some of its tasks may have run before.",
    "Submit it under a new key to run it again.",
)
CANCELLED_NOT_RUN = errors.Problem(
    errors.ProblemKind.CANCELLED,
    "The job was cancelled before any of its tasks ran.",
    "Submit it under a new key to run it.",
)
TARGET_LOST = errors.Problem(
    errors.ProblemKind.TARGET_LOST,
    "A worker was lost while the job, which must not run twice, may have run.",
    "Check the job's side effects to find out whether it ran.",
)

WORKERS_CRASH = errors.Problem(
    errors.ProblemKind.TARGET_LOST,
    f"Workers restarted under {MAX_CRASHED_RUNS} runs of the job, soon after"
    " its tasks had started.",
    "Check what the tasks do to their worker, and submit a new job.",
)


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeWritten:
    """Context of the write of an outcome to a job's record."""

    name: job_state.JobName
    outcome: job_state.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRead:
    """Context of a read of a finished job's claim."""

    name: job_state.JobName


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimClosed:
    """Context of the write that closes a finished job's claim."""

    name: job_state.JobName


@dataclasses.dataclass(frozen=True, slots=True)
class RecordClosed:
    """Context of a write that ends a job or marks its claim as final."""

    name: job_state.JobName


def update_record(
    state: state_lib.State,
    step: dispatch.Step,
    record: job_state.JobRecord,
    fields: dict[str, Any],
    context: Any,
) -> None:
    """Writes new field values unless the record has changed meanwhile."""
    name = (record.job.organisation, record.job.key)
    job_documents.commit(
        state,
        step,
        job_status.own_document(state),
        job_claims.record_name(name),
        record.revision,
        msgspec.structs.replace(record, **fields),
        context,
    )


def finish_job(
    state: state_lib.State, step: dispatch.Step, gang: job_state.Gang
) -> None:
    """Records the results of a job whose gang has finished all its parts."""
    fields = {
        "state": kinds.JobState.FINISHED,
        "outcome": kinds.Outcome.COMPLETED,
        "results": [part.result for part in gang.parts.values()],
        "run": gang.labels.run,
    }
    _queue_outcome(state, step, gang, fields, final=True)


def handle_stopped_gang(
    state: state_lib.State, step: dispatch.Step, gang: job_state.Gang
) -> None:
    """Ends or requeues a job after its entire gang was stopped."""
    record = job_status.record_of(state, gang.name)
    if record is None or record.state in job_state.FINAL_STATES:
        return
    if gang.stop is job_state.StopCause.OBSOLETE:
        return
    states = {part.state for part in gang.parts.values()}
    if states == {kinds.PartState.FINISHED}:
        finish_job(state, step, gang)
    elif not (record.idempotent or gang.placed or gang.adopted):
        # Nothing was started, since the store had confirmed no placement.
        return
    elif record.cancel:
        _end_cancelled(state, step, gang, record)
    elif gang_parts.is_proved_not_run(gang):
        fields = {"placement": None}
        if gang.placed:
            _queue_outcome(state, step, gang, fields, final=False)
    elif gang.stop is job_state.StopCause.FAILED:
        _retry_or_fail(state, step, gang, record)
    else:
        _rerun_or_give_up(state, step, gang, record)


def cancel_queued(
    state: state_lib.State, step: dispatch.Step, record: job_state.JobRecord
) -> None:
    """Ends a cancelled job that has no known gang."""
    proved = not record.idempotent and not record.run
    update_record(
        state,
        step,
        record,
        {
            "state": kinds.JobState.CANCELLED,
            "outcome": (
                kinds.Outcome.NOT_RUN if proved else kinds.Outcome.UNKNOWN
            ),
            "problem": CANCELLED_NOT_RUN if proved else CANCELLED,
            "finished_ms": step.moment.unix_ms,
        },
        RecordClosed((record.job.organisation, record.job.key)),
    )


def _end_cancelled(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    record: job_state.JobRecord,
) -> None:
    # Other instances may have run an idempotent job without the store, so the
    # state of this gang alone proves nothing about the job.
    proved = (
        gang_parts.is_proved_not_run(gang)
        and not record.idempotent
        and not record.run
    )
    fields = {
        "state": kinds.JobState.CANCELLED,
        "outcome": kinds.Outcome.NOT_RUN if proved else kinds.Outcome.UNKNOWN,
        "problem": CANCELLED_NOT_RUN if proved else CANCELLED,
    }
    _queue_outcome(state, step, gang, fields, final=True)


def _retry_or_fail(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    record: job_state.JobRecord,
) -> None:
    failures = record.failures + 1
    fields: dict[str, Any] = {"run": gang.labels.run, "failures": failures}
    if record.idempotent and failures < MAX_FAILED_RUNS:
        _remember_checkpoint(state, gang, "")
        _queue_outcome(state, step, gang, fields, final=False)
        return
    fields["state"] = kinds.JobState.FAILED
    fields["outcome"] = kinds.Outcome.COMPLETED
    fields["problem"] = TASK_FAILED
    _queue_outcome(state, step, gang, fields, final=True)


def _rerun_or_give_up(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    record: job_state.JobRecord,
) -> None:
    """Requeues the job if it may run again, or ends it as unknown.

    The checkpoint of any part serves the whole gang, because the tasks of a
    gang take their checkpoints together.
    """
    checkpoint = ""
    if record.checkpointable:
        found = [part.checkpoint for part in gang.parts.values()]
        checkpoint = next(filter(None, found), record.checkpoint)
    fields: dict[str, Any] = {"run": gang.labels.run, "placement": None}
    crashes = record.crashes + any(part.crashed for part in gang.parts.values())
    fields["crashes"] = crashes
    may_rerun = record.idempotent or checkpoint
    if may_rerun and crashes < MAX_CRASHED_RUNS:
        fields["checkpoint"] = checkpoint
        _remember_checkpoint(state, gang, checkpoint)
        _queue_outcome(state, step, gang, fields, final=False)
        return
    fields["state"] = kinds.JobState.UNKNOWN
    fields["outcome"] = kinds.Outcome.UNKNOWN
    fields["problem"] = WORKERS_CRASH if may_rerun else TARGET_LOST
    _queue_outcome(state, step, gang, fields, final=True)


def _remember_checkpoint(
    state: state_lib.State, gang: job_state.Gang, checkpoint: str
) -> None:
    run, known = state.jobs.checkpoints.get(gang.name, (0, ""))
    state.jobs.checkpoints[gang.name] = (
        max(run, gang.labels.run),
        checkpoint or known,
    )


def _queue_outcome(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    fields: dict[str, Any],
    final: bool,
) -> None:
    known = state.jobs.outcomes.get(gang.name)
    if known is not None and known.final:
        return
    if final:
        fields["finished_ms"] = step.moment.unix_ms
    outcome = job_state.Outcome(
        gang.gang_id, fields, final, requires_placement=gang.placed
    )
    state.jobs.outcomes[gang.name] = outcome
    write_outcome(state, step, gang.name, outcome)


def write_outcome(
    state: state_lib.State,
    step: dispatch.Step,
    name: job_state.JobName,
    outcome: job_state.Outcome,
) -> None:
    """Writes an outcome, or drops it if the job's record supersedes it."""
    record = job_status.record_of(state, name)
    if record is None:
        if job_status.own_document(state).loaded:
            del state.jobs.outcomes[name]
        return
    placement = record.placement.gang_id if record.placement else None
    superseded = outcome.requires_placement and placement != outcome.gang_id
    if record.state in job_state.FINAL_STATES or superseded:
        del state.jobs.outcomes[name]
        return
    outcome.pending = True
    fields = dict(outcome.fields)
    if outcome.final:
        # Dropping the payload leaves space in the document for unfinished jobs.
        # The record keeps the digest.
        fields["job"] = msgspec.structs.replace(record.job, payload="")
    update_record(state, step, record, fields, OutcomeWritten(name, outcome))


@document_results.handle_result.register
def _(
    context: OutcomeWritten,
    state: state_lib.State,
    step: dispatch.Step,
    result: document_results.Committed
    | document_results.Superseded
    | document_results.Unavailable,
) -> None:
    context.outcome.pending = False
    context.outcome.retry_s = step.moment.now_s + RETRY_S
    if not isinstance(result, document_results.Committed):
        return
    if state.jobs.outcomes.get(context.name) is context.outcome:
        del state.jobs.outcomes[context.name]
    record = result.record
    if record.state in job_state.FINAL_STATES:
        step.note(
            effects.Component.JOBS,
            f"job {record.job.key} ended: {record.state.value}",
        )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Writes pending outcomes and closes the claims of finished jobs."""
    for name, outcome in list(state.jobs.outcomes.items()):
        if not outcome.pending and step.moment.now_s >= outcome.retry_s:
            write_outcome(state, step, name, outcome)
    for record in job_status.own_document(state).records.values():
        name = (record.job.organisation, record.job.key)
        if record.state not in job_state.FINAL_STATES or record.claim_final:
            continue
        if name not in state.jobs.closing_claims:
            state.jobs.closing_claims.add(name)
            bucket = job_claims.bucket_of(state, name)
            job_documents.read(state, step, bucket, ClaimRead(name))


@document_results.handle_result.register
def _(
    context: ClaimRead,
    state: state_lib.State,
    step: dispatch.Step,
    result: document_results.Fresh | document_results.Unavailable,
) -> None:
    record = job_status.record_of(state, context.name)
    if record is None or isinstance(result, document_results.Unavailable):
        state.jobs.closing_claims.discard(context.name)
        return
    bucket = job_claims.bucket_of(state, context.name)
    claim = bucket.records.get(job_claims.record_name(context.name))
    if claim is None or claim.outcome is not kinds.Outcome.PENDING:
        _mark_claim_final(state, step, context.name, record)
        return
    job_claims.close(state, step, record, claim, ClaimClosed(context.name))


@document_results.handle_result.register
def _(
    context: ClaimClosed,
    state: state_lib.State,
    step: dispatch.Step,
    result: Any,
) -> None:
    record = job_status.record_of(state, context.name)
    if record is None or not isinstance(result, document_results.Committed):
        state.jobs.closing_claims.discard(context.name)
        return
    _mark_claim_final(state, step, context.name, record)


def _mark_claim_final(
    state: state_lib.State,
    step: dispatch.Step,
    name: job_state.JobName,
    record: job_state.JobRecord,
) -> None:
    update_record(
        state, step, record, {"claim_final": True}, RecordClosed(name)
    )


@document_results.handle_result.register
def _(
    context: RecordClosed,
    state: state_lib.State,
    step: dispatch.Step,
    result: Any,
) -> None:
    state.jobs.closing_claims.discard(context.name)
