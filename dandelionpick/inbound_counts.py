"""Counts the bytes of one inbound connection by what they belong to."""

import enum

# Framing that each byte of a body may have on average. A chunk of one byte has
# five bytes of framing; the rest is for short extensions.
FRAMING_BYTES_PER_BODY_BYTE = 16


class Phase(enum.Enum):
    """What the next byte of a connection belongs to."""

    BETWEEN = "between"
    HEADERS = "headers"
    BODY = "body"


class ByteCounts:
    """Bytes received in the current phase, without those of the body.

    The parser doesn't show how many bytes are empty lines, extensions of chunks
    or trailers. What it was fed minus what it passed on as body is counted
    instead. A part in which the phase changes is not counted, so that the
    counts are too low by at most one part.

    Attributes:
        phase: current phase of the connection.
        framing: bytes of the current phase that are not part of a body.
        body: bytes of the current body.
    """

    def __init__(self):
        self.phase = Phase.BETWEEN
        self.framing = 0
        self.body = 0
        self._changes = 0
        self._changes_before = 0
        self._body_before = 0

    def enter(self, phase: Phase) -> None:
        """Begins a phase."""
        self.phase = phase
        self.framing = 0
        self.body = 0
        self._changes += 1

    def begin_part(self) -> None:
        """Must be called before the parser is fed with a part."""
        self._changes_before = self._changes
        self._body_before = self.body

    def end_part(self, size: int) -> None:
        """Counts a part that the parser was fed with."""
        if self._changes == self._changes_before:
            self.framing += size - (self.body - self._body_before)

    def exceeds(self, max_header_bytes: int, max_framing_bytes: int) -> bool:
        """Returns whether the phase has more bytes than it may have."""
        if self.phase is Phase.BODY:
            earned = FRAMING_BYTES_PER_BODY_BYTE * self.body
            return self.framing > max_framing_bytes + earned
        return self.framing > max_header_bytes
