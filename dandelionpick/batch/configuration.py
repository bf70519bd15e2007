"""Follows the operators' configuration, which never goes back."""

from returns import pipeline

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_api
from dandelionpick.batch import watches
from dandelionpick.batch import watching

# Each reply confirms the configuration; keys are accepted for 3.5 s after the
# last confirmation.
WATCH_S = 1.2


def start(state: state_lib.State, step: dispatch.Step) -> None:
    """Begins to follow the configuration."""
    watch = watches.CatalogWatch(state.formats.catalog_key, WATCH_S)
    watching.start(state, step, watch)


@watching.apply_item.register
def _(
    watch: watches.CatalogWatch,
    state: state_lib.State,
    step: dispatch.Step,
    item: store_api.Item,
) -> None:
    known = state.catalog
    if item.key != state.formats.catalog_key or item.revision <= known.revision:
        return
    decoded = state.formats.decode_catalog(item.value)
    if not pipeline.is_successful(decoded):
        step.note(
            effects.Part.CONFIGURATION,
            f"unreadable configuration at revision {item.revision}:"
            f" {decoded.failure()}",
            warning=True,
        )
        return
    catalog = decoded.unwrap()
    if known.current is not None and catalog.version < known.current.version:
        step.note(
            effects.Part.CONFIGURATION,
            f"version {catalog.version} is lower than"
            f" {known.current.version}; ignored",
            warning=True,
        )
        return
    known.current = catalog
    known.revision = item.revision
    if state.schedule is not None:
        state.schedule.dirty = True
    step.note(
        effects.Part.CONFIGURATION,
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
        effects.Part.CONFIGURATION,
        f"{key} was removed; the last version stays in force",
        warning=True,
    )
