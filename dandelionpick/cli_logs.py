"""Reads the log files that a command is given."""

import pathlib
import sys
from collections.abc import Iterable
from collections.abc import Iterator

STDIN = "-"


class UnreadableError(Exception):
    """A log can't be read; the text says why and what to do."""


def read(names: Iterable[str]) -> Iterator[str]:
    """Yields the lines of log files, or of standard input without any.

    Raises:
        UnreadableError: a log can't be read, or is not text.
    """
    try:
        for name in names or [STDIN]:
            if name == STDIN:
                yield from sys.stdin
            else:
                yield from pathlib.Path(name).read_text().splitlines()
    except OSError as error:
        raise UnreadableError(
            f"{error.filename}: cannot be read ({error.strerror}); give"
            " readable log files"
        ) from error
    except UnicodeDecodeError as error:
        raise UnreadableError(
            f"the log is not UTF-8 text ({error.reason})"
        ) from error
