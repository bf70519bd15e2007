"""Faults that the stand-ins of the platform's services can show."""

import dataclasses
import enum
from typing import Any


class Fault(enum.Enum):
    """How a service misbehaves.

    REFUSES answers at once with an error and SILENT not at all; neither has
    an effect. LOSES_REPLIES takes effect and answers with an error.
    """

    NONE = "none"
    REFUSES = "refuses"
    SILENT = "silent"
    LOSES_REPLIES = "loses_replies"


@dataclasses.dataclass
class Faults:
    """The fault that is injected now.

    Attributes:
        calls: how many further calls are affected; None for all.
        delay_s: seconds by which every call is delayed.
    """

    fault: Fault = Fault.NONE
    calls: int | None = None
    delay_s: float = 0.0

    def draw(self) -> Fault:
        """Returns the fault of the next call and counts the call."""
        if self.calls is None or self.fault is Fault.NONE:
            return self.fault
        if self.calls <= 0:
            self.fault = Fault.NONE
            self.calls = None
            return Fault.NONE
        self.calls -= 1
        return self.fault

    def change(self, changes: dict[str, Any]) -> None:
        """Applies the keys fault, calls and delay_s of a control message."""
        if "fault" in changes:
            self.fault = Fault(changes["fault"])
            self.calls = changes.get("calls")
        self.delay_s = changes.get("delay_s", self.delay_s)
