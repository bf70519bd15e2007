"""Settings of an entry instance."""

import functools

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import settings_file
from dandelionpick import state as state_lib

LimitsSection = settings_file.section_type_of(state_lib.Limits)


class InstanceSection(msgspec.Struct, frozen=True):
    """Identity and listen address of this instance."""

    name: settings_file.Name
    failure_domain: settings_file.Name
    region: settings_file.Name
    listen: settings_file.Address


class PlatformSection(msgspec.Struct, frozen=True):
    """Addresses of the platform's services."""

    store: settings_file.Address
    instance_list: settings_file.Address


class Settings(msgspec.Struct, frozen=True):
    """All sections of the settings file."""

    instance: InstanceSection
    platform: PlatformSection
    limits: LimitsSection = LimitsSection()
    server: settings_file.ServerSection = settings_file.ServerSection()
    client: settings_file.ClientSection = settings_file.ClientSection()
    tracing: settings_file.TracingSection = settings_file.TracingSection()
    log: settings_file.LogSection = settings_file.LogSection()


SECTION_TYPES = settings_file.section_types(Settings)


def load(path: str) -> Result[Settings, list[settings_file.SettingsError]]:
    """Reads and checks a settings file.

    Returns:
        The settings, or all errors in the file.
    """
    return settings_file.read(path, Settings).bind(
        functools.partial(_check_limits, path)
    )


def _check_limits(
    path: str, settings: Settings
) -> Result[Settings, list[settings_file.SettingsError]]:
    limits = settings.limits
    if limits.suspect_after_s > limits.heartbeat_period_s:
        return Success(settings)
    error = settings_file.SettingsError(
        path,
        "limits",
        "suspect_after_s",
        "every peer would be suspected between two heartbeats",
        "give more seconds than heartbeat_period_s",
    )
    return Failure([error])


def limits_of(settings: Settings) -> state_lib.Limits:
    """Converts the section to the limits of the reducer."""
    return state_lib.Limits(**msgspec.structs.asdict(settings.limits))
