"""Stages of a takeover."""

import enum


class Stage(enum.Enum):
    """Stage of a takeover."""

    READING = "reading"
    FENCING = "fencing"
    READY = "ready"
