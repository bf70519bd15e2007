"""Answers and runs that follow from a claim that was found."""

from dandelionpick import caller_messages
from dandelionpick import claim_state
from dandelionpick import kinds
from dandelionpick import problems
from dandelionpick import request_state


def run_of(record: claim_state.ClaimRecord) -> request_state.Run:
    """Returns the run that a claim names."""
    return request_state.Run(
        record.target,
        record.task_id,
        record.incarnation,
        record.start_deadline_ms,
    )


def is_exclusive(record: claim_state.ClaimRecord) -> bool:
    """Returns whether a claim's key certainly names non-idempotent work."""
    return record.exclusive or record.task_id != ""


def cancelled_answer(
    record: claim_state.ClaimRecord,
) -> caller_messages.Answer:
    """Builds the answer of a claim that keeps the key from being claimed."""
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


def answer_of(record: claim_state.ClaimRecord) -> caller_messages.Answer:
    """Builds the answer that a completed claim holds."""
    return caller_messages.Answer(
        organisation=record.organisation,
        key=record.key,
        outcome=kinds.Outcome.COMPLETED,
        body=record.body,
        length=record.length,
        digest=record.digest,
        problem=None if record.succeeded else problems.task_failed(),
    )


def known_answer(
    record: claim_state.ClaimRecord,
) -> caller_messages.Answer:
    """Builds the answer of a claim that was not cancelled."""
    if record.body is not None:
        return answer_of(record)
    return caller_messages.Answer(
        organisation=record.organisation,
        key=record.key,
        outcome=kinds.Outcome.UNKNOWN,
        problem=problems.claimed(),
    )
