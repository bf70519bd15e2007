"""What the end of a gang means for its job, and writing it to the store."""

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

# Runs in which a task fails before an idempotent job is given up. A worker
# that fails everything is quarantined after fewer.
MAX_FAILED_RUNS = 5
RETRY_S = 1.0

TASK_FAILED = errors.Problem(
    errors.ProblemKind.TASK_FAILED,
    "A task of the job failed.",
    "Read the task's own log, correct its input and submit a new job.",
)
CANCELLED = errors.Problem(
    errors.ProblemKind.CANCELLED,
    "The job was cancelled; tasks of it may have run until then.",
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
    "Find out from the job's own effects whether it ran.",
)


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeWritten:
    """Context of the write of what an ended gang means for its job."""

    name: job_state.JobName
    outcome: job_state.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRead:
    """Context of the read of a finished job's claim."""

    name: job_state.JobName


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimClosed:
    """Context of the close of a finished job's claim."""

    name: job_state.JobName


@dataclasses.dataclass(frozen=True, slots=True)
class EntryClosed:
    """Context of the note in the entry that the claim is closed."""

    name: job_state.JobName


def change(
    state: state_lib.State,
    step: dispatch.Step,
    record: job_state.JobRecord,
    fields: dict[str, Any],
    context: Any,
) -> None:
    """Writes new values of a record's fields unless the record changed."""
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


def finish(
    state: state_lib.State, step: dispatch.Step, gang: job_state.Gang
) -> None:
    """Records the results of a gang all of whose parts have finished."""
    fields = {
        "state": kinds.JobState.FINISHED,
        "outcome": kinds.Outcome.COMPLETED,
        "results": [part.result for part in gang.parts.values()],
        "run": gang.labels.run,
    }
    _plan_outcome(state, step, gang, fields, final=True)


def settle(
    state: state_lib.State, step: dispatch.Step, gang: job_state.Gang
) -> None:
    """Decides what follows for a job when its gang was stopped whole."""
    record = job_status.record_of(state, gang.name)
    if record is None or record.state in job_state.FINAL:
        return
    if gang.stop is job_state.StopCause.OBSOLETE:
        return
    states = {part.state for part in gang.parts.values()}
    if states == {kinds.PartState.FINISHED}:
        finish(state, step, gang)
    elif not (record.idempotent or gang.placed or gang.adopted):
        # Without a confirmed placement nothing was started.
        return
    elif record.cancel:
        _settle_cancelled(state, step, gang, record)
    elif gang_parts.is_proved_not_run(gang):
        fields = {"placement": None}
        if gang.placed:
            _plan_outcome(state, step, gang, fields, final=False)
    elif gang.stop is job_state.StopCause.FAILED:
        _settle_failed(state, step, gang, record)
    else:
        _settle_lost(state, step, gang, record)


def cancel_queued(
    state: state_lib.State, step: dispatch.Step, record: job_state.JobRecord
) -> None:
    """Ends a cancelled job of which no gang is known."""
    proved = not record.idempotent and not record.run
    change(
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
        EntryClosed((record.job.organisation, record.job.key)),
    )


def _settle_cancelled(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    record: job_state.JobRecord,
) -> None:
    # Other instances may have run an idempotent job without the store, so
    # that this gang alone proves nothing about it.
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
    _plan_outcome(state, step, gang, fields, final=True)


def _settle_failed(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    record: job_state.JobRecord,
) -> None:
    failures = record.failures + 1
    fields: dict[str, Any] = {"run": gang.labels.run, "failures": failures}
    if record.idempotent and failures < MAX_FAILED_RUNS:
        _remember(state, gang, "")
        _plan_outcome(state, step, gang, fields, final=False)
        return
    fields["state"] = kinds.JobState.FAILED
    fields["outcome"] = kinds.Outcome.COMPLETED
    fields["problem"] = TASK_FAILED
    _plan_outcome(state, step, gang, fields, final=True)


def _settle_lost(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    record: job_state.JobRecord,
) -> None:
    """Runs the job again if that is allowed.

    A checkpoint of any part stands for the whole gang: tasks of a gang take
    their checkpoints together.
    """
    checkpoint = ""
    if record.checkpointable:
        found = [part.checkpoint for part in gang.parts.values()]
        checkpoint = next(filter(None, found), record.checkpoint)
    fields: dict[str, Any] = {"run": gang.labels.run, "placement": None}
    if record.idempotent or checkpoint:
        fields["checkpoint"] = checkpoint
        _remember(state, gang, checkpoint)
        _plan_outcome(state, step, gang, fields, final=False)
        return
    fields["state"] = kinds.JobState.UNKNOWN
    fields["outcome"] = kinds.Outcome.UNKNOWN
    fields["problem"] = TARGET_LOST
    _plan_outcome(state, step, gang, fields, final=True)


def _remember(
    state: state_lib.State, gang: job_state.Gang, checkpoint: str
) -> None:
    run, known = state.jobs.checkpoints.get(gang.name, (0, ""))
    state.jobs.checkpoints[gang.name] = (
        max(run, gang.labels.run),
        checkpoint or known,
    )


def _plan_outcome(
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
        gang.gang_id, fields, final, guarded=gang.placed
    )
    state.jobs.outcomes[gang.name] = outcome
    write(state, step, gang.name, outcome)


def write(
    state: state_lib.State,
    step: dispatch.Step,
    name: job_state.JobName,
    outcome: job_state.Outcome,
) -> None:
    """Writes an outcome unless the job's record has overtaken it."""
    record = job_status.record_of(state, name)
    if record is None:
        if job_status.own_document(state).loaded:
            del state.jobs.outcomes[name]
        return
    placement = record.placement.gang_id if record.placement else None
    overtaken = outcome.guarded and placement != outcome.gang_id
    if record.state in job_state.FINAL or overtaken:
        del state.jobs.outcomes[name]
        return
    outcome.pending = True
    fields = dict(outcome.fields)
    if outcome.final:
        # The document keeps room for unfinished jobs; the digest remains.
        fields["job"] = msgspec.structs.replace(record.job, payload="")
    change(state, step, record, fields, OutcomeWritten(name, outcome))


@document_results.committed.register
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
    if record.state in job_state.FINAL:
        step.note(
            effects.Part.JOBS,
            f"job {record.job.key} ended: {record.state.value}",
        )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Writes outcomes that wait, and closes the claims of finished jobs."""
    for name, outcome in list(state.jobs.outcomes.items()):
        if not outcome.pending and step.moment.now_s >= outcome.retry_s:
            write(state, step, name, outcome)
    for record in job_status.own_document(state).records.values():
        name = (record.job.organisation, record.job.key)
        if record.state not in job_state.FINAL or record.claim_final:
            continue
        if name not in state.jobs.closing:
            state.jobs.closing.add(name)
            bucket = job_claims.bucket_of(state, name)
            job_documents.read(state, step, bucket, ClaimRead(name))


@document_results.committed.register
def _(
    context: ClaimRead,
    state: state_lib.State,
    step: dispatch.Step,
    result: document_results.Fresh | document_results.Unavailable,
) -> None:
    record = job_status.record_of(state, context.name)
    if record is None or isinstance(result, document_results.Unavailable):
        state.jobs.closing.discard(context.name)
        return
    bucket = job_claims.bucket_of(state, context.name)
    claim = bucket.records.get(job_claims.record_name(context.name))
    if claim is None or claim.outcome is not kinds.Outcome.PENDING:
        _close_entry(state, step, context.name, record)
        return
    job_claims.finish(state, step, record, claim, ClaimClosed(context.name))


@document_results.committed.register
def _(
    context: ClaimClosed,
    state: state_lib.State,
    step: dispatch.Step,
    result: Any,
) -> None:
    record = job_status.record_of(state, context.name)
    if record is None or not isinstance(result, document_results.Committed):
        state.jobs.closing.discard(context.name)
        return
    _close_entry(state, step, context.name, record)


def _close_entry(
    state: state_lib.State,
    step: dispatch.Step,
    name: job_state.JobName,
    record: job_state.JobRecord,
) -> None:
    change(state, step, record, {"claim_final": True}, EntryClosed(name))


@document_results.committed.register
def _(
    context: EntryClosed,
    state: state_lib.State,
    step: dispatch.Step,
    result: Any,
) -> None:
    state.jobs.closing.discard(context.name)
