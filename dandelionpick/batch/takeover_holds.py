"""Decides which tasks a takeover holds back, because they may be at work.

An earlier scheduler may have started tasks on targets that its successor can't
list. Whatever runs there ends with its lease, and a target that still reaches
the store may hold the ends of work that was done before. Until then, a task of
an earlier job waits, unless the successor knows that no earlier run of it can
be there.
"""

import dataclasses
from collections.abc import Sequence

from dandelionpick.batch import job_state
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import model
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import target_release

# The longest that a listing waits for an end, as the target measures it.
LISTING_WAIT_S = 1.0
# The same on a target whose clock is slow.
LONGEST_LISTING_S = LISTING_WAIT_S * leadership_bounds.CLOCK_DRIFT_FACTOR


@dataclasses.dataclass(frozen=True, slots=True)
class Holds:
    """Jobs of which any task may be on a target that was not listed.

    Attributes:
        until_revision: they were accepted up to this revision of the store; 0
            if there are none.
    """

    until_revision: int = 0

    def covers(self, job: job_state.Job) -> bool:
        """Returns whether a task of a job may be on one of the targets."""
        return job.accepted_revision <= self.until_revision


def find(
    state: state_lib.State, schedule: schedule_state.Schedule, now_s: float
) -> Holds:
    """Returns what the unlisted targets hold back."""
    until_revision = 0
    for target in schedule.targets.values():
        if target_release.may_hide_ends(state, target, now_s):
            return Holds(schedule.epoch)
        if not target.is_unlisted():
            continue
        if now_s < leadership_bounds.unlisted_until_s(state, schedule, target):
            # No scheduler has used it since the roster has it as silent. Jobs
            # accepted under the present epoch were never seen by another one.
            closed = target.silent_revision or schedule.epoch
            until_revision = max(until_revision, closed)
    return Holds(until_revision)


def free_tasks(
    holds: Holds,
    job: job_state.Job,
    step_run: job_state.StepRun,
    tasks: Sequence[job_state.Task],
) -> Sequence[job_state.Task]:
    """Returns the tasks of a step of which no earlier run can be unlisted."""
    if not holds.covers(job) or _is_new_step(job, step_run):
        return tasks
    return [task for task in tasks if task.accounted]


def _is_new_step(job: job_state.Job, step_run: job_state.StepRun) -> bool:
    """Returns whether no earlier scheduler can have opened a step.

    A step that it comes after was not done when this scheduler found its runs.
    """
    for number in step_run.spec.after:
        earlier = job.steps[step_run.occurrence, number]
        if not earlier.spec.duplicates_allowed and any(
            task.accounted for task in earlier.tasks
        ):
            return True
    return False


def account(
    schedule: schedule_state.Schedule,
    target: schedule_state.Target,
    key: model.TaskKey,
    listed_s: float,
) -> None:
    """Records that a listing shows a task at work.

    An earlier scheduler starts a task again only if it knows that the run is
    gone. It learns that from a listing of the target, at the latest from one
    that was in progress when its successor listed the target. What is at work
    afterwards is the only run; of a gang, if each member is listed.

    Args:
        schedule: the schedule.
        target: the target that lists the task.
        key: the task.
        listed_s: the target has made up the listing after this time.
    """
    if listed_s < target.first_listed_s + LONGEST_LISTING_S:
        return
    job = schedule.jobs.get(key.job_id)
    task = schedule.task_of(key)
    if job is not None and task is not None:
        task.accounted |= not job.step_of(key).spec.duplicates_allowed
