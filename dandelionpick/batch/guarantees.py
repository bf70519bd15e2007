"""Finds the urgent jobs that an organisation's guarantee covers.

Keeps an organisation's urgent work from filling the pool: work over its
guarantee ranks below urgent work that another organisation's guarantee covers,
and can be preempted by it.
"""

import collections

from dandelionpick import dispatch
from dandelionpick import ids
from dandelionpick.batch import catalog as catalog_lib
from dandelionpick.batch import job_state
from dandelionpick.batch import schedule_state

URGENT_PRIORITY = 0
# Added to the priority of urgent work over its guarantee: it comes after
# covered urgent work and before all work of the next priority.
OVER_GUARANTEE_RANK_OFFSET = 0.5


def jobs_over_guarantee(
    schedule: schedule_state.Schedule,
    step: dispatch.Step,
    catalog: catalog_lib.Catalog | None,
) -> frozenset[ids.JobId]:
    """Returns the urgent jobs that exceed their organisation's guarantee.

    Guarantees are assigned to jobs in the order of acceptance.
    """
    if catalog is None:
        return frozenset()
    guaranteed = {
        organisation.name: organisation.guaranteed_accelerators
        for organisation in catalog.organisations
    }
    used: collections.Counter[ids.OrganisationId] = collections.Counter()
    exceeding = set()
    urgent = [
        job
        for job in schedule.jobs.values()
        if not job.ended
        and job.record.terms.priority == URGENT_PRIORITY
        and not schedule.isolation.holds(job.id, step.moment.now_s)
    ]
    for job in sorted(urgent, key=lambda job: job.accepted_revision):
        name = job.record.organisation
        with schedule.isolation.guard_job(step, job.id, "adding up"):
            used[name] += peak_accelerators(job)
        if used[name] > guaranteed.get(name, 0):
            exceeding.add(job.id)
    return frozenset(exceeding)


def peak_accelerators(job: job_state.Job) -> int:
    """Returns the accelerators of the job's step that needs the most."""
    return max(
        (
            step.tasks * step.needs.accelerators
            for step in job.record.spec.steps
        ),
        default=0,
    )


def rank(schedule: schedule_state.Schedule, job: job_state.Job) -> float:
    """Returns a job's rank; jobs of a lower rank go first and may preempt."""
    priority = job.record.terms.priority
    return priority + OVER_GUARANTEE_RANK_OFFSET * (
        job.id in schedule.over_guarantee
    )
