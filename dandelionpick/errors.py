"""Typed errors with a message and a remedy."""

import enum

import msgspec


class ProblemKind(enum.Enum):
    """Kinds of refusals and failures that callers and operators can receive."""

    MALFORMED = "malformed"
    UNKNOWN_ORGANISATION = "unknown_organisation"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_KEY = "unknown_key"
    BODY_TOO_LARGE = "body_too_large"
    KEY_REUSED = "key_reused"
    KEY_INVALID = "key_invalid"
    KEY_EXPIRED = "key_expired"
    SHAPE_TOO_LARGE = "shape_too_large"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_PASSED = "deadline_passed"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    NO_CONFIGURATION = "no_configuration"
    NO_TARGET = "no_target"
    STORE_UNAVAILABLE = "store_unavailable"
    TARGET_LOST = "target_lost"
    TASK_FAILED = "task_failed"
    CANCELLED = "cancelled"
    EDIT_INVALID = "edit_invalid"
    EDIT_CONFLICT = "edit_conflict"
    GUARANTEES_DO_NOT_FIT = "guarantees_do_not_fit"
    FORBIDDEN = "forbidden"
    PEER_UNAVAILABLE = "peer_unavailable"
    INTERNAL = "internal"
    UNKNOWN_PATH = "unknown_path"
    TOO_SLOW = "too_slow"
    UNAUTHENTICATED = "unauthenticated"
    OUTCOME_UNKNOWN = "outcome_unknown"


class Problem(msgspec.Struct, frozen=True):
    """A human-readable error.

    Attributes:
        kind: the machine-readable kind.
        message: what is wrong, in one sentence.
        remedy: what the reader can do about it, in one sentence.
    """

    kind: ProblemKind
    message: str
    remedy: str
