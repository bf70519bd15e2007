"""Builders of test data."""

import json
from typing import Any

import msgspec

from dandelionpick import caller_messages
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import state as state_lib

REGION = ids.Region("region-1")
TREE = {
    "classes": {
        "confirmation": {"worth": 5.0, "short": True, "run_s": 0.02},
        "assessment": {"worth": 1.0, "run_s": 1.0},
        "reconciliation": {"idempotent": False, "run_s": 0.02},
        "scan": {"checkpointable": True, "run_s": 60.0},
        "stretch": {"idempotent": False, "run_s": 60.0},
    },
    "branches": {"ward": {}, "station": {}},
}


def identity(name: str, domain: str) -> state_lib.Identity:
    """Builds the identity of an entry instance."""
    return state_lib.Identity(
        ids.InstanceId(name), ids.FailureDomain(domain), REGION, "store", "list"
    )


def instance_entry(name: str, domain: str) -> list_messages.InstanceEntry:
    """Builds an instance list entry of an entry instance."""
    return list_messages.InstanceEntry(
        ids.InstanceId(name),
        kinds.Role.ENTRY,
        name,
        ids.FailureDomain(domain),
        REGION,
    )


def executor_entry(
    name: str, domain: str, slots: int = 8
) -> list_messages.InstanceEntry:
    """Builds an instance list entry of an executor."""
    return list_messages.InstanceEntry(
        ids.InstanceId(name),
        kinds.Role.EXECUTOR,
        name,
        ids.FailureDomain(domain),
        REGION,
        slots=slots,
    )


def worker_entry(
    name: str, domain: str, rack: str = "rack-1", accelerators: int = 8
) -> list_messages.InstanceEntry:
    """Builds an instance list entry of a worker."""
    return list_messages.InstanceEntry(
        ids.InstanceId(name),
        kinds.Role.WORKER,
        name,
        ids.FailureDomain(domain),
        REGION,
        rack=rack,
        accelerators=accelerators,
        cores=64,
        memory_gb=128,
    )


def document(revision: int = 1, tree: dict[str, Any] | None = None) -> str:
    """Builds the JSON text of a configuration document."""
    return json.dumps({"revision": revision, "tree": tree or TREE, "edits": []})


def request(
    key: str, job_class: str = "confirmation", **fields: Any
) -> caller_messages.SubmitRequest:
    """Builds a submission of a request."""
    defaults = {
        "organisation": ids.OrganisationId("ward"),
        "body": f"body of {key}".encode(),
        "deadline_s": 5.0,
    }
    return caller_messages.SubmitRequest(
        job_class=ids.ClassName(job_class),
        key=ids.RequestKey(key),
        **{**defaults, **fields},
    )


def job(
    key: str, job_class: str = "assessment", **fields: Any
) -> caller_messages.SubmitJob:
    """Builds a submission of a gang of two tasks of four accelerators."""
    defaults = {
        "organisation": ids.OrganisationId("ward"),
        "tasks": 2,
        "accelerators": 4,
    }
    return caller_messages.SubmitJob(
        job_class=ids.ClassName(job_class),
        key=ids.RequestKey(key),
        **{**defaults, **fields},
    )


def uuid7(number: int, unix_ms: int) -> ids.RequestKey:
    """Builds a UUIDv7 key from a time and a number."""
    return ids.new_request_key(unix_ms, number)


def to_json_values(
    entries: list[list_messages.InstanceEntry],
) -> list[dict[str, Any]]:
    """Converts entries to JSON values for the stand-in's control endpoint."""
    return msgspec.to_builtins(entries)
