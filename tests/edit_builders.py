"""Builders of edits and of a simulated network of failure domains."""

from dandelionpick import adoption
from dandelionpick import edit_state
from dandelionpick import ids
from dandelionpick import operator_messages as messages
from dandelionpick import tree_state
from standins import store as store_lib
from tests import builders
from tests import fabric

DOCUMENT_KEY = "config/tree"
WORTH_PATH = "classes/scan/worth"
SHARE_PATH = "branches/ward/share"
GUARANTEE = {"failure_domain": "a", "tasks": 2, "accelerators": 4}


def small_fabric(text: str | None = None, seed: int = 1) -> fabric.Fabric:
    """Builds three failure domains with two instances and one worker each."""
    built = fabric.Fabric(seed)
    built.store.entries[DOCUMENT_KEY] = store_lib.Entry(
        1, text or builders.document()
    )
    built.store.versions = 1
    for domain in ("a", "b", "c"):
        entry = builders.worker_entry(f"worker-{domain}", domain)
        built.add_target(entry, None)
        for number in (1, 2):
            built.add_instance(f"{domain}{number}", domain)
    built.run_for(5.0)
    return built


def edit(
    edit_id: str, path: str = SHARE_PATH, value=2.0, **fields
) -> messages.EditTree:
    """Builds an edit of one setting."""
    return messages.EditTree(
        edit_id=ids.EditId(edit_id),
        changes=[messages.Change(path, value)],
        **fields,
    )


def revisions(built: fabric.Fabric) -> set[int]:
    """Returns the revisions that the running instances have in force."""
    return {
        instance.state.configuration.document.revision
        for instance in built.instances.values()
        if instance.state is not None
    }


def stored_document(built: fabric.Fabric) -> tree_state.Document:
    """Returns the document in the store."""
    return adoption.decode_document(built.store.value(DOCUMENT_KEY).value)


def await_response(built: fabric.Fabric, exchange_id: str):
    """Advances until an exchange is answered."""
    built.run_until(lambda: exchange_id in built.responses)
    return built.response(exchange_id)


def run_until_writing(built: fabric.Fabric, name: str) -> None:
    """Advances in small steps until an instance has sent its write."""
    edits = built.instances[name].state.edits
    while edits.queue[0].phase is not edit_state.Phase.WRITING:
        built.run_for(0.0005)
