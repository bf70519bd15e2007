"""Watches the operators' configuration and puts new versions in force.

A version that is lower than the current one is never adopted.
"""

from returns import pipeline

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import target_registry
from dandelionpick.batch import watches
from dandelionpick.batch import watching

# Each reply to the watch confirms the configuration; keys are accepted for
# 3.5 s after the last confirmation.
CATALOG_WATCH_S = 1.2


def start(state: state_lib.State, step: dispatch.Step) -> None:
    """Starts the watch of the configuration."""
    watch = watches.CatalogWatch(state.formats.catalog_key, CATALOG_WATCH_S)
    watching.start(state, step, watch)


@watching.apply_item.register
def _(
    watch: watches.CatalogWatch,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    catalog_state = state.catalog
    if (
        item.key != state.formats.catalog_key
        or item.revision <= catalog_state.revision
    ):
        return
    decoded = state.formats.decode_catalog(item.value)
    if not pipeline.is_successful(decoded):
        step.note(
            effects.Component.CONFIGURATION,
            f"unreadable configuration at revision {item.revision}:"
            f" {decoded.failure()}",
            warning=True,
        )
        return
    catalog = decoded.unwrap()
    if (
        catalog_state.current is not None
        and catalog.version < catalog_state.current.version
    ):
        step.note(
            effects.Component.CONFIGURATION,
            f"ignored version {catalog.version}, which is lower than version"
            f" {catalog_state.current.version} in force",
            warning=True,
        )
        return
    catalog_state.current = catalog
    catalog_state.revision = item.revision
    catalog_state.value = item.value
    if state.schedule is not None:
        state.schedule.dirty = True
    target_registry.apply_catalog(state, step)
    step.note(
        effects.Component.CONFIGURATION,
        f"version {catalog.version} in force, revision {item.revision},"
        f" {len(catalog.queues)} queues",
    )


@watching.apply_removal.register
def _(
    watch: watches.CatalogWatch,
    state: state_lib.State,
    step: dispatch.Step,
    key: str,
) -> None:
    step.note(
        effects.Component.CONFIGURATION,
        f"{key} was removed from the store; the last version stays in force",
        warning=True,
    )
