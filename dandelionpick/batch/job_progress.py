"""Advances a job: opens steps, and records the ends of tasks and the job."""

from collections.abc import Collection

from dandelionpick import ids
from dandelionpick.batch import job_state
from dandelionpick.batch import model

# Steps of one job that a scheduling pass looks at. Further occurrences wait
# until earlier ones are done.
MAX_ACTIVE_STEPS = 1_000


def build_job(
    job_id: ids.JobId,
    record: model.JobRecord,
    accepted_revision: int,
    progress: model.Progress | None,
) -> job_state.Job:
    """Builds a job from its stored record and progress."""
    job = new_job(job_id, record, accepted_revision, progress)
    add_steps(job)
    return job


def new_job(
    job_id: ids.JobId,
    record: model.JobRecord,
    accepted_revision: int,
    progress: model.Progress | None,
) -> job_state.Job:
    """Builds a job without its steps."""
    job = job_state.Job(job_id, record, accepted_revision)
    if progress is not None:
        job.progress = progress
        job.shown = progress.state
    return job


def add_steps(job: job_state.Job) -> None:
    """Adds the steps of each occurrence, as far as the job has got."""
    record = job.record
    for occurrence in range(max(1, record.spec.occurrences)):
        for number, spec in enumerate(record.spec.steps):
            job.steps[occurrence, number] = _build_step(
                job, occurrence, number, spec
            )
    job.steps_left = sum(step.tasks_left > 0 for step in job.steps.values())


def _build_step(
    job: job_state.Job,
    occurrence: int,
    number: int,
    spec: model.StepSpec,
) -> job_state.StepRun:
    done = set(job.progress.done.get(f"{occurrence}.{number}", ()))
    tasks = []
    for index in range(spec.tasks):
        key = model.TaskKey(job.id, occurrence, number, index)
        task = job_state.Task(key, index in done)
        task.failures = len(job.progress.failures.get(key.task_name(), ()))
        task.records = job.progress.runs.get(key.task_name(), [])
        tasks.append(task)
    left = spec.tasks - len(done)
    return job_state.StepRun(spec, occurrence, number, tasks, left)


def due_ms(job: job_state.Job, occurrence: int) -> int:
    """Returns when an occurrence is due, in Unix ms; 0 if the job has none."""
    spec = job.record.spec
    if not spec.occurrences:
        return 0
    return spec.first_due_ms + occurrence * spec.interval_ms


def open_steps(
    job: job_state.Job, now_s: float, unix_ms: int, early_s: float
) -> bool:
    """Opens the steps that are ready; returns whether there are any.

    A step is ready when its occurrence is due, or will be within half of
    `early_s`, and the steps that it comes after are done.
    """
    _activate(job, unix_ms + round(early_s * 1_000 / 2))
    opened = False
    for key, step in list(job.active.items()):
        if not step.tasks_left:
            del job.active[key]
        elif not step.open and _has_met_dependencies(job, step):
            step.open = True
            step.open_s = now_s
            opened = True
    return opened


def _activate(job: job_state.Job, latest_ms: int) -> None:
    """Makes the steps active of the occurrences that are due by a time."""
    if not job.steps:
        return
    occurrences = max(1, job.record.spec.occurrences)
    while (
        job.next_occurrence < occurrences
        and len(job.active) < MAX_ACTIVE_STEPS
        # Due times of earlier releases may be too large for a float.
        and due_ms(job, job.next_occurrence) <= latest_ms
    ):
        for number in range(len(job.record.spec.steps)):
            key = job.next_occurrence, number
            if job.steps[key].tasks_left:
                job.active[key] = job.steps[key]
        job.next_occurrence += 1


def _has_met_dependencies(job: job_state.Job, step: job_state.StepRun) -> bool:
    """Returns whether the steps that a step comes after are done."""
    after = step.spec.after
    while step.met < len(after):
        if job.steps[step.occurrence, after[step.met]].tasks_left:
            return False
        step.met += 1
    return True


def record_done(
    job: job_state.Job, step: job_state.StepRun, task_index: int
) -> None:
    """Records that a task is done."""
    task = step.tasks[task_index]
    if task.done:
        return
    task.done = True
    step.tasks_left -= 1
    job.steps_left -= not step.tasks_left
    job.progress.done.setdefault(task.key.step_name(), []).append(task_index)
    _set_records(job, task, [])


def record_failure(
    job: job_state.Job, task: job_state.Task, attempt: ids.Attempt
) -> None:
    """Counts a failed attempt of a task, once."""
    attempts = job.progress.failures.setdefault(task.key.task_name(), [])
    if attempt not in attempts:
        attempts.append(attempt)
        task.failures = len(attempts)
        job.version += 1


def record_run(
    job: job_state.Job,
    task: job_state.Task,
    record: model.RunRecord,
) -> bool:
    """Adds a run that has not ended, or replaces its record.

    Returns:
        Whether the progress has changed.
    """
    if record in task.records:
        return False
    others = [kept for kept in task.records if kept.attempt != record.attempt]
    _set_records(job, task, [*others, record])
    return True


def remove_runs(
    job: job_state.Job,
    task: job_state.Task,
    attempts: Collection[ids.Attempt],
) -> bool:
    """Removes the records of attempts.

    Returns:
        Whether the progress has changed.
    """
    left = [kept for kept in task.records if kept.attempt not in attempts]
    if len(left) == len(task.records):
        return False
    _set_records(job, task, left)
    return True


def _set_records(
    job: job_state.Job,
    task: job_state.Task,
    records: list[model.RunRecord],
) -> None:
    task.records = records
    name = task.key.task_name()
    if records:
        job.progress.runs[name] = records
    else:
        job.progress.runs.pop(name, None)
    job.version += 1
    task.records_version = job.version


def is_complete(job: job_state.Job) -> bool:
    """Returns whether all tasks are done."""
    return bool(job.steps) and not job.steps_left


def record_end(job: job_state.Job, state: model.JobState, unix_ms: int) -> None:
    """Records that a job has ended; callers see it once it is stored."""
    job.progress.state = state
    job.progress.ended_ms = unix_ms
    job.progress.runs.clear()
    job.version += 1
