"""Settings of an instance that schedules batch jobs, read from an INI file."""

import functools
from collections.abc import Mapping
from typing import Annotated

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import ids
from dandelionpick import settings_file
from dandelionpick.batch import features as features_lib
from dandelionpick.batch import state as state_lib

# These are not among the values that every platform fills in.
HEARTBEAT_ENV_VAR = "DANDELIONPICK_HEARTBEAT_MS"
MEMORY_ENV_VAR = "DANDELIONPICK_MEMORY_MB"

# Parts of the scheduler that use what another part learns.
NEEDED_PARTS = {
    "avoid_slow_targets": "target_reliability",
    "order_by_run_times": "learn_run_times",
}

Milliseconds = Annotated[
    float,
    msgspec.Meta(ge=0, description="give milliseconds, 0 or more"),
]


Processor = Annotated[
    float,
    msgspec.Meta(ge=0, description="give processor cores, 0 or more"),
]


Megabytes = Annotated[
    float,
    msgspec.Meta(ge=0, description="give megabytes, 0 or more"),
]


class InstanceSection(msgspec.Struct, frozen=True):
    """Identity of this instance."""

    name: settings_file.Name
    failure_domain: settings_file.Name
    region: settings_file.Name


class ListenSection(msgspec.Struct, frozen=True):
    """Addresses that this instance listens on.

    Attributes:
        callers: for job requests.
        health: for the probes of the load balancer.
        peers: for other instances, and for metrics.
    """

    callers: settings_file.Address
    health: settings_file.Address
    peers: settings_file.Address


class StoreSection(msgspec.Struct, frozen=True):
    """Address of the store."""

    address: settings_file.Address


class BoundsSection(msgspec.Struct, frozen=True):
    """Time limits that the platform guarantees or requires; see Limits.

    Attributes:
        heartbeat_ms: interval of the targets' reports to the store. If it is 0,
            work of a target that has drained waits until its leases end.
        evacuate_ms: no task may start in a failure domain this long after its
            evacuation was acknowledged. If it is 0, evacuations are not
            watched.
        gang_wait_ms: how long members of a gang wait for the others on their
            targets. If it is 0, starts without a reply are not repeated.
    """

    revoke_ms: Milliseconds
    run_lease_ms: Milliseconds
    restore_ms: Milliseconds
    stop_ms: Milliseconds
    early_ms: Milliseconds
    retention_s: settings_file.Seconds
    drain_s: settings_file.Seconds
    heartbeat_ms: Milliseconds = 0.0
    evacuate_ms: Milliseconds = 0.0
    gang_wait_ms: Milliseconds = 0.0


class CapacitySection(msgspec.Struct, frozen=True):
    """Processor and memory of this instance.

    Attributes:
        processor_share: share of a core that the process gets; decides with
            `core_speed` who becomes the scheduler.
        core_speed: how many times as fast as an ordinary core it is.
        memory_mb: memory that the process may use; bounds the jobs that are
            accepted. If it is 0, the bound is that of 256 MB.
    """

    processor_share: Processor = 0.0
    core_speed: Processor = 1.0
    memory_mb: Megabytes = 0.0


class SchedulingSection(msgspec.Struct, frozen=True):
    """Optional parts of the scheduler; see Features."""

    target_reliability: settings_file.Boolean = False
    departures: settings_file.Boolean = False
    avoid_slow_targets: settings_file.Boolean = False
    learn_run_times: settings_file.Boolean = False
    order_by_run_times: settings_file.Boolean = False
    fair_shares: settings_file.Boolean = False
    gang_reservations: settings_file.Boolean = False


class Settings(msgspec.Struct, frozen=True):
    """All sections of the settings file."""

    instance: InstanceSection
    listen: ListenSection
    store: StoreSection
    bounds: BoundsSection
    capacity: CapacitySection = CapacitySection()
    scheduling: SchedulingSection = SchedulingSection()
    server: settings_file.ServerSection = settings_file.ServerSection()
    client: settings_file.ClientSection = settings_file.ClientSection()
    tracing: settings_file.TracingSection = settings_file.TracingSection()
    log: settings_file.LogSection = settings_file.LogSection()


def load(
    path: str, env: Mapping[str, str] | None = None
) -> Result[Settings, list[settings_file.SettingsError]]:
    """Reads and checks a settings file.

    Args:
        path: path of the file.
        env: environment variables; HEARTBEAT_ENV_VAR replaces
            `[bounds] heartbeat_ms`, and MEMORY_ENV_VAR
            `[capacity] memory_mb`.

    Returns:
        The settings, or all errors that were found.
    """
    env = env or {}
    replaced = {
        ("bounds", "heartbeat_ms"): env.get(HEARTBEAT_ENV_VAR, ""),
        ("capacity", "memory_mb"): env.get(MEMORY_ENV_VAR, ""),
    }
    settings = settings_file.read(
        path, Settings, {key: text for key, text in replaced.items() if text}
    )
    return settings.bind(functools.partial(_check_scheduling, path))


def _check_scheduling(
    path: str, settings: Settings
) -> Result[Settings, list[settings_file.SettingsError]]:
    """Returns an error for each part that needs another one to be on."""
    errors = [
        settings_file.SettingsError(
            path,
            "scheduling",
            part,
            f"it has no effect without {needed}",
            f"set {needed} = true, or remove {part}",
        )
        for part, needed in NEEDED_PARTS.items()
        if getattr(settings.scheduling, part)
        and not getattr(settings.scheduling, needed)
    ]
    return Failure(errors) if errors else Success(settings)


def identity_of(settings: Settings, peer_address: str) -> state_lib.Identity:
    """Returns the identity of the instance."""
    return state_lib.Identity(
        instance=ids.InstanceId(settings.instance.name),
        failure_domain=ids.FailureDomain(settings.instance.failure_domain),
        region=ids.Region(settings.instance.region),
        store_address=settings.store.address,
        peer_address=peer_address,
        strength=settings.capacity.processor_share
        * settings.capacity.core_speed,
    )


def limits_of(settings: Settings) -> state_lib.Limits:
    """Returns the reducer's limits."""
    bounds = settings.bounds
    return state_lib.Limits(
        revoke_s=bounds.revoke_ms / 1_000,
        run_lease_s=bounds.run_lease_ms / 1_000,
        retention_s=bounds.retention_s,
        drain_s=bounds.drain_s,
        restore_s=bounds.restore_ms / 1_000,
        stop_s=bounds.stop_ms / 1_000,
        early_s=bounds.early_ms / 1_000,
        heartbeat_s=bounds.heartbeat_ms / 1_000,
        evacuate_s=bounds.evacuate_ms / 1_000,
        gang_wait_s=bounds.gang_wait_ms / 1_000,
        memory_mb=settings.capacity.memory_mb,
    )


def features_of(settings: Settings) -> features_lib.Features:
    """Returns the parts of the scheduler that are switched on."""
    return features_lib.Features(**msgspec.structs.asdict(settings.scheduling))
