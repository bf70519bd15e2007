"""Builders of test data: jobs, configurations and instance states."""

import json
from typing import Any

from dandelionpick import dispatch
from dandelionpick import events
from dandelionpick import ids
from dandelionpick.batch import features
from dandelionpick.batch import messages
from dandelionpick.batch import model
from dandelionpick.batch import state as state_lib
from dandelionpick.platform import configuration
from dandelionpick.platform import keys
from dandelionpick.platform import targets
from standins import platform_targets

HOST = "jobs.example"
KEY = "key-1"
ORGANISATION = "ward"
# Optional parts that tests run with unless they name others.
FEATURES = features.Features(departures=True)
PREFIXES = {0: "/urgent/", 1: "/normal/", 2: "/batch/"}


def job_id(number: int) -> str:
    """Returns the job id of a number."""
    return f"{number:016x}"


def state(
    name: str, domain: str = "a", process_number: int = 1
) -> state_lib.State:
    """Builds the initial state of an instance.

    Args:
        name: name of the instance.
        domain: its failure domain.
        process_number: part of its incarnation; differs for each process.
    """
    return state_lib.State(
        identity=state_lib.Identity(
            ids.InstanceId(name),
            ids.FailureDomain(domain),
            ids.Region("r"),
            "store:1",
            f"{name}:7000",
        ),
        incarnation=ids.Incarnation(f"{name}-{process_number}"),
        formats=state_lib.Formats(
            keys.CONFIGURATION_KEY,
            keys.TARGETS_PREFIX,
            keys.EVACUATIONS_PREFIX,
            configuration.decode,
            targets.decode_entry,
        ),
        features=FEATURES,
        limits=state_lib.Limits(gang_wait_s=platform_targets.GANG_TIMEOUT_S),
    )


def moment(now_s: float, lag_s: float = 0.0) -> events.Moment:
    """Builds the moment of an event."""
    return events.Moment(now_s, round(now_s * 1_000), 0.5, lag_s)


def step(at: events.Moment) -> dispatch.Step:
    """Builds an empty step."""
    return dispatch.Step(at)


def route(priority: int, **fields: Any) -> dict[str, Any]:
    """Builds a route of the configuration."""
    return {
        "name": f"q{priority}",
        "host": HOST,
        "prefix": PREFIXES[priority],
        "service": "pool",
        "priority": priority,
        "max_attempts": 3,
        "stretch_factor": 3.0,
        "target_latency_ms": 1_000,
        **fields,
    }


def tenant(name: str, key: str, accelerators: int) -> dict[str, Any]:
    """Builds an organisation of the configuration."""
    return {
        "name": name,
        "api_keys": [key],
        "guaranteed": {"gpu": accelerators},
    }


def configuration_value(version: int = 1, **fields: Any) -> bytes:
    """Builds the operators' configuration."""
    document = {
        "version": version,
        "routes": [route(priority) for priority in PREFIXES],
        "tenants": [tenant(ORGANISATION, KEY, 8)],
        **fields,
    }
    return json.dumps(document).encode()


def phase(count: int = 1, **fields: Any) -> dict[str, Any]:
    """Builds a step as callers send it."""
    return {
        "count": count,
        "cpu": 1_000,
        "mem_mb": 100,
        "gpu": 1,
        "estimate_ms": 1_000,
        **fields,
    }


def body(
    *phases: dict[str, Any],
    work_s: float = 1.0,
    fails: int = 0,
    crashes: bool = False,
) -> bytes:
    """Builds a job as callers send it."""
    payload = json.dumps({"work_s": work_s, "fails": fails, "crashes": crashes})
    return json.dumps(
        {"spec": payload, "phases": list(phases or [phase()])}
    ).encode()


def one_task() -> model.JobSpec:
    """Builds the smallest job."""
    return model.JobSpec("{}", (model.StepSpec(1),))


def submit(
    number: int, spec: model.JobSpec, priority: int = 1, **fields: Any
) -> messages.Submit:
    """Builds a submission."""
    return messages.Submit(
        HOST,
        PREFIXES[priority] + job_id(number),
        fields.get("credential", KEY),
        spec,
        fields.get("deadline_s", 3.0),
    )


def inspect(number: int, priority: int = 1) -> messages.Inspect:
    """Builds a query of a job's state."""
    path = PREFIXES[priority] + job_id(number)
    return messages.Inspect(HOST, path, KEY, 3.0)


def inspect_queue(priority: int = 1) -> messages.Inspect:
    """Builds a query of a queue's state."""
    return messages.Inspect(HOST, PREFIXES[priority], KEY, 3.0)


def cancel(number: int, priority: int = 1) -> messages.Cancel:
    """Builds a cancellation."""
    path = PREFIXES[priority] + job_id(number)
    return messages.Cancel(HOST, path, KEY, 3.0)
