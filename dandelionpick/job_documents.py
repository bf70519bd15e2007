"""Documents of records in the store, updated by compare-and-swap.

Each record has its own revision, and a change names the revision that it
replaces. Changes that arrive while a write is in progress go into the next
write (group commit). A document lists the ids of its most recent writes, so
that a writer whose reply was lost can find out whether its write took effect:
it reads the document again. After that read a write still in transit either
has its id in the list or fails on the document's version.
"""

import dataclasses
from typing import Any

import msgspec

from dandelionpick import dispatch
from dandelionpick import document_results
from dandelionpick import job_state
from dandelionpick import kinds
from dandelionpick import state as state_lib
from dandelionpick import store_messages

# More than the number of writes for which any change waits.
MAX_WRITE_IDS = 64
# The store accepts values of up to 1 MB. The remainder is kept free for updates
# of records that the document already holds.
MAX_DOCUMENT_BYTES = 800_000
COMMIT_TIMEOUT_S = 8.0
READ_RETRY_S = 0.5
# Far below the retention of finished jobs: a claim that an older copy shows as
# open may belong to a job whose record has been dropped since.
MAX_CACHE_AGE_S = 30.0
# A claim bucket that is unused for this long is dropped from memory.
IDLE_DOCUMENT_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRead:
    """Context of a document read.

    Attributes:
        key: the document's key in the store.
        sent_s: when the read was sent.
        readers: contexts whose handlers get the result.
    """

    key: str
    sent_s: float
    readers: tuple[Any, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentWritten:
    """Context of a document write, with the content that it writes."""

    key: str
    write_id: str
    records: dict[str, Any]
    recent_write_ids: list[str]


def document_of(
    state: state_lib.State, key: str, record_type: Any
) -> job_state.Document:
    """Returns the document of a key, empty and not loaded if it is new."""
    document = state.jobs.documents.get(key)
    if document is None:
        document = job_state.Document(key, record_type)
        state.jobs.documents[key] = document
    return document


def commit(
    state: state_lib.State,
    step: dispatch.Step,
    document: job_state.Document,
    name: str,
    expected: int,
    record: Any,
    context: Any,
) -> None:
    """Writes a record if its revision in the store is `expected`.

    Args:
        state: the reducer's state.
        step: the current step.
        document: the document that holds the record.
        name: name of the record in the document.
        expected: revision to replace; 0 for a new record.
        record: the new record; its revision is set here.
        context: passed to its result handler with the result.
    """
    change = job_state.Change(
        name=name,
        expected=expected,
        record=msgspec.structs.replace(record, revision=expected + 1),
        context=context,
        deadline_s=step.moment.now_s + COMMIT_TIMEOUT_S,
    )
    document.queued.append(change)
    flush(state, step, document)


def read(
    state: state_lib.State,
    step: dispatch.Step,
    document: job_state.Document,
    context: Any = None,
) -> None:
    """Reads a document, after the read in progress if there is one.

    Args:
        state: the reducer's state.
        step: the current step.
        document: the document to read.
        context: passed to its result handler with Fresh or Unavailable; None
            if no handler needs the result.
    """
    if context is not None:
        document.readers.append(context)
    if document.read_pending:
        return
    document.read_pending = True
    document.refreshed_s = step.moment.now_s
    readers, document.readers = tuple(document.readers), []
    if document.version is None:
        message = store_messages.Read(document.key)
    else:
        # The reply to a watch omits an unchanged value, which keeps the
        # periodic reads of an idle scheduler small.
        message = store_messages.Watch(document.key, document.version, 0.0)
    dispatch.call(
        state,
        step,
        state.store(),
        message,
        DocumentRead(document.key, step.moment.now_s, readers),
        state.limits.call_timeout_s,
    )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Fails overdue changes, retries the others and drops idle documents."""
    now_s = step.moment.now_s
    for key, document in list(state.jobs.documents.items()):
        if document.queued or document.in_flight or document.read_pending:
            document.last_used_s = now_s
        elif (
            document.record_type is job_state.JobClaim
            and now_s - document.last_used_s > IDLE_DOCUMENT_TIMEOUT_S
        ):
            del state.jobs.documents[key]
            continue
        _fail_overdue(state, step, document)
        if document.queued and now_s - document.refreshed_s >= READ_RETRY_S:
            flush(state, step, document)


def _fail_overdue(
    state: state_lib.State, step: dispatch.Step, document: job_state.Document
) -> None:
    overdue = [
        change
        for change in document.queued
        if step.moment.now_s >= change.deadline_s
    ]
    for change in overdue:
        document.queued.remove(change)
    for change in overdue:
        result = document_results.Unavailable(definite=not change.write_ids)
        document_results.handle_result(change.context, state, step, result)


def flush(
    state: state_lib.State, step: dispatch.Step, document: job_state.Document
) -> None:
    """Writes the queued changes unless a write is in progress."""
    _fail_overdue(state, step, document)
    if document.in_flight or not document.queued:
        return
    age_s = step.moment.now_s - document.refreshed_s
    if document.version is None or age_s > MAX_CACHE_AGE_S:
        document.version = None
        read(state, step, document)
        return
    records = {
        name: record
        for name, record in document.records.items()
        if not record.is_expired(step.moment.unix_ms, document.over_half_full)
    }
    results = _apply_queued(document, records)
    if document.in_flight:
        _write(state, step, document, records, results)
    for change, result in results:
        document_results.handle_result(change.context, state, step, result)


def _apply_queued(
    document: job_state.Document, records: dict[str, Any]
) -> list[tuple[job_state.Change, Any]]:
    """Applies queued changes to records and moves them to `in_flight`.

    A second change of the same record stays queued for the next write.

    Returns:
        The changes whose result is known without a write, with the result.
    """
    results: list[tuple[job_state.Change, Any]] = []
    waiting, changed = [], set()
    for change in document.queued:
        current = records.get(change.name)
        if change.write_ids.intersection(document.recent_write_ids):
            results.append((change, document_results.Committed(change.record)))
        elif change.name in changed:
            waiting.append(change)
        elif (current.revision if current else 0) != change.expected:
            results.append((change, document_results.Superseded(current)))
        else:
            records[change.name] = change.record
            changed.add(change.name)
            document.in_flight.append(change)
    document.queued = waiting
    return results


def _write(
    state: state_lib.State,
    step: dispatch.Step,
    document: job_state.Document,
    records: dict[str, Any],
    results: list[tuple[job_state.Change, Any]],
) -> None:
    state.jobs.writes_made += 1
    write_id = f"{state.incarnation}-{state.jobs.writes_made}"
    recent_write_ids = [*document.recent_write_ids, write_id][-MAX_WRITE_IDS:]
    text = msgspec.json.encode(
        {"records": records, "writes": recent_write_ids}
    ).decode()
    size = len(text.encode())
    document.over_half_full = 2 * size > MAX_DOCUMENT_BYTES
    inserts = [change for change in document.in_flight if change.expected == 0]
    if inserts and size > MAX_DOCUMENT_BYTES:
        # Changes of records that are already in the document are still written,
        # as they need no more space.
        updates = [c for c in document.in_flight if c.expected != 0]
        document.in_flight = []
        document.queued = updates + document.queued
        for change in inserts:
            definite = not change.write_ids
            result = (
                document_results.TooLarge()
                if definite
                else document_results.Unavailable(definite=False)
            )
            results.append((change, result))
        return
    for change in document.in_flight:
        change.write_ids.add(write_id)
    dispatch.call(
        state,
        step,
        state.store(),
        store_messages.Write(document.key, document.version, text, write_id),
        DocumentWritten(document.key, write_id, records, recent_write_ids),
        state.limits.call_timeout_s,
    )


def load(document: job_state.Document, version: int, text: str | None) -> None:
    """Replaces the local copy by the store's value; None if it has none."""
    document.version = version
    document.loaded = True
    document.records = {}
    document.recent_write_ids = []
    if text is None:
        return
    raw = msgspec.json.decode(text)
    document.records = msgspec.convert(
        raw["records"], dict[str, document.record_type]
    )
    document.recent_write_ids = raw["writes"]


@dispatch.on_reply.register
def _(
    context: DocumentRead,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Value | store_messages.Unchanged,
) -> None:
    document = state.jobs.documents[context.key]
    document.read_pending = False
    unchanged = isinstance(reply, store_messages.Unchanged)
    if unchanged and document.version is None:
        document.readers.extend(context.readers)
        read(state, step, document)
        return
    # A reply with a lower version was overtaken by a write of this instance.
    if document.version is None or reply.version >= document.version:
        if not unchanged:
            load(document, reply.version, reply.value)
        document.confirmed_s = context.sent_s
    flush(state, step, document)
    _answer_readers(
        state, step, document, context.readers, document_results.Fresh()
    )


@dispatch.on_failure.register
def _(
    context: DocumentRead,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    document = state.jobs.documents[context.key]
    document.read_pending = False
    if failure is kinds.CallFailure.NOT_SENT:
        _fail_unsent(state, step, document)
    result = document_results.Unavailable(definite=True)
    _answer_readers(state, step, document, context.readers, result)


def _answer_readers(
    state: state_lib.State,
    step: dispatch.Step,
    document: job_state.Document,
    readers: tuple[Any, ...],
    result: Any,
) -> None:
    """Passes the result to the readers of a finished read.

    Readers that were added during that read need a new one.
    """
    if document.readers:
        read(state, step, document)
    for context in readers:
        document_results.handle_result(context, state, step, result)


def _fail_unsent(
    state: state_lib.State, step: dispatch.Step, document: job_state.Document
) -> None:
    """Fails unsent changes immediately, because the store refuses calls."""
    unsent = [c for c in document.queued if not c.write_ids]
    document.queued = [c for c in document.queued if c.write_ids]
    for change in unsent:
        document_results.handle_result(
            change.context,
            state,
            step,
            document_results.Unavailable(definite=True),
        )


@dispatch.on_reply.register
def _(
    context: DocumentWritten,
    state: state_lib.State,
    step: dispatch.Step,
    reply: Any,
) -> None:
    document = state.jobs.documents[context.key]
    changes, document.in_flight = document.in_flight, []
    if isinstance(reply, store_messages.Conflict):
        document.queued = changes + document.queued
        load(document, reply.version, reply.value)
        flush(state, step, document)
        return
    document.version, document.loaded = reply.version, True
    document.refreshed_s = step.moment.now_s
    document.records = context.records
    document.recent_write_ids = context.recent_write_ids
    for change in changes:
        document_results.handle_result(
            change.context,
            state,
            step,
            document_results.Committed(change.record),
        )
    flush(state, step, document)


@dispatch.on_failure.register
def _(
    context: DocumentWritten,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    document = state.jobs.documents[context.key]
    changes, document.in_flight = document.in_flight, []
    document.queued = changes + document.queued
    document.version, document.refreshed_s = None, step.moment.now_s
    if failure is kinds.CallFailure.NOT_SENT:
        for change in changes:
            change.write_ids.discard(context.write_id)
        _fail_unsent(state, step, document)
