"""Writes jobs and cancellations to the store before they are acknowledged."""

import dataclasses
from typing import Any

import msgspec

from dandelionpick import dispatch
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick.batch import admission
from dandelionpick.batch import inspection
from dandelionpick.batch import job_access
from dandelionpick.batch import job_admission
from dandelionpick.batch import job_memory
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
    """Context of the commit that writes a job."""

    exchange_id: ids.ExchangeId
    key: str
    record: model.JobRecord


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseContext:
    """Context of the call that reads a job before its submission is refused.

    An earlier request may have submitted it, and may have got no reply.
    """

    exchange_id: ids.ExchangeId
    key: str
    record: model.JobRecord
    refusal: messages.Refused


@dataclasses.dataclass(frozen=True, slots=True)
class FindJobContext:
    """Context of the call that reads the job of a cancellation."""

    exchange_id: ids.ExchangeId
    admitted: admission.Admitted


@dataclasses.dataclass(frozen=True, slots=True)
class CancelContext:
    """Context of the commit that writes a cancellation."""

    exchange_id: ids.ExchangeId


def submit(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    admitted: admission.Admitted,
) -> None:
    """Writes a job unless it exists or the configuration has changed.

    It is refused or relayed if this instance has no memory to give to it.
    """
    message = request.request
    assert isinstance(message, messages.Submit)
    size = job_memory.cost_bytes(message.spec)
    verdict = job_admission.decide(
        state, request, admitted, size, step.moment.now_s
    )
    if verdict.decision is job_admission.Decision.ASK:
        _ask_scheduler(state, step, request)
        return
    record = model.JobRecord(
        queue=admitted.queue.name,
        organisation=admitted.organisation,
        terms=admitted.queue.terms,
        spec=message.spec,
        accepted_ms=step.moment.unix_ms,
    )
    key = f"{state_lib.JOBS_PREFIX}{admitted.job_id}"
    if verdict.refusal is not None:
        _refuse_unless_stored(
            state,
            step,
            RefuseContext(request.exchange_id, key, record, verdict.refusal),
        )
        return
    commit = store_api.Commit(
        (
            store_api.Condition(key, 0),
            store_api.Condition(
                state.formats.catalog_key, state.catalog.revision
            ),
        ),
        (store_api.Write(key, model.encode(record)),),
    )
    request.pending_writes += 1
    state_lib.call_store(
        state,
        step,
        commit,
        SubmitContext(request.exchange_id, key, record),
        COMMIT_TIMEOUT_S,
    )


def _ask_scheduler(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> None:
    """Relays a submission, or retries that soon if it has just failed."""
    may_relay = not request.relayed and not request.skip_relay
    request.skip_relay = may_relay
    if not may_relay or not relaying.relay(state, step, request):
        request.skip_relay = False
        open_requests.retry_later(state, step, request)


@dispatch.on_reply.register
def _(
    context: SubmitContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    if isinstance(reply, store_api.Conflict):
        _apply_catalog(state, step, reply)
    request = state.open_requests.get(context.exchange_id)
    if request is None:
        return
    request.pending_writes -= 1
    if isinstance(reply, store_api.Committed):
        open_requests.finish(state, step, request, messages.Accepted())
    elif isinstance(reply, store_api.Conflict):
        _resolve_conflict(state, step, request, context, reply)
    else:
        _relay_or_refuse(state, step, request)


def _resolve_conflict(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    context: SubmitContext,
    conflict: store_api.Conflict,
) -> None:
    """Responds to a submission whose job exists; otherwise retries it."""
    stored = next(item for item in conflict.items if item.key == context.key)
    if not stored.revision:
        # The configuration has changed; check the request against the new one.
        open_requests.retry_later(state, step, request)
        return
    _answer_by_stored(state, step, request, context.record, stored)


def _refuse_unless_stored(
    state: state_lib.State, step: dispatch.Step, context: RefuseContext
) -> None:
    state_lib.call_store(
        state, step, store_api.Read(context.key), context, COMMIT_TIMEOUT_S
    )


@dispatch.on_reply.register
def _(
    context: RefuseContext,
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
        _answer_by_stored(state, step, request, context.record, reply)
    else:
        open_requests.finish(state, step, request, context.refusal)


def _answer_by_stored(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    record: model.JobRecord,
    stored: store_api.Item,
) -> None:
    """Responds to a submission of a job that exists."""
    try:
        found = model.decode_job(stored.value)
        same = (
            found.spec == record.spec
            and found.organisation == record.organisation
        )
    except (msgspec.DecodeError, RecursionError):
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


def _apply_catalog(
    state: state_lib.State, step: dispatch.Step, conflict: store_api.Conflict
) -> None:
    watch = state.watches.get(watches.CatalogWatch)
    for item in conflict.items:
        if watch and item.key == state.formats.catalog_key and item.revision:
            watching.apply_if_newer(state, step, watch, item)


def _relay_or_refuse(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
) -> None:
    """Relays the request once, as the store may refuse only this instance."""
    if not request.relayed and not request.skip_relay:
        request.skip_relay = True
        if relaying.relay(state, step, request):
            return
    open_requests.refuse_store_unavailable(state, step, request)


@dispatch.on_failure.register
def _(
    context: SubmitContext,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    # The retry commits under the same conditions: it shows whether this commit
    # took effect, and prevents it from taking effect later.
    request = state.open_requests.get(context.exchange_id)
    open_requests.retry_lost_write(state, step, request, failure)


def cancel(
    state: state_lib.State,
    step: dispatch.Step,
    request: state_lib.OpenRequest,
    admitted: admission.Admitted,
) -> None:
    """Reads the job; if it exists, its cancellation is written."""
    assert admitted.job_id is not None
    state_lib.call_store(
        state,
        step,
        store_api.Read(state_lib.JOBS_PREFIX + admitted.job_id),
        FindJobContext(request.exchange_id, admitted),
        COMMIT_TIMEOUT_S,
    )


@dispatch.on_reply.register
def _(
    context: FindJobContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    request = state.open_requests.get(context.exchange_id)
    if request is None:
        return
    if not isinstance(reply, store_api.Item):
        _relay_or_refuse(state, step, request)
    elif not reply.revision:
        open_requests.finish(state, step, request, inspection.unknown_job())
    elif refusal := job_access.find_refusal(
        context.admitted, job_access.decode_owner(reply.value)
    ):
        open_requests.finish(state, step, request, refusal)
    else:
        assert context.admitted.job_id is not None
        key = state_lib.CANCELS_PREFIX + context.admitted.job_id
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


@dispatch.on_reply.register
def _(
    context: CancelContext,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    if isinstance(reply, store_api.Conflict):
        _apply_catalog(state, step, reply)
    request = state.open_requests.get(context.exchange_id)
    if request is None:
        return
    if isinstance(reply, store_api.Committed):
        open_requests.finish(state, step, request, messages.Accepted())
    elif isinstance(reply, store_api.Conflict):
        open_requests.retry_later(state, step, request)
    else:
        _relay_or_refuse(state, step, request)


dispatch.on_failure.register(RefuseContext, open_requests.retry_unanswered)
dispatch.on_failure.register(FindJobContext, open_requests.retry_unanswered)
dispatch.on_failure.register(CancelContext, open_requests.retry_unanswered)
