"""Settings of an entry instance, read from an INI file and checked."""

import configparser
import pathlib
from typing import Annotated
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import state as state_lib

Address = Annotated[str, msgspec.Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Positive = Annotated[int, msgspec.Meta(gt=0)]


class InstanceSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who this instance is and where it listens."""

    name: Name
    failure_domain: Name
    region: Name
    listen: Address


class PlatformSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's services are."""

    store: Address
    instance_list: Address


class LimitsSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and timeouts; each has a default."""

    max_body_bytes: Positive = 1_000_000
    max_queued_requests: Positive = 2_000
    answer_retention_s: Seconds = 120.0
    max_answer_bytes: Positive = 16_000_000
    list_period_s: Seconds = 1.0
    heartbeat_period_s: Seconds = 1.0
    suspect_after_s: Seconds = 3.0
    call_timeout_s: Seconds = 2.0
    drain_notice_s: Seconds = 3.0
    drain_limit_s: Seconds = 30.0
    short_max_s: Seconds = 0.5
    closed_to_long_share: Share = 0.25
    inter_region_bytes_per_s: Positive = 100_000


class TracingSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many traces are kept."""

    sampled_share: Share = 0.01


class LogSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is logged."""

    level: str = "info"


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All sections of the settings file."""

    instance: InstanceSection
    platform: PlatformSection
    limits: LimitsSection = LimitsSection()
    tracing: TracingSection = TracingSection()
    log: LogSection = LogSection()


def load(path: str) -> Result[Settings, str]:
    """Reads and checks a settings file.

    Returns:
        The settings, or a message with file, section, key and remedy.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(pathlib.Path(path).read_text(), source=path)
    except OSError as error:
        return Failure(
            f"{path}: cannot be read ({error.strerror}); give the path of a"
            " readable settings file"
        )
    except configparser.Error as error:
        return Failure(f"{path}: {error}; correct the INI syntax")
    sections = {name: dict(parser[name]) for name in parser.sections()}
    return _convert(sections, path)


def _convert(sections: dict[str, Any], path: str) -> Result[Settings, str]:
    try:
        return Success(msgspec.convert(sections, Settings, strict=False))
    except msgspec.ValidationError as error:
        return Failure(f"{path}: {error}; correct this setting")


def limits_of(settings: Settings) -> state_lib.Limits:
    """Returns the reducer's limits."""
    return state_lib.Limits(**msgspec.structs.asdict(settings.limits))
