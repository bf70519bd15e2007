"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """What a process ends with."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    UNREACHABLE = 4
    REFUSED = 5
    OUTCOME_UNKNOWN = 6
    INTERRUPTED = 7
