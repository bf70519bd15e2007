"""Gives up tasks that crash the targets on which they run.

The load replayed is a task that crashes each target that starts it, among tasks
that only happened to run there, and among targets that crash by themselves. A
crash does not tell which of the runs caused it, so all of them count it, and
are started again apart from other work.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import job_ends
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import run_records
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib

# A job fails when this many targets have crashed under one of its tasks. Two
# may be a coincidence, because targets also crash by themselves.
MAX_CRASHES = 3
# Of these, this many must have followed a confirmed start closely.
MIN_EARLY_CRASHES = 2
# A job also fails when this many targets have crashed that had not run the task
# for long, whether they had confirmed its start or not. A start may be missing
# in the count, because a task's first start is not stored before it is sent.
MAX_CRASHES_AFTER_STARTS = 4
# The same for crashes of any kind.
MAX_CRASHES_OF_ANY_KIND = 5
# How long a target that starts a task again after a crash gets no other work.
OBSERVATION_S = 1.0


def record_crash(
    state: state_lib.State, step: dispatch.Step, run: job_state.Run
) -> None:
    """Counts the crash of a run's target."""
    schedule = state.schedule
    assert schedule is not None
    run_records.record_crash(schedule, run, step.moment.now_s)
    task = schedule.task_of(run.task)
    if task is None or not task.records:
        return
    crashes = [
        record for record in task.records if record.attempt not in task.runs
    ]
    step.note(
        effects.Component.SCHEDULER,
        f"a target crashed under a task, for the {len(crashes)}. time",
        warning=True,
        job=run.task.job_id,
        task=run.task.task_name(),
        attempt=run.attempt,
        target=run.target,
        evidence=[record.evidence.value for record in crashes],
    )


def end_if_exhausted(
    state: state_lib.State,
    step: dispatch.Step,
    job: job_state.Job,
    tasks: Iterable[job_state.Task],
) -> bool:
    """Ends a job as failed if too many targets crashed under one of its tasks.

    Args:
        state: the instance's state.
        step: the current step.
        job: the job.
        tasks: its tasks that are about to start.

    Returns:
        Whether the job was ended.
    """
    schedule = state.schedule
    assert schedule is not None
    for task in tasks:
        if not task.records:
            continue
        crashes = run_records.crashes(schedule, task)
        if is_exhausted(crashes):
            step.count("crashing_jobs_total")
            step.note(
                effects.Component.SCHEDULER,
                "giving up a job: targets crash under one of its tasks",
                warning=True,
                job=job.id,
                task=task.key.task_name(),
                targets=[record.target for record in crashes],
                evidence=[record.evidence.value for record in crashes],
            )
            job_ends.end(state, step, job, model.JobState.FAILED)
            return True
    return False


def is_exhausted(crashes: Sequence[model.RunRecord]) -> bool:
    """Returns whether a task is given up after these crashes of its targets."""
    evidence = [record.evidence for record in crashes]
    if len(evidence) >= MAX_CRASHES_OF_ANY_KIND:
        return True
    late = evidence.count(model.CrashEvidence.LATE)
    if len(evidence) - late >= MAX_CRASHES_AFTER_STARTS:
        return True
    early = evidence.count(model.CrashEvidence.EARLY)
    return len(evidence) >= MAX_CRASHES and early >= MIN_EARLY_CRASHES


def observe(
    schedule: schedule_state.Schedule,
    target_id: ids.TargetId,
    now_s: float,
) -> None:
    """Keeps other work off a target on which a suspected task starts."""
    schedule.observed_until_s[target_id] = now_s + OBSERVATION_S


def drop_ended_observations(
    schedule: schedule_state.Schedule, now_s: float
) -> None:
    """Opens targets to other work whose observation has ended."""
    for target_id, until_s in list(schedule.observed_until_s.items()):
        if now_s >= until_s:
            del schedule.observed_until_s[target_id]
