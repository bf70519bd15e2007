"""Claim records in the store, and the buckets that contain them."""

import dataclasses
import enum
from typing import Any

import msgspec

from dandelionpick import ids

ClaimName = tuple[ids.OrganisationId, ids.RequestKey]


class ClaimState(enum.Enum):
    """State of a claim; COMPLETED and NOT_RUN are final."""

    CLAIMED = "claimed"
    COMPLETED = "completed"
    NOT_RUN = "not_run"


class ClaimRecord(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Record in the store that a key is claimed, and where it runs.

    Attributes:
        body_digest: SHA-256 of the submitted body or job.
        claim_id: identifies the submission that wrote the claim.
        task_id: the task of a request; "" for a job.
        target: the executor of a request; "" for a job.
        incarnation: the executor's incarnation; "" for a job.
        failure_domain: the failure domain of a job; "" for a request.
        start_deadline_ms: Unix milliseconds after which the target must not
            start the task.
        exclusive: whether a cancelled key is known to be non-idempotent work;
            a claim does not prevent an idempotent request from running.
        final_ms: Unix milliseconds when the state became final.
        succeeded: False if the task itself failed.
        length: bytes in the response.
        digest: SHA-256 of the response in hexadecimal.
        body: the response, or None if it is too large for the record.
    """

    organisation: ids.OrganisationId
    key: ids.RequestKey
    body_digest: str
    claim_id: str
    state: ClaimState = ClaimState.CLAIMED
    task_id: ids.TaskId = ids.TaskId("")
    target: ids.InstanceId = ids.InstanceId("")
    incarnation: ids.Incarnation = ids.Incarnation("")
    failure_domain: ids.FailureDomain = ids.FailureDomain("")
    start_deadline_ms: int = 0
    exclusive: bool = False
    final_ms: int = 0
    succeeded: bool = True
    length: int = 0
    digest: str = ""
    body: bytes | None = None

    def name(self) -> ClaimName:
        """Returns organisation and key."""
        return (self.organisation, self.key)


def with_fields(record: ClaimRecord, **fields: Any) -> ClaimRecord:
    """Returns a copy of a record with the given fields replaced."""
    return msgspec.structs.replace(record, **fields)


@dataclasses.dataclass(slots=True, eq=False)
class Change:
    """Pending write or read of one claim.

    Attributes:
        record: the claim to write, or None to read.
        expected: the record that the write replaces; None if there is none.
        context: selects the handler of the result by its type.
        expires_s: monotonic seconds after which the result is UNAVAILABLE.
    """

    name: ClaimName
    record: ClaimRecord | None
    expected: ClaimRecord | None
    context: Any
    expires_s: float
    trace: str


@dataclasses.dataclass(slots=True)
class Bucket:
    """A bucket as this instance last saw it in the store.

    Attributes:
        must_read: whether the bucket must be read before the next write,
            because a lost reply or a stall made the records uncertain.
        waiting: changes for the next write.
        in_flight: changes in the current write.
        next_records: the records that the current write stores.
        calling: whether a call to the store is in progress.
        retry_s: monotonic seconds before which no call is made after a failure.
        last_change_s: monotonic seconds of the last change.
    """

    version: int = 0
    records: dict[ClaimName, ClaimRecord] = dataclasses.field(
        default_factory=dict
    )
    must_read: bool = False
    waiting: list[Change] = dataclasses.field(default_factory=list)
    in_flight: list[Change] = dataclasses.field(default_factory=list)
    next_records: dict[ClaimName, ClaimRecord] = dataclasses.field(
        default_factory=dict
    )
    calling: bool = False
    retry_s: float = float("-inf")
    last_change_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Claims:
    """Claims that this instance writes or reads.

    Attributes:
        buckets: by store key.
        claims_created: sequence number of the last claim id.
        sweep_minute: Unix minute of the last sweep.
        sweep_keys: buckets that the current sweep has yet to read.
        sweeping: whether a call of the sweep is in progress.
        sweep_read_s: monotonic seconds of the sweep's last read.
    """

    buckets: dict[str, Bucket] = dataclasses.field(default_factory=dict)
    claims_created: int = 0
    sweep_minute: int = 0
    sweep_keys: list[str] = dataclasses.field(default_factory=list)
    sweeping: bool = False
    sweep_read_s: float = float("-inf")
