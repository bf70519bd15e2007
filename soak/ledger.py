"""Counts checks of the system's promises, and records those that failed."""

import collections
import dataclasses
import enum


class Promise(enum.Enum):
    """What callers, operators and targets are promised.

    The rules at the targets are those of the stand-in's oracle, such as work at
    most once, whole gangs and their capacity.
    """

    TARGET_RULES = "rules at the targets"
    ACCEPTED_IS_KNOWN = "an accepted job is known"
    OWN_ANSWER = "each answer is whole and well formed"
    OTHER_TENANT_REFUSED = "no key of another tenant shows or cancels a job"
    INVALID_REQUEST_REFUSED = "an invalid request is refused"
    REFUSED_NEVER_RUNS = "a refused job never runs"
    COMPLETED_IS_DONE = "a completed job has done all its work"
    ALL_JOBS_END = "accepted jobs end once the faults are over"
    GUARANTEE_RECLAIMED = "a guaranteed shape is reclaimed in time"
    NOTHING_ON_LEAVING_TARGETS = "a leaving target gets no new work"
    STOP_CUTS_NOTHING_OFF = "a planned stop cuts off no request"
    STOP_IN_TIME = "a planned stop ends in time and without an error"
    PROCESS_STAYS_UP = "a process doesn't end by itself"
    EDIT_IN_FORCE = "an edit is in force in time"
    EDIT_NOT_REVERTED = "an edit stays in force"
    KEY_WITHDRAWN = "a withdrawn key is refused in time"


@dataclasses.dataclass
class Ledger:
    """What was checked and what failed.

    Attributes:
        checks: number of checks by promise.
        violations: promises that were broken, with what was seen.
        outcomes: number of answers to callers by status; 0 without an answer.
    """

    checks: collections.Counter[Promise] = dataclasses.field(
        default_factory=collections.Counter
    )
    violations: list[tuple[Promise, str]] = dataclasses.field(
        default_factory=list
    )
    outcomes: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    def check(self, promise: Promise, holds: bool, text: str) -> None:
        """Counts a check, and records a violation if it does not hold."""
        self.checks[promise] += 1
        if not holds and (promise, text) not in self.violations:
            self.violations.append((promise, text))
