"""Fixtures for request tests: a small deployment and messages."""

from typing import Any

from dandelionpick import caller_messages
from dandelionpick import ids
from dandelionpick import state as state_lib
from standins import store
from tests import builders
from tests import fabric


def small_fabric(executors: int = 2, **limits: Any) -> fabric.Fabric:
    """Builds one failure domain with two instances and runs it for 5 s."""
    built = fabric.Fabric(1, state_lib.Limits(**limits))
    built.store.entries["config/tree"] = store.Entry(1, builders.document())
    built.store.versions = 1
    for number in range(1, executors + 1):
        built.add_executor(f"executor-{number}", "a")
    for number in (1, 2):
        built.add_instance(f"entry-{number}", "a")
    built.run_for(5.0)
    return built


def exclusive_request(built: fabric.Fabric, number: int = 1, **fields: Any):
    """Builds a submission of a non-idempotent request."""
    key = builders.uuid7(number, built.moment().unix_ms)
    return builders.request(key, "reconciliation", **fields)


def fetch_message(key: str, wait_s: float = 0.0) -> caller_messages.FetchAnswer:
    """Builds a message that fetches an answer."""
    return caller_messages.FetchAnswer(
        organisation=ids.OrganisationId("ward"),
        key=ids.RequestKey(key),
        wait_s=wait_s,
    )


def cancel_message(
    key: str, job_class: str = ""
) -> caller_messages.CancelRequest:
    """Builds a message that cancels a request."""
    return caller_messages.CancelRequest(
        organisation=ids.OrganisationId("ward"),
        key=ids.RequestKey(key),
        job_class=ids.ClassName(job_class),
    )


def total_task_starts(built: fabric.Fabric) -> int:
    """Returns the number of task starts on all executors."""
    return sum(sum(m.runs.values()) for m in built.targets.values())


def resubmission_of(retry, message):
    """Builds a resubmission of an earlier message.

    The deadline and attempt come from `retry`, everything else from `message`.
    """
    return caller_messages.SubmitRequest(
        organisation=message.organisation,
        job_class=message.job_class,
        key=message.key,
        body=message.body,
        deadline_s=retry.deadline_s,
        attempt=retry.attempt,
    )
