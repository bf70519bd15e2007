"""Chooses a failure domain with enough capacity for the shape of a job."""

from dandelionpick import caller_messages
from dandelionpick import errors
from dandelionpick import ids
from dandelionpick import job_status
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import plan as plan_lib
from dandelionpick import state as state_lib


def max_tasks(
    job: caller_messages.SubmitJob,
    accelerators: int,
    cores: int,
    memory_gb: int,
) -> int:
    """Returns how many tasks of a job fit into the given resources."""
    limits = [accelerators // job.accelerators]
    if job.cores:
        limits.append(cores // job.cores)
    if job.memory_gb:
        limits.append(memory_gb // job.memory_gb)
    return max(0, min(limits))


def plan_of(
    state: state_lib.State, failure_domain: ids.FailureDomain
) -> plan_lib.Plan:
    """Returns the plan of a failure domain's guarantees.

    It is computed from the configuration and the listed workers, and cached
    until either changes.
    """
    entries = [
        entry
        for entry in state.members.entries.values()
        if entry.role is kinds.Role.WORKER
        and entry.failure_domain == failure_domain
        and entry.state is kinds.Liveness.LIVE
    ]
    sizes = tuple(
        sorted((entry.id, entry.rack, entry.accelerators) for entry in entries)
    )
    cache_key = (state.configuration.document.revision, sizes)
    cached = state.jobs.plans.get(failure_domain)
    if cached is None or cached[0] != cache_key:
        plan = plan_lib.make_plan(
            state.configuration.organisations, entries, failure_domain
        )
        cached = (cache_key, plan)
        state.jobs.plans[failure_domain] = cached
    return cached[1]


def task_capacity(
    state: state_lib.State,
    job: caller_messages.SubmitJob,
    rerunnable: bool,
    failure_domain: ids.FailureDomain,
    workers: list[list_messages.InstanceEntry],
) -> int:
    """Returns how many tasks of a job fit into an idle failure domain.

    A job that can't be stopped and run again may not use accelerators that are
    planned for the guarantees of other organisations.
    """
    others: dict[ids.InstanceId, int] = {}
    if not rerunnable:
        for shape in plan_of(state, failure_domain).shapes:
            if shape.name.organisation == job.organisation:
                continue
            for part in shape.parts:
                count = others.get(part.worker, 0) + len(part.accelerators)
                others[part.worker] = count
    return sum(
        max_tasks(
            job,
            entry.accelerators - others.get(entry.id, 0),
            entry.cores,
            entry.memory_gb,
        )
        for entry in workers
    )


def choose_domain(
    state: state_lib.State, job: caller_messages.SubmitJob
) -> ids.FailureDomain | errors.Problem:
    """Returns the failure domain for a job, or the reason why none fits.

    Prefers a failure domain in which the organisation has a guarantee that
    holds the job, then this instance's own, then the one with the largest
    capacity.
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
    job_class = job_status.class_of(state, job)
    rerunnable = job_class.idempotent or job_class.checkpointable
    capacities = {
        domain: task_capacity(state, job, rerunnable, domain, entries)
        for domain, entries in by_domain.items()
    }
    fitting = [
        domain for domain, tasks in capacities.items() if tasks >= job.tasks
    ]
    if not fitting:
        return _shape_too_large(
            job, max(capacities.values()), by_domain, rerunnable
        )
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
            -capacities[domain],
            domain,
        ),
    )


def _shape_too_large(
    job: caller_messages.SubmitJob,
    most_tasks: int,
    by_domain: dict[ids.FailureDomain, list[list_messages.InstanceEntry]],
    rerunnable: bool,
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
    restriction = ""
    if not rerunnable:
        restriction = " outside the guarantees of other organisations"
    return errors.Problem(
        errors.ProblemKind.SHAPE_TOO_LARGE,
        f"No failure domain can hold {job.tasks} tasks with"
        f" {job.accelerators} accelerators, {job.cores} cores and"
        f" {job.memory_gb} GB each{restriction}.",
        f"The largest gang of this kind that fits has {fits}.",
    )
