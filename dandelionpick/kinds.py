"""Enums of states, outcomes and reasons that cross module boundaries."""

import enum


class Outcome(enum.Enum):
    """The known outcome of a request or job."""

    PENDING = "pending"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Role(enum.Enum):
    """The role of an entry of the instance list."""

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
    """How a call failed without a reply.

    With NOT_SENT the receiver certainly never got the message. With LOST it is
    unknown whether the message took effect.
    """

    NOT_SENT = "not_sent"
    LOST = "lost"


class TaskRefusal(enum.Enum):
    """Why an executor refused a task; in each case the task has not run."""

    BUSY = "busy"
    LEAVING = "leaving"
    TOMBSTONED = "tombstoned"
    DEADLINE_PASSED = "deadline_passed"
    WRONG_INCARNATION = "wrong_incarnation"


class PartState(enum.Enum):
    """State of the part of a gang that is assigned to one worker."""

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
    """State of a job as reported to its caller."""

    QUEUED = "queued"
    PLACING = "placing"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
