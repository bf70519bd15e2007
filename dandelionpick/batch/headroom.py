"""Reserves headroom for urgent jobs that can't wait for a preemption.

Urgent gangs may keep arriving at a pool that is full of long-running work. If
stopping a run takes longer than they can wait, preempting for each of them
makes them miss their objective and loses work. Instead, the accelerators that
they are expected to request soon are kept free in one rack. If stops are short,
nothing is reserved, because that would only delay other work.
"""

import collections
import dataclasses
from collections.abc import Sequence

from dandelionpick import dispatch
from dandelionpick import ids
from dandelionpick.batch import free_capacity
from dandelionpick.batch import guarantees
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import run_times
from dandelionpick.batch import schedule_state

# Urgent demand of this past period is expected to recur. The period is short
# because demand changes within seconds.
DEMAND_WINDOW_S = 10.0
# Headroom as a multiple of the average demand during one stop; whole gangs need
# more than the average to fit.
GANG_HEADROOM_FACTOR = 6.0
# A job can wait for a stop if its slack is at least this many times the stop
# time, because its tasks may run on slower targets.
MIN_SLACK_STOPS = 2.0


def required_accelerators(
    schedule: schedule_state.Schedule, step: dispatch.Step, stop_s: float
) -> dict[ids.PoolName, int]:
    """Returns how many accelerators to keep free in each pool."""
    requested: dict[ids.PoolName, float] = collections.defaultdict(float)
    since_ms = step.moment.unix_ms - DEMAND_WINDOW_S * 1_000
    for job in schedule.jobs.values():
        terms = job.record.terms
        if (
            terms.priority != guarantees.URGENT_PRIORITY
            or job.record.accepted_ms <= since_ms
            or schedule.isolation.holds(job.id, step.moment.now_s)
        ):
            continue
        with schedule.isolation.guard_job(step, job.id, "adding up"):
            if slack_s(schedule, job) < MIN_SLACK_STOPS * stop_s:
                requested[terms.pool] += guarantees.peak_accelerators(job)
    factor = GANG_HEADROOM_FACTOR * stop_s / DEMAND_WINDOW_S
    return {pool: int(count * factor) for pool, count in requested.items()}


def slack_s(schedule: schedule_state.Schedule, job: job_state.Job) -> float:
    """Returns how long a job can wait before it misses its objective."""
    terms = job.record.terms
    expected_s = run_times.job_expected_s(schedule, job)
    return (terms.objective_factor - 1) * expected_s + terms.objective_extra_s


def subtract_headroom(
    candidates: Sequence[free_capacity.Candidate], accelerators: int
) -> list[free_capacity.Candidate]:
    """Removes headroom from the rack with the most free accelerators.

    Args:
        candidates: the targets that can be used.
        accelerators: how many to reserve; fewer if the rack has fewer free.

    Returns:
        The targets, with the resources that are left for non-urgent work.
    """
    if accelerators <= 0 or not candidates:
        return list(candidates)
    free: collections.Counter[ids.Rack] = collections.Counter()
    for candidate in candidates:
        free[candidate.rack] += max(0, candidate.free.accelerators)
    rack = max(free, key=lambda name: (free[name], name))
    remaining = [
        candidate for candidate in candidates if candidate.rack != rack
    ]
    left = accelerators
    for candidate in sorted(
        (candidate for candidate in candidates if candidate.rack == rack),
        key=lambda candidate: (-candidate.free.accelerators, candidate.target),
    ):
        reserved = min(left, max(0, candidate.free.accelerators))
        left -= reserved
        if not reserved:
            remaining.append(candidate)
        elif reserved < candidate.free.accelerators:
            reduced = candidate.free.minus(
                model.Resources(accelerators=reserved)
            )
            remaining.append(dataclasses.replace(candidate, free=reduced))
    return remaining
