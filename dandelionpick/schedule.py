"""Places queued jobs on the workers of this failure domain.

Only the preferred instance schedules. If two instances both consider
themselves preferred, the workers' admission decides between their holds.
"""

from dandelionpick import cluster_snapshot
from dandelionpick import dispatch
from dandelionpick import drain
from dandelionpick import effects
from dandelionpick import gang_adoption
from dandelionpick import gang_stops
from dandelionpick import gangs
from dandelionpick import ids
from dandelionpick import job_documents
from dandelionpick import job_outcomes
from dandelionpick import job_state
from dandelionpick import job_status
from dandelionpick import kinds
from dandelionpick import membership
from dandelionpick import placement
from dandelionpick import reservations
from dandelionpick import state as state_lib
from dandelionpick import worker_views

READ_PERIOD_S = 1.0
# Placement is tried for at most this many jobs in a tick, which bounds the
# duration of the tick.
MAX_JOBS_PER_TICK = 50
# Delay before a job is tried again after a refused hold or a failed run.
JOB_RETRY_DELAY_S = 0.5
USAGE_HALF_LIFE_S = 3_600.0


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Runs the scheduler if this instance is the preferred one."""
    job_documents.tick(state, step)
    now_s = step.moment.now_s
    if state.configuration.document.revision == 0:
        return
    own = state.identity.instance
    if membership.preferred_instance(state, now_s) != own or (
        state.drain.requested_s is not None
    ):
        _stop_scheduling(state, step)
        return
    if state.jobs.preferred_since_s is None:
        state.jobs.preferred_since_s = now_s
        worker_views.invalidate(state, now_s)
        step.note(
            effects.Component.JOBS, "started scheduling this failure domain"
        )
    document = job_status.own_document(state)
    if now_s - document.refreshed_s >= READ_PERIOD_S:
        job_documents.read(state, step, document)
    worker_views.tick(state, step)
    worker_views.check_leases(state, step)
    gang_adoption.tick(state, step)
    gang_adoption.stop_obsolete(state, step)
    job_outcomes.tick(state, step)
    if _may_place(state, now_s):
        _place_queued(state, step)


def stalled(
    state: state_lib.State, step: dispatch.Step, stall_s: float
) -> None:
    """Invalidates what was known before a stall of the event loop."""
    worker_views.invalidate(state, step.moment.now_s)


def _stop_scheduling(state: state_lib.State, step: dispatch.Step) -> None:
    """Drops all gangs; the preferred instance finds them on the workers."""
    jobs = state.jobs
    if jobs.preferred_since_s is None:
        return
    step.note(
        effects.Component.JOBS,
        "stopped scheduling; another instance takes over",
    )
    jobs.preferred_since_s = None
    jobs.gangs.clear()
    for view in jobs.workers.values():
        view.gangs.clear()
    jobs.first_seen_s.clear()
    jobs.outcomes.clear()
    jobs.reclaims.clear()
    jobs.queued_since_s.clear()
    jobs.reservation = None


def _may_place(state: state_lib.State, now_s: float) -> bool:
    """Returns whether enough is known to place jobs.

    The peers must have had time to send heartbeats, and every reachable worker
    must have reported. Otherwise jobs whose gangs are still running would be
    started again.
    """
    preferred_for_s = now_s - state.jobs.preferred_since_s
    return (
        preferred_for_s >= state.limits.suspect_after_s
        and worker_views.all_contacted(state)
        and not drain.refuses_new_work(state, now_s)
    )


def _place_queued(state: state_lib.State, step: dispatch.Step) -> None:
    queue = placeable_jobs(state, step)
    names = {cluster_snapshot.name_of(record) for record in queue}
    jobs = state.jobs
    for name in list(jobs.reclaims):
        if name not in names:
            del jobs.reclaims[name]
    reservations.drop_stale(state, names)
    if not queue:
        return
    if step.moment.now_s - jobs.usage_halved_s > USAGE_HALF_LIFE_S:
        jobs.usage_halved_s = step.moment.now_s
        jobs.usage = {name: used / 2 for name, used in jobs.usage.items()}
    snapshot = cluster_snapshot.build(state, step.moment.now_s)
    # Jobs with equal keys are equivalent for placement: if one of them has to
    # wait, the others are not tried.
    unplaceable = set()
    for record in queue[:MAX_JOBS_PER_TICK]:
        key = _equivalence_key(state, record)
        if key not in unplaceable and not _try_place(
            state, step, snapshot, record
        ):
            unplaceable.add(key)
    reservations.tick(state, step, snapshot, queue)


def placeable_jobs(
    state: state_lib.State, step: dispatch.Step
) -> list[job_state.JobRecord]:
    """Returns the jobs that may be placed now, in queue order."""
    now_s = step.moment.now_s
    busy = {
        gang.name
        for gang in state.jobs.gangs.values()
        if gang.stop is None or not gang.outcome_decided
    }
    for gang_id in state.jobs.first_seen_s:
        busy |= _unadopted_job_names(state, gang_id)
    ready = []
    for record in job_status.own_document(state).records.values():
        name = cluster_snapshot.name_of(record)
        if record.state is not kinds.JobState.QUEUED:
            state.jobs.queued_since_s.pop(name, None)
            state.jobs.checkpoints.pop(name, None)
            state.jobs.retry_s.pop(name, None)
            continue
        if name in busy or _awaits_store_write(state, record):
            continue
        state.jobs.queued_since_s.setdefault(name, now_s)
        if _is_backing_off(state, name, now_s):
            continue
        if record.cancel:
            state.jobs.retry_s[name] = now_s + JOB_RETRY_DELAY_S
            job_outcomes.cancel_queued(state, step, record)
            continue
        ready.append(record)
    return sorted(ready, key=lambda record: _queue_key(state, record))


def _unadopted_job_names(
    state: state_lib.State, gang_id: ids.GangId
) -> set[job_state.JobName]:
    """Returns the job of a gang that workers report but is not adopted yet."""
    return {
        (status.labels.organisation, status.labels.key)
        for view in state.jobs.workers.values()
        if view.report is not None
        for status in view.report.parts
        if status.gang_id == gang_id
        and status.state in job_state.OCCUPYING_STATES
    }


def _awaits_store_write(
    state: state_lib.State, record: job_state.JobRecord
) -> bool:
    """Returns whether a pending write decides if the job may run again."""
    if record.placement is not None:
        return True
    outcome = state.jobs.outcomes.get(cluster_snapshot.name_of(record))
    if outcome is None:
        return False
    return outcome.final or not record.idempotent


def _is_backing_off(
    state: state_lib.State, name: job_state.JobName, now_s: float
) -> bool:
    return now_s < state.jobs.retry_s.get(name, float("-inf"))


def _queue_key(state: state_lib.State, record: job_state.JobRecord) -> tuple:
    """Returns the sort key of a job in the queue.

    Jobs are ordered by worth, then by the organisation's usage relative to its
    share, then by the time of acceptance.
    """
    job = record.job
    organisation = state.configuration.organisations.get(job.organisation)
    share = organisation.share if organisation else 1.0
    used = state.jobs.usage.get(job.organisation, 0.0)
    worth = job_status.class_of(state, job).worth
    return (-worth, used / max(share, 1e-9), record.accepted_ms, job.key)


def _equivalence_key(
    state: state_lib.State, record: job_state.JobRecord
) -> tuple:
    """Returns everything about a job that its placement depends on."""
    job = record.job
    name = cluster_snapshot.name_of(record)
    reservation = state.jobs.reservation
    has_claim = name in state.jobs.reclaims or (
        reservation is not None and reservation.name == name
    )
    return (
        name if has_claim else "",
        job.organisation,
        record.idempotent,
        record.checkpointable,
        job.tasks,
        job.accelerators,
        job.cores,
        job.memory_gb,
    )


def _try_place(
    state: state_lib.State,
    step: dispatch.Step,
    snapshot: placement.ClusterSnapshot,
    record: job_state.JobRecord,
) -> bool:
    """Places a job, or stops the gangs that occupy its guaranteed shape.

    Returns:
        False if the job can neither be placed nor claim a guaranteed shape.
    """
    name = cluster_snapshot.name_of(record)
    reserved, is_backfill = reservations.excluded_for(state, record)
    excluded = cluster_snapshot.union(
        cluster_snapshot.claimed_by_others(state, name), reserved
    )
    eligible = cluster_snapshot.restrict_to_job(
        snapshot, record, state, step.moment.now_s
    )
    decision = placement.choose(
        eligible, record, excluded, state.jobs.reclaims.get(name, {})
    )
    if decision is None:
        state.jobs.reclaims.pop(name, None)
        return False
    if decision.allocation is None:
        state.jobs.reclaims[name] = decision.claimed
        for gang in decision.victims:
            cause = job_state.StopCause.RECLAIMED
            gang_stops.stop(state, step, gang, cause)
        return True
    state.jobs.reclaims.pop(name, None)
    gang = gangs.create(state, step, record, decision.allocation)
    gang.backfill = is_backfill and reservations.overlaps(state, gang)
    state.jobs.retry_s[name] = step.moment.now_s + JOB_RETRY_DELAY_S
    cluster_snapshot.occupy(snapshot, gang, record)
    _charge(state, record)
    return True


def _charge(state: state_lib.State, record: job_state.JobRecord) -> None:
    """Adds the cost of a started job to its organisation's usage."""
    job = record.job
    organisation = state.configuration.organisations.get(job.organisation)
    unit = organisation.accounting_unit if organisation else "job"
    cost = 1.0
    if unit == "accelerator_second":
        run_s = job.run_s or job_status.class_of(state, job).run_s
        cost = job.tasks * job.accelerators * run_s
    used = state.jobs.usage.get(job.organisation, 0.0)
    state.jobs.usage[job.organisation] = used + cost
