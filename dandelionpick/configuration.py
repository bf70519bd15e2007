"""Adopts the highest configuration revision and relays it to peers."""

import dataclasses

import msgspec

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import kinds
from dandelionpick import state as state_lib
from dandelionpick import store_messages
from dandelionpick import tree
from dandelionpick import tree_state

DOCUMENT_KEY = "config/tree"
READ_PERIOD_S = 1.0

_decoder = msgspec.json.Decoder(tree_state.Document)


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRead:
    """Context of a read of the document from the store."""


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Reads the document when it is due."""
    configuration = state.configuration
    age_s = step.moment.now_s - configuration.read_s
    if configuration.read_pending or age_s < READ_PERIOD_S:
        return
    configuration.read_pending = True
    dispatch.call(
        state,
        step,
        state.store(),
        store_messages.Read(DOCUMENT_KEY),
        DocumentRead(),
        state.limits.call_timeout_s,
    )


@dispatch.returned.register
def _(
    context: DocumentRead,
    state: state_lib.State,
    step: dispatch.Step,
    reply: store_messages.Value,
) -> None:
    state.configuration.read_pending = False
    state.configuration.read_s = step.moment.now_s
    state.configuration.store_version = reply.version
    if reply.value is not None:
        adopt(state, step, reply.value)


@dispatch.failed.register
def _(
    context: DocumentRead,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    state.configuration.read_pending = False


def adopt(state: state_lib.State, step: dispatch.Step, text: str) -> None:
    """Puts a document in force if its revision is higher than the held one."""
    document = _decoder.decode(text)
    configuration = state.configuration
    if document.revision <= configuration.document.revision:
        return
    configuration.document = document
    configuration.text = text
    configuration.organisations = tree.organisations_of(document.tree)
    step.note(
        effects.Part.CONFIGURATION,
        f"revision {document.revision} is in force",
    )
