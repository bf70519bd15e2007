"""Derives answers and runs from the record of a claim."""

from dandelionpick import caller_messages
from dandelionpick import claim_state
from dandelionpick import kinds
from dandelionpick import problems
from dandelionpick import request_state


def run_from_claim(record: claim_state.ClaimRecord) -> request_state.Run:
    """Builds the run that a claim describes."""
    return request_state.Run(
        record.target,
        record.task_id,
        record.incarnation,
        record.start_deadline_ms,
    )


def is_exclusive(record: claim_state.ClaimRecord) -> bool:
    """Returns whether a claim proves that its key is non-idempotent work."""
    return record.exclusive or record.task_id != ""


def cancelled_answer(
    record: claim_state.ClaimRecord,
) -> caller_messages.Answer:
    """Builds the answer for a cancelled claim, which blocks further claims."""
    return caller_messages.Answer(
        organisation=record.organisation,
        key=record.key,
        outcome=(
            kinds.Outcome.NOT_RUN
            if is_exclusive(record)
            else kinds.Outcome.UNKNOWN
        ),
        problem=problems.cancelled(),
    )


def completed_answer(record: claim_state.ClaimRecord) -> caller_messages.Answer:
    """Builds the answer from the response in a completed claim."""
    return caller_messages.Answer(
        organisation=record.organisation,
        key=record.key,
        outcome=kinds.Outcome.COMPLETED,
        body=record.body,
        length=record.length,
        digest=record.digest,
        problem=None if record.succeeded else problems.task_failed(),
    )


def uncancelled_answer(
    record: claim_state.ClaimRecord,
) -> caller_messages.Answer:
    """Builds the answer for a claim that was not cancelled."""
    if record.body is not None:
        return completed_answer(record)
    return caller_messages.Answer(
        organisation=record.organisation,
        key=record.key,
        outcome=kinds.Outcome.UNKNOWN,
        problem=problems.result_unavailable(),
    )
