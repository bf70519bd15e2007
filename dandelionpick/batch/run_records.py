"""Records of the runs that have not ended, and what crashes say about them.

They are stored with the job's progress as soon as a start is confirmed, or when
its reply is overdue. Without them, a scheduler could not know what ran on a
target that crashed just before it took over.
"""

from dandelionpick import ids
from dandelionpick.batch import incarnations
from dandelionpick.batch import job_progress
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import schedule_state

# A run that its target still listed this long after the start is at work. If
# the target crashes later, another cause is more likely than the run.
EARLY_CRASH_S = 2.0
# A task that runs until it is cancelled does not crash its targets if it has
# run for this long. Without that, crashes of months would add up.
PROVED_AFTER_S = 60.0
# A start without a reply for this long is recorded. Most replies arrive before,
# so that these starts are written once, as confirmed.
REPLY_OVERDUE_S = 0.05
# Tasks of one job whose runs are recorded at their start. The progress of a job
# is written as a whole, at about 65 bytes for each of them.
MAX_RECORDED_TASKS = 1_000


def record_running(
    schedule: schedule_state.Schedule,
    run: job_state.Run,
    now_s: float,
    started_ms: int,
) -> None:
    """Records that a target has confirmed that it runs a run.

    Args:
        schedule: the schedule.
        run: the run.
        now_s: monotonic seconds.
        started_ms: start of the incarnation that has confirmed it; 0 if it is
            not known which one that is.
    """
    job = schedule.jobs.get(run.task.job_id)
    if job is not None:
        job.begun = True
    recorded_ms = incarnations.start_ms_of(run)
    run.confirmed_by_ms = started_ms or run.confirmed_by_ms
    is_first = run.confirmed_s == float("inf")
    if is_first:
        run.confirmed_s = now_s
    if is_first or incarnations.start_ms_of(run) != recorded_ms:
        _record_start(schedule, run, model.CrashEvidence.EARLY)
    elif not run.proved and now_s - run.ordered_s >= PROVED_AFTER_S:
        run.proved = True
        _forget_earlier_runs(schedule, run)


def record_planned(
    schedule: schedule_state.Schedule, run: job_state.Run
) -> None:
    """Records a start before it is sent."""
    _record_start(schedule, run, model.CrashEvidence.UNCONFIRMED)


def is_stored(schedule: schedule_state.Schedule, run: job_state.Run) -> bool:
    """Returns whether the store has the present records of a run's task."""
    found = _find_unfinished(schedule, run.task)
    if found is None:
        return False
    job, task = found
    return task.records_version <= job.stored_version


def record_overdue(schedule: schedule_state.Schedule, now_s: float) -> None:
    """Records the starts whose reply is overdue; their targets may run them."""
    while schedule.unanswered_starts:
        run = schedule.unanswered_starts[0]
        if now_s - run.ordered_s < REPLY_OVERDUE_S:
            return
        schedule.unanswered_starts.popleft()
        task = schedule.task_of(run.task)
        current = task is not None and task.runs.get(run.attempt) is run
        if current and run.confirmed_s == float("inf"):
            _record_start(schedule, run, model.CrashEvidence.UNCONFIRMED)


def _record_start(
    schedule: schedule_state.Schedule,
    run: job_state.Run,
    evidence: model.CrashEvidence,
) -> None:
    found = _find_unfinished(schedule, run.task)
    if found is None:
        return
    job, task = found
    # These ended unnoticed, or never took place: their targets are alive.
    ended = [
        record.attempt
        for record in task.records
        if record.attempt not in task.runs and not _is_lost(schedule, record)
    ]
    job_progress.remove_runs(job, task, ended)
    if not task.records and len(job.progress.runs) >= MAX_RECORDED_TASKS:
        return
    record = model.RunRecord(
        run.attempt, run.target, incarnations.start_ms_of(run), evidence
    )
    if job_progress.record_run(job, task, record):
        schedule.unsaved.add(job.id)


def _forget_earlier_runs(
    schedule: schedule_state.Schedule, run: job_state.Run
) -> None:
    found = _find_unfinished(schedule, run.task)
    if found is None:
        return
    job, task = found
    if not job.step_of(run.task).spec.until_cancelled:
        return
    earlier = [
        record.attempt
        for record in task.records
        if record.attempt != run.attempt
    ]
    if job_progress.remove_runs(job, task, earlier):
        schedule.unsaved.add(job.id)


def record_crash(
    schedule: schedule_state.Schedule,
    run: job_state.Run,
    now_s: float,
) -> None:
    """Records that a run was lost in a crash of its target."""
    found = _find_unfinished(schedule, run.task)
    if found is None:
        return
    job, task = found
    ran_s = now_s - run.ordered_s
    if job.step_of(run.task).spec.until_cancelled and ran_s >= PROVED_AFTER_S:
        attempts = [record.attempt for record in task.records]
        changed = job_progress.remove_runs(job, task, attempts)
    else:
        target = schedule.targets[run.target]
        record = model.RunRecord(
            run.attempt,
            run.target,
            incarnations.start_ms_of(run),
            _judge(target, run),
        )
        changed = job_progress.record_run(job, task, record)
    if changed:
        schedule.unsaved.add(job.id)


def _judge(
    target: schedule_state.Target, run: job_state.Run
) -> model.CrashEvidence:
    if run.confirmed_s == float("inf"):
        return model.CrashEvidence.UNCONFIRMED
    if target.clock_s - run.ordered_s >= EARLY_CRASH_S:
        return model.CrashEvidence.LATE
    return model.CrashEvidence.EARLY


def forget_run(
    schedule: schedule_state.Schedule,
    key: model.TaskKey,
    attempt: ids.Attempt,
) -> None:
    """Removes the record of a run that no crash has ended."""
    found = _find_unfinished(schedule, key)
    if found is not None:
        job, task = found
        if job_progress.remove_runs(job, task, (attempt,)):
            schedule.unsaved.add(job.id)


def _find_unfinished(
    schedule: schedule_state.Schedule, key: model.TaskKey
) -> tuple[job_state.Job, job_state.Task] | None:
    """Returns a task and its job, or None if either has ended."""
    job = schedule.jobs.get(key.job_id)
    task = schedule.task_of(key)
    if job is None or task is None or task.done or job.ended:
        return None
    return job, task


def crashes(
    schedule: schedule_state.Schedule, task: job_state.Task
) -> list[model.RunRecord]:
    """Returns the runs of a task that were lost in crashes of their targets."""
    return [
        record
        for record in task.records
        if record.attempt not in task.runs and _is_lost(schedule, record)
    ]


def _is_lost(
    schedule: schedule_state.Schedule, record: model.RunRecord
) -> bool:
    """Returns whether the incarnation of the target that had a run is gone."""
    target = schedule.targets.get(record.target)
    if target is None or target.replaced:
        return True
    if incarnations.may_still_run(target, record.target_started_ms):
        return target.entry is None and (target.failed or not target.listed)
    return True
