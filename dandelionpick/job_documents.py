"""Documents of records in the store, changed by compare-and-swap.

Each record has a revision of its own, and a change names the revision that it
replaces. Changes that arrive while a write is under way go into the next write
(group commit). A document lists the ids of its last writes, so that a writer
whose reply was lost finds out whether its write took effect: it reads the
document again, and a write that is still on its way can then only fail on the
document's version or be found in the list.
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

# More writes than any change waits for.
MAX_WRITE_IDS = 64
# The store holds values up to 1 MB; the rest is left for changes of records.
MAX_DOCUMENT_BYTES = 800_000
COMMIT_DEADLINE_S = 8.0
READ_RETRY_S = 0.5
# Far below the time that finished jobs are kept: a claim that looks open in an
# older copy may belong to a job whose entry was dropped since.
MAX_VIEW_AGE_S = 30.0
# A claim bucket that was not used for this long is dropped from memory.
IDLE_DOCUMENT_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """Context of a read of a document.

    Attributes:
        readers: contexts that are told of the result.
    """

    key: str
    sent_s: float
    readers: tuple[Any, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Saved:
    """Context of a write, with what the document then holds."""

    key: str
    write_id: str
    records: dict[str, Any]
    writes: list[str]


def document_of(
    state: state_lib.State, key: str, record_type: Any
) -> job_state.Document:
    """Returns a document, empty and not loaded if it is new here."""
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
        document: where the record belongs.
        name: name of the record in the document.
        expected: revision that is replaced; 0 for a new record.
        record: the new record; its revision is set here.
        context: passed to `document_results.committed` with the result.
    """
    change = job_state.Change(
        name=name,
        expected=expected,
        record=msgspec.structs.replace(record, revision=expected + 1),
        context=context,
        deadline_s=step.moment.now_s + COMMIT_DEADLINE_S,
    )
    document.queued.append(change)
    flush(state, step, document)


def read(
    state: state_lib.State,
    step: dispatch.Step,
    document: job_state.Document,
    context: Any = None,
) -> None:
    """Reads a document, after the read that is under way if there is one.

    Args:
        state: the reducer's state.
        step: the current step.
        document: what to read.
        context: passed to `document_results.committed` with Fresh or
            Unavailable, if any.
    """
    if context is not None:
        document.readers.append(context)
    if document.read_pending:
        return
    document.read_pending = True
    document.read_s = step.moment.now_s
    readers, document.readers = tuple(document.readers), []
    if document.version is None:
        message = store_messages.Read(document.key)
    else:
        # Answered without the value if nothing has changed, which keeps the
        # periodic reads of an idle scheduler small.
        message = store_messages.Watch(document.key, document.version, 0.0)
    dispatch.call(
        state,
        step,
        state.store(),
        message,
        Loaded(document.key, step.moment.now_s, readers),
        state.limits.call_timeout_s,
    )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Gives up late changes, retries the others, drops idle documents."""
    now_s = step.moment.now_s
    for key, document in list(state.jobs.documents.items()):
        if document.queued or document.in_flight or document.read_pending:
            document.used_s = now_s
        elif (
            document.record_type is job_state.JobClaim
            and now_s - document.used_s > IDLE_DOCUMENT_S
        ):
            del state.jobs.documents[key]
            continue
        _give_up_late(state, step, document)
        if document.queued and now_s - document.read_s >= READ_RETRY_S:
            flush(state, step, document)


def _give_up_late(
    state: state_lib.State, step: dispatch.Step, document: job_state.Document
) -> None:
    late = [
        change
        for change in document.queued
        if step.moment.now_s >= change.deadline_s
    ]
    for change in late:
        document.queued.remove(change)
    for change in late:
        result = document_results.Unavailable(certain=not change.write_ids)
        document_results.committed(change.context, state, step, result)


def flush(
    state: state_lib.State, step: dispatch.Step, document: job_state.Document
) -> None:
    """Writes the queued changes unless a write is under way."""
    _give_up_late(state, step, document)
    if document.in_flight or not document.queued:
        return
    age_s = step.moment.now_s - document.read_s
    if document.version is None or age_s > MAX_VIEW_AGE_S:
        document.version = None
        read(state, step, document)
        return
    records = {
        name: record
        for name, record in document.records.items()
        if not record.is_expired(step.moment.unix_ms, document.crowded)
    }
    results = _apply(document, records)
    if document.in_flight:
        _write(state, step, document, records, results)
    for change, result in results:
        document_results.committed(change.context, state, step, result)


def _apply(
    document: job_state.Document, records: dict[str, Any]
) -> list[tuple[job_state.Change, Any]]:
    """Moves what applies to `in_flight`; returns the changes with a result.

    A second change of the same record waits for the next write.
    """
    results: list[tuple[job_state.Change, Any]] = []
    waiting, changed = [], set()
    for change in document.queued:
        current = records.get(change.name)
        if change.write_ids.intersection(document.writes):
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
    writes = [*document.writes, write_id][-MAX_WRITE_IDS:]
    text = msgspec.json.encode({"records": records, "writes": writes}).decode()
    size = len(text.encode())
    document.crowded = 2 * size > MAX_DOCUMENT_BYTES
    new = [change for change in document.in_flight if change.expected == 0]
    if new and size > MAX_DOCUMENT_BYTES:
        # Changes of jobs that were accepted before need no more room.
        others = [c for c in document.in_flight if c.expected != 0]
        document.in_flight = []
        document.queued = others + document.queued
        for change in new:
            certain = not change.write_ids
            result = (
                document_results.TooLarge()
                if certain
                else document_results.Unavailable(certain=False)
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
        Saved(document.key, write_id, records, writes),
        state.limits.call_timeout_s,
    )


def load(document: job_state.Document, version: int, text: str | None) -> None:
    """Takes over what the store holds."""
    document.version = version
    document.loaded = True
    document.records = {}
    document.writes = []
    if text is None:
        return
    raw = msgspec.json.decode(text)
    document.records = msgspec.convert(
        raw["records"], dict[str, document.record_type]
    )
    document.writes = raw["writes"]


@dispatch.returned.register
def _(
    context: Loaded,
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
    # A read that was overtaken by a write of this instance is older.
    if document.version is None or reply.version >= document.version:
        if not unchanged:
            load(document, reply.version, reply.value)
        document.confirmed_s = context.sent_s
    flush(state, step, document)
    _answer_readers(
        state, step, document, context.readers, document_results.Fresh()
    )


@dispatch.failed.register
def _(
    context: Loaded,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    document = state.jobs.documents[context.key]
    document.read_pending = False
    if failure is kinds.CallFailure.NOT_SENT:
        _give_up_unsent(state, step, document)
    result = document_results.Unavailable(certain=True)
    _answer_readers(state, step, document, context.readers, result)


def _answer_readers(
    state: state_lib.State,
    step: dispatch.Step,
    document: job_state.Document,
    readers: tuple[Any, ...],
    result: Any,
) -> None:
    """Tells the readers; those that came during the read get a new one."""
    if document.readers:
        read(state, step, document)
    for context in readers:
        document_results.committed(context, state, step, result)


def _give_up_unsent(
    state: state_lib.State, step: dispatch.Step, document: job_state.Document
) -> None:
    """Refuses at once what was never sent while the store takes no calls."""
    unsent = [c for c in document.queued if not c.write_ids]
    document.queued = [c for c in document.queued if c.write_ids]
    for change in unsent:
        document_results.committed(
            change.context,
            state,
            step,
            document_results.Unavailable(certain=True),
        )


@dispatch.returned.register
def _(
    context: Saved,
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
    document.read_s = step.moment.now_s
    document.records = context.records
    document.writes = context.writes
    for change in changes:
        document_results.committed(
            change.context,
            state,
            step,
            document_results.Committed(change.record),
        )
    flush(state, step, document)


@dispatch.failed.register
def _(
    context: Saved,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    document = state.jobs.documents[context.key]
    changes, document.in_flight = document.in_flight, []
    document.queued = changes + document.queued
    document.version, document.read_s = None, step.moment.now_s
    if failure is kinds.CallFailure.NOT_SENT:
        for change in changes:
            change.write_ids.discard(context.write_id)
        _give_up_unsent(state, step, document)
