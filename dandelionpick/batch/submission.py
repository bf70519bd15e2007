"""Stores jobs and cancellations before they are acknowledged."""

import dataclasses
from typing import Any

import msgspec

from dandelionpick import dispatch
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import admission
from dandelionpick.batch import inspection
from dandelionpick.batch import messages
from dandelionpick.batch import model
from dandelionpick.batch import open_requests
from dandelionpick.batch import relaying
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import watches
from dandelionpick.batch import watching

COMMIT_TIMEOUT_S = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitContext:
    """A job is written."""

    exchange_id: ids.ExchangeId
    key: str
    record: model.JobRecord


@dataclasses.dataclass(frozen=True, slots=True)
class FindContext:
    """The job of a cancellation is read."""

    exchange_id: ids.ExchangeId
    job_id: ids.JobId


@dataclasses.dataclass(frozen=True, slots=True)
class CancelContext:
    """A cancellation is written."""

    exchange_id: ids.ExchangeId


def submit(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    admitted: admission.Admitted,
) -> None:
    """Writes a job unless it exists, if the configuration is still the same."""
    message = request.request
    assert isinstance(message, messages.Submit)
    record = model.JobRecord(
        queue=admitted.queue.name,
        organisation=admitted.organisation,
        terms=admitted.queue.terms,
        spec=message.spec,
        accepted_ms=step.moment.unix_ms,
    )
    key = f"{state_lib.JOBS}{admitted.job_id}"
    commit = store_api.Commit(
        (
            store_api.Condition(key, 0),
            store_api.Condition(
                state.formats.catalog_key, state.catalog.revision
            ),
        ),
        (store_api.Write(key, model.encode(record)),),
    )
    request.writes += 1
    state_lib.call_store(
        state,
        step,
        commit,
        SubmitContext(request.exchange_id, key, record),
        COMMIT_TIMEOUT_S,
    )


@dispatch.returned.register
def _(
    context: SubmitContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    if isinstance(reply, store_api.Conflict):
        _learn_catalog(state, step, reply)
    request = state.open_requests.get(context.exchange_id)
    if request is None:
        return
    request.writes -= 1
    if isinstance(reply, store_api.Committed):
        open_requests.finish(state, step, request, messages.Accepted())
    elif isinstance(reply, store_api.Conflict):
        _resolve(state, step, request, context, reply)
    else:
        _refused(state, step, request)


def _resolve(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    context: SubmitContext,
    conflict: store_api.Conflict,
) -> None:
    """Answers a submission whose job exists, or tries it again."""
    stored = next(item for item in conflict.items if item.key == context.key)
    if not stored.revision:
        # The configuration has changed; it has to allow the job once more.
        open_requests.retry_later(state, step, request)
        return
    try:
        same = model.decode_job(stored.value).spec == context.record.spec
    except msgspec.DecodeError:
        same = False
    if same:
        open_requests.finish(state, step, request, messages.Accepted())
        return
    refusal = admission.refuse(
        errors.ProblemKind.KEY_REUSED,
        "Another job has this id.",
        "Choose a new id.",
    )
    open_requests.finish(state, step, request, refusal)


def _learn_catalog(
    state: state_lib.State, step: dispatch.Step, conflict: store_api.Conflict
) -> None:
    watch = state.watches.get(watches.CatalogWatch)
    for item in conflict.items:
        if watch and item.key == state.formats.catalog_key and item.revision:
            watching.take_item(state, step, watch, item)


def _refused(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> None:
    """Tries the scheduler once: the store may refuse only this instance."""
    if not request.relayed and not request.scheduler_silent:
        request.scheduler_silent = True
        if relaying.relay(state, step, request):
            return
    open_requests.refuse_for_store(state, step, request)


@dispatch.failed.register
def _(
    context: SubmitContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    # A further commit has the same conditions: it tells whether this one took
    # effect, and keeps it from taking effect later.
    request = state.open_requests.get(context.exchange_id)
    open_requests.note_write_lost(state, step, request, failure)


def cancel(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    admitted: admission.Admitted,
) -> None:
    """Looks the job up and writes its cancellation."""
    assert admitted.job_id is not None
    state_lib.call_store(
        state,
        step,
        store_api.Read(state_lib.JOBS + admitted.job_id),
        FindContext(request.exchange_id, admitted.job_id),
        COMMIT_TIMEOUT_S,
    )


@dispatch.returned.register
def _(
    context: FindContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    request = state.open_requests.get(context.exchange_id)
    if request is None:
        return
    if not isinstance(reply, store_api.Item):
        _refused(state, step, request)
    elif not reply.revision:
        open_requests.finish(state, step, request, inspection.unknown_job())
    else:
        key = state_lib.CANCELS + context.job_id
        commit = store_api.Commit(
            (
                store_api.Condition(reply.key, reply.revision),
                store_api.Condition(
                    state.formats.catalog_key, state.catalog.revision
                ),
            ),
            (store_api.Write(key, b"{}"),),
        )
        state_lib.call_store(
            state,
            step,
            commit,
            CancelContext(request.exchange_id),
            COMMIT_TIMEOUT_S,
        )


@dispatch.returned.register
def _(
    context: CancelContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    if isinstance(reply, store_api.Conflict):
        _learn_catalog(state, step, reply)
    request = state.open_requests.get(context.exchange_id)
    if request is None:
        return
    if isinstance(reply, store_api.Committed):
        open_requests.finish(state, step, request, messages.Accepted())
    elif isinstance(reply, store_api.Conflict):
        open_requests.retry_later(state, step, request)
    else:
        _refused(state, step, request)


dispatch.failed.register(FindContext, open_requests.retry_unanswered)
dispatch.failed.register(CancelContext, open_requests.retry_unanswered)
