"""Adopts gangs that run on the workers but are unknown to this instance.

After a crash or a change of scheduler, gangs are recovered from the workers'
reports. A gang with all of its parts continues. A gang that has lost a part is
stopped on all workers. A gang that is only partly held or started is left
alone while another scheduler may still be starting it, and is then released on
all workers.
"""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import gang_parts
from dandelionpick import gang_stops
from dandelionpick import gangs
from dandelionpick import ids
from dandelionpick import job_state
from dandelionpick import job_status
from dandelionpick import kinds
from dandelionpick import state as state_lib
from dandelionpick import worker_messages
from dandelionpick import worker_views

# A scheduler writes to the store before it starts a gang. A document that was
# read this long after the gang was first seen therefore contains that write.
DOCUMENT_READ_MARGIN_S = 3.0
# If no worker has reported the gang of a stored placement for this long, no
# other scheduler is still starting it.
LOST_PLACEMENT_TIMEOUT_S = (
    gang_parts.HOLD_TIMEOUT_S + gang_parts.CONFIRM_TIMEOUT_S
)

PartState = kinds.PartState
StatusByWorker = dict[ids.InstanceId, worker_messages.PartStatus]


def tick(state: state_lib.State, step: dispatch.Step) -> None:
    """Reconciles gangs that the workers report and this instance lacks."""
    unknown_gangs: dict[ids.GangId, StatusByWorker] = {}
    for worker, view in state.jobs.workers.items():
        if view.report is None or not worker_views.is_valid(state, view):
            continue
        for status in view.report.parts:
            if status.gang_id not in state.jobs.gangs:
                unknown_gangs.setdefault(status.gang_id, {})[worker] = status
    for gang_id in sorted(unknown_gangs):
        _reconcile(state, step, gang_id, unknown_gangs[gang_id])
    placements = _stop_lost_placements(state, step)
    unresolved = unknown_gangs.keys() | placements
    for gang_id in list(state.jobs.first_seen_s):
        if gang_id not in unresolved:
            del state.jobs.first_seen_s[gang_id]


def _reconcile(
    state: state_lib.State,
    step: dispatch.Step,
    gang_id: ids.GangId,
    statuses: StatusByWorker,
) -> None:
    """Adopts or stops a reported gang, or waits until more is known of it."""
    now_s = step.moment.now_s
    labels = next(iter(statuses.values())).labels
    states = {status.state for status in statuses.values()}
    seen_s = state.jobs.first_seen_s.setdefault(gang_id, now_s)
    if not states.intersection(job_state.OCCUPYING_STATES):
        complete = len(statuses) == len(labels.workers)
        if complete and states == {PartState.FINISHED}:
            _adopt_finished(state, step, gang_id, statuses)
        return
    record = job_status.record_of(state, (labels.organisation, labels.key))
    missing = _missing_workers(state, labels, statuses, seen_s)
    ended = states.intersection((PartState.STOPPED, PartState.FAILED))
    running = PartState.RUNNING in states
    if missing is None and not running:
        return
    if not missing and not ended or running and (missing or ended):
        _adopt(state, step, gang_id, statuses, record)
    elif now_s - seen_s > gang_parts.HOLD_TIMEOUT_S:
        gang = _adopt(state, step, gang_id, statuses, record)
        gang_stops.stop(state, step, gang, job_state.StopCause.REFUSED)


def _missing_workers(
    state: state_lib.State,
    labels: worker_messages.PartLabels,
    statuses: StatusByWorker,
    seen_s: float,
) -> list[ids.InstanceId] | None:
    """Returns the workers of a gang that do not report their part.

    Returns None if one of them has not reported since the gang was first seen:
    its part may be newer than its last report.
    """
    missing = []
    for worker in labels.workers:
        if worker in statuses:
            continue
        view = worker_views.view_of(state, worker)
        if view.report_sent_s <= max(seen_s, state.jobs.trusted_since_s):
            return None
        missing.append(worker)
    return missing


def _adopt_finished(
    state: state_lib.State,
    step: dispatch.Step,
    gang_id: ids.GangId,
    statuses: StatusByWorker,
) -> None:
    """Adopts a gang that finished while no scheduler was driving it."""
    labels = next(iter(statuses.values())).labels
    name = (labels.organisation, labels.key)
    record = job_status.record_of(state, name)
    if record is None or record.state in job_state.FINAL_STATES:
        return
    placed = record.placement and record.placement.gang_id == gang_id
    if (record.idempotent or placed) and name not in state.jobs.outcomes:
        _adopt(state, step, gang_id, statuses, record)


def _adopt(
    state: state_lib.State,
    step: dispatch.Step,
    gang_id: ids.GangId,
    statuses: StatusByWorker,
    record: job_state.JobRecord | None,
) -> job_state.Gang:
    """Rebuilds a gang from its workers' reports and advances it."""
    now_s = step.moment.now_s
    labels = next(iter(statuses.values())).labels
    parts = {
        worker: _build_part(state, worker, statuses.get(worker), now_s)
        for worker in labels.workers
    }
    gang = job_state.Gang(gang_id, labels, parts, now_s, adopted=True)
    if record is not None and record.placement is not None:
        gang.placed = record.placement.gang_id == gang_id
    _register(state, gang)
    step.note(
        effects.Component.JOBS,
        f"adopted run {labels.run} of job {labels.key} from"
        f" {len(statuses)} of {len(parts)} workers",
    )
    gangs.advance(state, step, gang)
    return gang


def _register(state: state_lib.State, gang: job_state.Gang) -> None:
    state.jobs.gangs[gang.gang_id] = gang
    for worker in gang.parts:
        worker_views.view_of(state, worker).gangs.add(gang.gang_id)


def _build_part(
    state: state_lib.State,
    worker: ids.InstanceId,
    status: worker_messages.PartStatus | None,
    now_s: float,
) -> job_state.Part:
    """Builds a part; without a valid report it is assumed to be running."""
    view = worker_views.view_of(state, worker)
    part = job_state.Part(worker, [], state_changed_s=now_s)
    part.lease_end_s = now_s + gang_parts.LEASE_S
    part.latest_lease_end_s = part.lease_end_s + gang_parts.MAX_MESSAGE_DELAY_S
    if view.report is not None and worker_views.is_valid(state, view):
        part.incarnation = view.report.incarnation
        part.status_sent_s = view.report_sent_s
    if status is not None:
        part.state = status.state
        part.accelerators = status.accelerators
        part.checkpoint = status.checkpoint
        part.result = status.result
        part.ran = status.ran
    elif part.incarnation:
        part.state = PartState.STOPPED
    else:
        part.state = PartState.RUNNING
        part.ran = True
    return part


def _stop_lost_placements(
    state: state_lib.State, step: dispatch.Step
) -> set[ids.GangId]:
    """Stops the gangs of placements that were never found on the workers.

    The stops leave tombstones, and the workers' replies prove whether the job
    ran.

    Returns:
        Ids of the placed gangs that this instance does not know.
    """
    now_s = step.moment.now_s
    document = job_status.own_document(state)
    lost = set()
    for record in list(document.records.values()):
        placement = record.placement
        if placement is None or record.state in job_state.FINAL_STATES:
            continue
        if placement.gang_id in state.jobs.gangs:
            continue
        if (record.job.organisation, record.job.key) in state.jobs.outcomes:
            continue
        lost.add(placement.gang_id)
        seen_s = state.jobs.first_seen_s.setdefault(placement.gang_id, now_s)
        confirmed = document.confirmed_s - seen_s > DOCUMENT_READ_MARGIN_S
        if confirmed and now_s - seen_s > LOST_PLACEMENT_TIMEOUT_S:
            _stop_placement(state, step, record, placement)
    return lost


def _stop_placement(
    state: state_lib.State,
    step: dispatch.Step,
    record: job_state.JobRecord,
    placement: job_state.Placement,
) -> None:
    now_s = step.moment.now_s
    job = record.job
    labels = worker_messages.PartLabels(
        job.organisation,
        job.job_class,
        job.key,
        record.run + 1,
        placement.workers,
    )
    parts = {}
    for worker, incarnation in zip(
        placement.workers, placement.incarnations, strict=True
    ):
        parts[worker] = job_state.Part(worker, [], incarnation=incarnation)
        parts[worker].latest_lease_end_s = (
            now_s + gang_parts.LEASE_S + gang_parts.MAX_MESSAGE_DELAY_S
        )
    gang = job_state.Gang(
        placement.gang_id, labels, parts, now_s, placed=True, adopted=True
    )
    _register(state, gang)
    gang_stops.stop(state, step, gang, job_state.StopCause.LOST)


def stop_obsolete(state: state_lib.State, step: dispatch.Step) -> None:
    """Stops gangs that their jobs no longer need, and duplicate gangs.

    If several gangs of a job are confirmed, the one of the earliest run stays.
    """
    document = job_status.own_document(state)
    confirmed_gangs: dict[job_state.JobName, job_state.Gang] = {}
    for gang in sorted(
        state.jobs.gangs.values(),
        key=lambda gang: (gang.labels.run, gang.gang_id),
    ):
        if gang.stop is not None:
            continue
        record = job_status.record_of(state, gang.name)
        if record is None:
            age_s = document.confirmed_s - gang.created_s
            if age_s > DOCUMENT_READ_MARGIN_S:
                _remove_or_stop(state, step, gang, job_state.StopCause.OBSOLETE)
        elif record.state in job_state.FINAL_STATES:
            _remove_or_stop(state, step, gang, job_state.StopCause.OBSOLETE)
        elif record.cancel:
            gang_stops.stop(state, step, gang, job_state.StopCause.CANCELLED)
        elif _conflicts_with_placement(document, gang, record) or (
            _is_confirmed(gang)
            and confirmed_gangs.setdefault(gang.name, gang) is not gang
        ):
            gang_stops.stop(state, step, gang, job_state.StopCause.OBSOLETE)


def _is_confirmed(gang: job_state.Gang) -> bool:
    """Returns whether every part of a gang is running or has finished."""
    return all(
        part.state in gangs.CONFIRMED_STATES for part in gang.parts.values()
    )


def _conflicts_with_placement(
    document: job_state.Document,
    gang: job_state.Gang,
    record: job_state.JobRecord,
) -> bool:
    """Returns whether the stored placement rules out an adopted gang."""
    if record.idempotent or not gang.adopted:
        return False
    if document.confirmed_s - gang.created_s <= DOCUMENT_READ_MARGIN_S:
        return False
    placement = record.placement
    return placement is None or placement.gang_id != gang.gang_id


def _remove_or_stop(
    state: state_lib.State,
    step: dispatch.Step,
    gang: job_state.Gang,
    cause: job_state.StopCause,
) -> None:
    """Removes a gang that has finished, and stops any other."""
    states = {part.state for part in gang.parts.values()}
    if states == {PartState.FINISHED}:
        gang_stops.remove(state, gang)
    else:
        gang_stops.stop(state, step, gang, cause)
