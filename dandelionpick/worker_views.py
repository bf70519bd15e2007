"""Polls the workers, renews leases and keeps a view of each worker.

All knowledge of workers comes from their reports. When this instance becomes
preferred, and after a stall of the event loop, replies to calls that were sent
earlier are no longer trusted, and every worker is listed again.
"""

import dataclasses

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import gang_parts
from dandelionpick import gang_stops
from dandelionpick import gangs
from dandelionpick import ids
from dandelionpick import job_state
from dandelionpick import kinds
from dandelionpick import list_messages
from dandelionpick import membership
from dandelionpick import state as state_lib
from dandelionpick import worker_messages

LIST_PERIOD_S = 2.0
RENEW_PERIOD_S = gang_parts.LEASE_S / 4
# After a failed renewal the next one is due after this time.
RENEW_RETRY_S = 2.0
# A worker whose last report is older than this gets no new parts.
MAX_REPORT_AGE_S = 6.0
# A worker is quarantined when parts of this many jobs have failed on it
# without a success in between.
QUARANTINE_FAILED_JOBS = 3
QUARANTINE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerListed:
    """Context of a call that lists the parts on a worker."""

    worker: ids.InstanceId
    sent_s: float


def listed_workers(state: state_lib.State) -> list[list_messages.InstanceEntry]:
    """Returns the workers of this failure domain from the instance list."""
    return list(membership.targets(state, kinds.Role.WORKER))


def view_of(
    state: state_lib.State, worker: ids.InstanceId
) -> job_state.WorkerView:
    """Returns the view of a worker; creates it if there is none."""
    view = state.jobs.workers.get(worker)
    if view is None:
        view = job_state.WorkerView()
        state.jobs.workers[worker] = view
    return view


def invalidate(state: state_lib.State, now_s: float) -> None:
    """Stops trusting the views of all workers until they are listed again."""
    state.jobs.trusted_since_s = now_s
    for view in state.jobs.workers.values():
        view.listing_attempted = False
        view.list_sent_s = float("-inf")
        view.list_pending = False


def is_valid(state: state_lib.State, view: job_state.WorkerView) -> bool:
    """Returns whether a worker has reported since the last invalidation."""
    return view.report_sent_s >= state.jobs.trusted_since_s


def is_report_stale(view: job_state.WorkerView, now_s: float) -> bool:
    """Returns whether a worker's last report is too old to place parts."""
    return now_s - view.report_sent_s > MAX_REPORT_AGE_S


def all_contacted(state: state_lib.State) -> bool:
    """Returns whether every worker has reported or could not be reached.

    Only attempts since the last invalidation count.
    """
    return all(
        view_of(state, entry.id).listing_attempted
        for entry in listed_workers(state)
    )


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Sends the listings and lease renewals that are due."""
    now_s = step.moment.now_s
    listed = listed_workers(state)
    for entry in listed:
        view = view_of(state, entry.id)
        due = now_s - view.list_sent_s >= LIST_PERIOD_S
        if due and not view.list_pending:
            view.list_pending = True
            view.list_sent_s = now_s
            dispatch.call(
                state,
                step,
                gang_parts.destination_of(state, entry.id),
                worker_messages.RenewLeases([], gang_parts.LEASE_S),
                WorkerListed(entry.id, now_s),
                state.limits.call_timeout_s,
            )
        if view.gangs and now_s - view.renew_sent_s >= RENEW_PERIOD_S:
            _renew_leases(state, step, entry.id, view)


def _renew_leases(
    state: state_lib.State,
    step: dispatch.Step,
    worker: ids.InstanceId,
    view: job_state.WorkerView,
) -> None:
    due = [
        gang_id
        for gang_id in sorted(view.gangs)
        if _may_renew(state, step, state.jobs.gangs[gang_id], worker)
    ]
    if due:
        view.renew_sent_s = step.moment.now_s
        gangs.renew(state, step, worker, due, gang_parts.LEASE_S)


def _may_renew(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    worker: ids.InstanceId,
) -> bool:
    """Returns whether a renewal should name a part.

    Finished parts are named too, so that their worker keeps reporting them.
    """
    part = gang.parts[worker]
    if gang.stop is not None or not gangs.is_up_to_date(state, step, gang):
        return False
    if part.state is kinds.PartState.FINISHED:
        return True
    return part.full_lease and part.state is kinds.PartState.RUNNING


@dispatch.on_reply.register
def _(
    context: WorkerListed,
    state: state_lib.State,
    step: dispatch.Step,
    reply: worker_messages.WorkerReport,
) -> None:
    view = view_of(state, context.worker)
    if context.sent_s == view.list_sent_s:
        view.list_pending = False
    apply_report(state, step, context.worker, reply, context.sent_s)


@dispatch.on_failure.register
def _(
    context: WorkerListed,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    view = view_of(state, context.worker)
    if context.sent_s == view.list_sent_s:
        view.list_pending = False
        view.listing_attempted = True


@dispatch.on_reply.register
def _(
    context: gangs.LeasesRenewed,
    state: state_lib.State,
    step: dispatch.Step,
    reply: worker_messages.WorkerReport,
) -> None:
    for gang_id in context.gang_ids:
        gang = state.jobs.gangs.get(gang_id)
        if gang is None:
            continue
        part = gang.parts[context.worker]
        part.pending = False
        part.lease_end_s = step.moment.now_s + context.lease_s
        if context.lease_s == gang_parts.LEASE_S:
            part.full_lease = True
    apply_report(state, step, context.worker, reply, context.sent_s)


@dispatch.on_failure.register
def _(
    context: gangs.LeasesRenewed,
    state: state_lib.State,
    step: dispatch.Step,
    failure: kinds.CallFailure,
) -> None:
    view = view_of(state, context.worker)
    view.renew_sent_s = min(
        view.renew_sent_s,
        step.moment.now_s - RENEW_PERIOD_S + RENEW_RETRY_S,
    )
    for gang_id in context.gang_ids:
        gang = state.jobs.gangs.get(gang_id)
        if gang is not None:
            part = gang.parts[context.worker]
            part.pending = False
            part.retry_s = step.moment.now_s + gangs.CALL_RETRY_DELAY_S


def apply_report(
    state: state_lib.State,
    step: dispatch.Step,
    worker: ids.InstanceId,
    report: worker_messages.WorkerReport,
    sent_s: float,
) -> None:
    """Stores a worker's report and advances the gangs with parts on it.

    A report that is older than the stored one is ignored.
    """
    view = view_of(state, worker)
    if sent_s < view.report_sent_s:
        return
    if view.report and view.report.incarnation != report.incarnation:
        step.note(effects.Component.JOBS, f"worker {worker} was restarted")
    view.report = report
    view.report_sent_s = sent_s
    if is_valid(state, view):
        view.listing_attempted = True
    statuses = {status.gang_id: status for status in report.parts}
    changed = []
    for gang_id in sorted(view.gangs):
        gang = state.jobs.gangs[gang_id]
        part = gang.parts[worker]
        before = part.state
        status = statuses.get(gang_id)
        if status is not None or report.incarnation != part.incarnation:
            gang_parts.apply_status(
                step, part, status, report.incarnation, sent_s
            )
        elif (
            part.state in job_state.OCCUPYING_STATES
            and part.state_changed_s <= sent_s
        ):
            part.state = kinds.PartState.STOPPED
        if part.state is not before:
            update_quarantine(state, step, worker, gang, part)
        changed.append(gang)
    for gang in changed:
        if gang.gang_id in state.jobs.gangs:
            gangs.advance(state, step, gang)


def update_quarantine(
    state: state_lib.State,
    step: dispatch.Step,
    worker: ids.InstanceId,
    gang: job_state.Gang,
    part: job_state.Part,
) -> None:
    """Updates a worker's quarantine after the state of a part has changed.

    A worker on which parts of several jobs failed in a row is quarantined; a
    part that finishes ends the quarantine.
    """
    view = view_of(state, worker)
    if part.state is kinds.PartState.FINISHED:
        view.failed_jobs.clear()
        view.quarantined_until_s = float("-inf")
    elif part.state is kinds.PartState.FAILED:
        view.failed_jobs.add(gang.name)
        if len(view.failed_jobs) >= QUARANTINE_FAILED_JOBS:
            view.quarantined_until_s = step.moment.now_s + QUARANTINE_S
            step.note(
                effects.Component.JOBS,
                f"worker {worker} is quarantined: parts of"
                f" {len(view.failed_jobs)} jobs failed in a row",
                warning=True,
            )


def check_leases(state: state_lib.State, step: dispatch.Step) -> None:
    """Stops gangs with a part whose lease expired without a recent report.

    All other gangs are advanced.
    """
    now_s = step.moment.now_s
    for gang in list(state.jobs.gangs.values()):
        expired = gang.stop is None and any(
            part.state in job_state.OCCUPYING_STATES
            and now_s > part.lease_end_s
            and now_s - part.status_sent_s > MAX_REPORT_AGE_S
            for part in gang.parts.values()
        )
        if expired:
            gang_stops.stop(state, step, gang, job_state.StopCause.LOST)
        elif gang.gang_id in state.jobs.gangs:
            gangs.advance(state, step, gang)
