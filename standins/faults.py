"""Faults that can be injected into stand-ins of the platform's services."""

import dataclasses
import enum
from typing import Any


class Fault(enum.Enum):
    """How a service misbehaves.

    REFUSES answers at once with an error, SILENT does not answer in time; in
    both cases the call has no effect. With LOSES_REPLIES the call takes effect,
    but the answer is an error.
    """

    NONE = "none"
    REFUSES = "refuses"
    SILENT = "silent"
    LOSES_REPLIES = "loses_replies"


@dataclasses.dataclass
class Faults:
    """The currently injected fault.

    Attributes:
        remaining_calls: number of further calls affected; None for all.
        delay_s: delay of every call in seconds.
    """

    fault: Fault = Fault.NONE
    remaining_calls: int | None = None
    delay_s: float = 0.0

    def next_fault(self) -> Fault:
        """Returns the fault of the next call and counts the call."""
        if self.remaining_calls is None or self.fault is Fault.NONE:
            return self.fault
        if self.remaining_calls <= 0:
            self.fault = Fault.NONE
            self.remaining_calls = None
            return Fault.NONE
        self.remaining_calls -= 1
        return self.fault

    def update(self, changes: dict[str, Any]) -> None:
        """Applies a control message: "fault", "calls" and "delay_s"."""
        if "fault" in changes:
            self.fault = Fault(changes["fault"])
            self.remaining_calls = changes.get("calls")
        self.delay_s = changes.get("delay_s", self.delay_s)
