"""Enums of states, outcomes and reasons that cross module boundaries."""

import enum


class Outcome(enum.Enum):
    """What is known about a request or job."""

    PENDING = "pending"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Role(enum.Enum):
    """What an entry of the instance list does."""

    ENTRY = "entry"
    EXECUTOR = "executor"
    WORKER = "worker"


class Liveness(enum.Enum):
    """Whether an instance takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Service(enum.Enum):
    """The interface that a call goes to."""

    STORE = "store"
    INSTANCE_LIST = "instance_list"
    EXECUTOR = "executor"
    WORKER = "worker"
    PEER = "peer"


class CallFailure(enum.Enum):
    """Why a call returned no reply.

    NOT_SENT is certain: the receiver never got the message. LOST leaves open
    whether the message took effect.
    """

    NOT_SENT = "not_sent"
    LOST = "lost"


class TaskRefusal(enum.Enum):
    """Why an executor did not start a task; each one means not run."""

    BUSY = "busy"
    LEAVING = "leaving"
    TOMBSTONED = "tombstoned"
    DEADLINE_PASSED = "deadline_passed"
    WRONG_INCARNATION = "wrong_incarnation"


class PartState(enum.Enum):
    """State of the part of a gang that is on one worker."""

    HELD = "held"
    STARTING = "starting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class PartRefusal(enum.Enum):
    """Why a worker refused a message about a part."""

    ACCELERATORS_TAKEN = "accelerators_taken"
    LEAVING = "leaving"
    TOMBSTONED = "tombstoned"
    WRONG_INCARNATION = "wrong_incarnation"
    UNKNOWN_PART = "unknown_part"


class JobState(enum.Enum):
    """State of a job as its caller sees it."""

    QUEUED = "queued"
    PLACING = "placing"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
