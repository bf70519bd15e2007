"""Messages from callers and the replies to them."""

import msgspec

from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import kinds


class SubmitRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Submits a request and waits for its answer.

    Attributes:
        key: identifies the request; all submissions with one key are the same
            request.
        body: input, base64 in JSON.
        deadline_s: seconds from receipt after which the answer is useless.
        attempt: 1 for the first submission of the key, rising by one.
        wait: False to get the answer `pending` at once and fetch the result
            later.
    """

    organisation: ids.OrganisationId
    job_class: ids.ClassName
    key: ids.RequestKey
    body: bytes
    deadline_s: float
    attempt: int = 1
    wait: bool = True


class FetchAnswer(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Fetches the answer of a request, waiting up to wait_s seconds."""

    organisation: ids.OrganisationId
    key: ids.RequestKey
    wait_s: float = 0.0


class CancelRequest(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Cancels a request; the answer reports whether it ran.

    Attributes:
        job_class: class of the request, or "". With the class, an instance
            that did not accept a non-idempotent request can still prove that
            it will not run.
    """

    organisation: ids.OrganisationId
    key: ids.RequestKey
    job_class: ids.ClassName = ids.ClassName("")


class Answer(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Outcome of a request.

    Attributes:
        body: output if completed; base64 in JSON.
        length: bytes in body.
        digest: SHA-256 of body in hexadecimal.
        problem: why there is no output.
    """

    organisation: ids.OrganisationId
    key: ids.RequestKey
    outcome: kinds.Outcome
    body: bytes = b""
    length: int = 0
    digest: str = ""
    problem: errors.Problem | None = None


class SubmitJob(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Submits a gang of identical tasks; answered when the job is accepted.

    Attributes:
        key: a UUIDv7.
        tasks: tasks of the gang.
        accelerators: accelerators for each task; the tasks of one worker get
            adjacent accelerators.
        cores: processor cores for each task.
        memory_gb: memory for each task.
        run_s: declared run time in seconds, used only as a hint.
        payload: what the tasks run, opaque to the scheduler.
    """

    organisation: ids.OrganisationId
    job_class: ids.ClassName
    key: ids.RequestKey
    tasks: int
    accelerators: int
    cores: int = 0
    memory_gb: int = 0
    run_s: float = 0.0
    payload: str = ""
    attempt: int = 1


class FetchJob(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Fetches the state of a job."""

    organisation: ids.OrganisationId
    key: ids.RequestKey


class CancelJob(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Cancels a job; all tasks of a running gang are stopped."""

    organisation: ids.OrganisationId
    key: ids.RequestKey


class JobStatus(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """State and outcome of a job.

    Attributes:
        run: number of the current or last run; 0 before the first.
        results: one output for each worker of a finished gang, in the order
            of the worker ids.
    """

    organisation: ids.OrganisationId
    key: ids.RequestKey
    outcome: kinds.Outcome
    state: kinds.JobState
    failure_domain: ids.FailureDomain = ids.FailureDomain("")
    run: int = 0
    results: list[str] = []
    problem: errors.Problem | None = None
