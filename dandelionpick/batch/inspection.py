"""Answers queries for the state of jobs and queues.

The scheduler knows the state of all jobs. If it can't be reached, an instance
reads the job from the store, which holds every final state that callers have
seen.
"""

import dataclasses
from typing import Any

import msgspec

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick.batch import admission
from dandelionpick.batch import job_access
from dandelionpick.batch import job_intake
from dandelionpick.batch import messages
from dandelionpick.batch import model
from dandelionpick.batch import open_requests
from dandelionpick.batch import relaying
from dandelionpick.batch import saving
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api


@dataclasses.dataclass(frozen=True, slots=True)
class ReadProgressContext:
    """Context of the call that reads a job's progress."""

    exchange_id: ids.ExchangeId
    admitted: admission.Admitted


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRecordContext:
    """Context of the call that reads a job's record.

    The record tells whether the job exists, and whose it is.

    Attributes:
        job_state: the state according to the progress.
    """

    exchange_id: ids.ExchangeId
    admitted: admission.Admitted
    job_state: model.JobState


def is_ready_scheduler(state: state_lib.State) -> bool:
    """Returns whether this instance knows the state of all jobs."""
    schedule = state.schedule
    return schedule is not None and schedule.stage is stages.Stage.READY


def inspect(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    admitted: admission.Admitted,
) -> None:
    """Answers a query locally, or relays it to the scheduler."""
    if is_ready_scheduler(state):
        _answer_from_schedule(state, step, request, admitted)
    elif request.skip_relay and admitted.job_id is not None:
        _answer_from_store(state, step, request, admitted)
    elif request.relayed or not relaying.relay(state, step, request):
        request.skip_relay = True
        open_requests.retry_later(state, step, request)


def _answer_from_schedule(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    admitted: admission.Admitted,
) -> None:
    schedule = state.schedule
    assert schedule is not None
    if admitted.job_id is None:
        pending = sum(
            job.record.queue == admitted.queue.name
            and not job.begun
            and not job.ended
            for job in schedule.jobs.values()
        )
        open_requests.finish(state, step, request, messages.QueueView(pending))
        return
    job = schedule.jobs.get(admitted.job_id)
    if job is None:
        # The watch may not have delivered a new job yet.
        _answer_from_store(state, step, request, admitted)
        return
    refusal = None
    if job.record is not job_intake.UNREADABLE_RECORD:
        owner = job_access.owner_of(job.record)
        refusal = job_access.find_refusal(admitted, owner)
    if refusal is not None:
        open_requests.finish(state, step, request, refusal)
        return
    shown = job.shown
    if shown is model.JobState.QUEUED and job.begun:
        shown = model.JobState.ACTIVE
    open_requests.finish(state, step, request, messages.JobView(shown))


def _answer_from_store(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    admitted: admission.Admitted,
) -> None:
    assert admitted.job_id is not None
    state_lib.call_store(
        state,
        step,
        store_api.Read(saving.key_of(admitted.job_id)),
        ReadProgressContext(request.exchange_id, admitted),
    )


@dispatch.on_reply.register
def _(
    context: ReadProgressContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    request = state.open_requests.get(context.exchange_id)
    if request is None:
        return
    if not isinstance(reply, store_api.Item):
        open_requests.retry_later(state, step, request)
        return
    job_state = model.JobState.QUEUED
    if reply.revision:
        try:
            job_state = model.decode_progress(reply.value).state
        except msgspec.DecodeError as error:
            step.note(
                effects.Component.INTAKE,
                f"unreadable {reply.key}: {error}",
                warning=True,
            )
        if job_state not in model.ENDED_STATES:
            job_state = model.JobState.ACTIVE
    admitted = context.admitted
    assert admitted.job_id is not None
    state_lib.call_store(
        state,
        step,
        store_api.Read(state_lib.JOBS_PREFIX + admitted.job_id),
        ReadRecordContext(context.exchange_id, admitted, job_state),
    )


@dispatch.on_reply.register
def _(
    context: ReadRecordContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    request = state.open_requests.get(context.exchange_id)
    if request is None:
        return
    if not isinstance(reply, store_api.Item):
        open_requests.retry_later(state, step, request)
    elif reply.revision:
        owner = job_access.decode_owner(reply.value)
        open_requests.finish(
            state,
            step,
            request,
            job_access.find_refusal(context.admitted, owner)
            or messages.JobView(context.job_state),
        )
    else:
        open_requests.finish(state, step, request, unknown_job())


def unknown_job() -> messages.Refused:
    """Returns the refusal of a request for a job that does not exist."""
    return admission.refuse(
        errors.ProblemKind.UNKNOWN_KEY,
        "No such job exists.",
        "Check the id; ended jobs are removed after their retention time.",
    )


dispatch.on_failure.register(
    ReadProgressContext, open_requests.retry_unanswered
)
dispatch.on_failure.register(ReadRecordContext, open_requests.retry_unanswered)
