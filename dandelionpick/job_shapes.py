"""Which failure domains can hold the shape of a job."""

from collections.abc import Iterable

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import state as state_lib


def tasks_on(
    job: caller_messages.SubmitJob,
    accelerators: int,
    cores: int,
    memory_gb: int,
) -> int:
    """Returns how many tasks of a job the given resources hold."""
    limits = [accelerators // job.accelerators]
    if job.cores:
        limits.append(cores // job.cores)
    if job.memory_gb:
        limits.append(memory_gb // job.memory_gb)
    return max(0, min(limits))


def capacity(
    job: caller_messages.SubmitJob,
    workers: Iterable[list_messages.InstanceEntry],
) -> int:
    """Returns how many tasks of a job empty workers hold together."""
    return sum(
        tasks_on(job, entry.accelerators, entry.cores, entry.memory_gb)
        for entry in workers
    )


def choose_domain(
    state: state_lib.State, job: caller_messages.SubmitJob
) -> ids.FailureDomain | errors.Problem:
    """Returns the failure domain for a job, or why there is none.

    A failure domain with a guarantee of the organisation that holds the job
    comes first, then this instance's own, then the one with most room.
    """
    by_domain: dict[ids.FailureDomain, list[list_messages.InstanceEntry]] = {}
    for entry in state.members.entries.values():
        if entry.role is kinds.Role.WORKER:
            by_domain.setdefault(entry.failure_domain, []).append(entry)
    if not by_domain:
        return errors.Problem(
            errors.ProblemKind.NO_TARGET,
            "No worker is listed.",
            "Try again when the instance list shows workers.",
        )
    room = {
        domain: capacity(job, entries) for domain, entries in by_domain.items()
    }
    fitting = [domain for domain, tasks in room.items() if tasks >= job.tasks]
    if not fitting:
        return _too_large(job, max(room.values()), by_domain)
    guaranteed = {
        guarantee.failure_domain
        for guarantee in state.configuration.organisations[
            job.organisation
        ].guarantees.values()
        if guarantee.accelerators // job.accelerators * guarantee.tasks
        >= job.tasks
    }
    own = state.identity.failure_domain
    return min(
        fitting,
        key=lambda domain: (
            domain not in guaranteed,
            domain != own,
            -room[domain],
            domain,
        ),
    )


def _too_large(
    job: caller_messages.SubmitJob,
    most_tasks: int,
    by_domain: dict[ids.FailureDomain, list[list_messages.InstanceEntry]],
) -> errors.Problem:
    largest = max(
        (entry for entries in by_domain.values() for entry in entries),
        key=lambda entry: (entry.accelerators, entry.cores, entry.memory_gb),
    )
    if most_tasks:
        fits = f"{most_tasks} tasks with {job.accelerators} accelerators each"
    else:
        fits = (
            f"tasks with {largest.accelerators} accelerators,"
            f" {largest.cores} cores and {largest.memory_gb} GB each"
        )
    return errors.Problem(
        errors.ProblemKind.SHAPE_TOO_LARGE,
        f"No failure domain can hold {job.tasks} tasks with"
        f" {job.accelerators} accelerators, {job.cores} cores and"
        f" {job.memory_gb} GB each.",
        f"The largest gang of this kind that fits has {fits}.",
    )
