"""Reads and validates settings from an INI file.

Also defines the sections that all programs share.
"""

import configparser
import dataclasses
import enum
import pathlib
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from dandelionpick import http_pools
from dandelionpick import inbound_limits

MAX_SECONDS = 365 * 86_400.0

Address = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^\d+\.\d+\.\d+\.\d+:\d{1,5}$",
        description="give an IPv4 address and a port, as in 10.0.0.1:8080",
    ),
]
Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[a-z0-9][a-z0-9-]{0,62}$",
        description="use 1 to 63 lower-case letters, digits and hyphens",
    ),
]
Share = Annotated[
    float, msgspec.Meta(ge=0, le=1, description="give a number from 0 to 1")
]
Seconds = Annotated[
    float,
    msgspec.Meta(
        gt=0,
        le=MAX_SECONDS,
        description="give a number of seconds above 0, at most a year",
    ),
]
PositiveInt = Annotated[
    int, msgspec.Meta(gt=0, description="give a whole number above 0")
]
Boolean = Annotated[bool, msgspec.Meta(description="give true or false")]

SHARE_SUFFIXES = ("_share", "_ratio")
# configparser copies the keys of its default section into every other section.
# No section of a program has this name, so [DEFAULT] is refused as unknown.
NO_DEFAULT_SECTION = "]"


class LogLevel(enum.Enum):
    """Minimum severity of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


def _setting_type_of(field: dataclasses.Field) -> Any:
    if field.type is bool:
        return Boolean
    if field.type is int:
        return PositiveInt
    return Share if field.name.endswith(SHARE_SUFFIXES) else Seconds


def section_type_of(limits: type) -> type:
    """Builds the section type whose settings are the fields of a dataclass."""
    fields = [
        (field.name, _setting_type_of(field), field.default)
        for field in dataclasses.fields(limits)
    ]
    return msgspec.defstruct(f"{limits.__name__}Section", fields, frozen=True)


ServerSection = section_type_of(inbound_limits.InboundLimits)
ClientSection = section_type_of(http_pools.PoolLimits)


class TracingSection(msgspec.Struct, frozen=True):
    """Sampling rate of traces."""

    sampled_share: Share = 0.01


class LogSection(msgspec.Struct, frozen=True):
    """Severity of the log output."""

    level: Annotated[
        LogLevel,
        msgspec.Meta(description="use debug, info, warning or error"),
    ] = LogLevel.INFO


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """An error in a settings file.

    Attributes:
        section: "" if the error concerns the whole file.
        key: "" if the error concerns the whole section.
    """

    path: str
    section: str
    key: str
    message: str
    remedy: str

    def __str__(self) -> str:
        location = (
            f"[{self.section}] {self.key}".rstrip() if self.section else ""
        )
        parts = [self.path, location, f"{self.message}; {self.remedy}"]
        return ": ".join(filter(None, parts))


SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


def read(
    path: str,
    settings_type: type[SettingsT],
    replaced: Mapping[tuple[str, str], str] | None = None,
) -> Result[SettingsT, list[SettingsError]]:
    """Reads a settings file whose sections are the fields of a struct.

    Args:
        path: path of the file.
        settings_type: the struct.
        replaced: values from elsewhere, by section and key, which replace those
            in the file.

    Returns:
        The settings, or all errors in the file.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section=NO_DEFAULT_SECTION
    )
    try:
        parser.read_string(pathlib.Path(path).read_text(), source=path)
    except OSError as error:
        message = f"the file cannot be read ({error.strerror})"
        remedy = "give the path of a readable settings file"
        return Failure([SettingsError(path, "", "", message, remedy)])
    except UnicodeDecodeError:
        message = "the file is not UTF-8 text"
        remedy = "save it as UTF-8"
        return Failure([SettingsError(path, "", "", message, remedy)])
    except configparser.Error as error:
        return Failure([_syntax_error(path, error)])
    sections = {name: dict(parser[name]) for name in parser.sections()}
    for (section, key), text in (replaced or {}).items():
        sections.setdefault(section, {})[key] = text
    errors = list(_check_sections(sections, path, section_types(settings_type)))
    if errors:
        return Failure(errors)
    return Success(msgspec.convert(sections, settings_type, strict=False))


def section_types(settings_type: type[msgspec.Struct]) -> dict[str, type]:
    """Returns the type of each section."""
    return {
        field.name: field.type
        for field in msgspec.structs.fields(settings_type)
    }


def _syntax_error(path: str, error: configparser.Error) -> SettingsError:
    return SettingsError(
        path,
        getattr(error, "section", ""),
        getattr(error, "option", ""),
        " ".join(error.message.split()),
        "correct the INI syntax",
    )


def _check_sections(
    sections: dict[str, dict[str, str]], path: str, types: dict[str, type]
) -> Iterator[SettingsError]:
    for name in sections:
        if name not in types:
            known = ", ".join(types)
            yield SettingsError(
                path, name, "", "unknown section", f"use one of {known}"
            )
    for name, section_type in types.items():
        yield from _check_section(name, section_type, sections, path)


def _check_section(
    name: str,
    section_type: type,
    sections: dict[str, dict[str, str]],
    path: str,
) -> Iterator[SettingsError]:
    values = sections.get(name, {})
    fields = {
        field.name: field for field in msgspec.structs.fields(section_type)
    }
    for key in values:
        if key not in fields:
            known = ", ".join(fields)
            yield SettingsError(
                path, name, key, "unknown key", f"use one of {known}"
            )
    for key, field in fields.items():
        remedy = remedy_of(field.type)
        if key in values:
            problem = _validation_error_of(values[key], field.type)
            if problem:
                yield SettingsError(path, name, key, problem, remedy)
        elif field.required:
            yield SettingsError(path, name, key, "the key is missing", remedy)


def _validation_error_of(text: str, field_type: Any) -> str:
    """Returns the error in a value, or "" if it is valid."""
    try:
        msgspec.convert(text, field_type, strict=False)
    except msgspec.ValidationError:
        return f'the value "{text}" is not valid'
    return ""


def remedy_of(field_type: Any) -> str:
    """Returns the remedy that describes the valid values of a setting."""
    return next(
        item.description
        for item in field_type.__metadata__
        if isinstance(item, msgspec.Meta)
    )


def inbound_limits_of(
    section: ServerSection,
) -> inbound_limits.InboundLimits:
    """Converts the section to the limits on inbound connections."""
    values = msgspec.structs.asdict(section)
    return inbound_limits.InboundLimits(**values)


def pool_limits_of(section: ClientSection) -> http_pools.PoolLimits:
    """Converts the section to the limits on outgoing connections."""
    return http_pools.PoolLimits(**msgspec.structs.asdict(section))
