"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """The exit status of a command.

    Attributes:
        REFUSED: the command was not carried out.
        OUTCOME_UNKNOWN: it is unknown whether the command took effect.
    """

    OK = 0
    FAILURE = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    UNREACHABLE = 4
    REFUSED = 5
    OUTCOME_UNKNOWN = 6
    INTERRUPTED = 7
