"""Decides which tasks a takeover holds back, because they may be at work.

An earlier scheduler may have started tasks on targets that its successor can't
list. Whatever runs there ends with its lease. Until then, a task waits, unless
the successor knows that no other run of it exists. Afterwards, a target that
still reaches the store may hold the ends of work that was done before; for
these, tasks wait that are recorded there.
"""

import dataclasses

from dandelionpick import ids
from dandelionpick.batch import job_state
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import model
from dandelionpick.batch import run_records
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib

# Listings wait for an end for 1 s on the target's clock, which may be slow.
LONGEST_LISTING_S = 1.0 * leadership_bounds.CLOCK_DRIFT_FACTOR


@dataclasses.dataclass(frozen=True, slots=True)
class Holds:
    """What may be on targets that were not listed since the takeover.

    Attributes:
        until_revision: any task of a job that was accepted up to this revision
            of the store may be there; 0 if none.
        targets: targets that run nothing, but may hold ends of the tasks that
            are recorded there.
    """

    until_revision: int
    targets: frozenset[ids.TargetId]

    def any(self) -> bool:
        """Returns whether any task is held back."""
        return bool(self.until_revision or self.targets)

    def cover(self, job: job_state.Job) -> bool:
        """Returns whether any task of a job may be on one of the targets."""
        return job.accepted_revision <= self.until_revision


def find(
    state: state_lib.State, schedule: schedule_state.Schedule, now_s: float
) -> Holds:
    """Returns what the unlisted targets hold back."""
    until_revision = 0
    targets = set()
    for target in schedule.targets.values():
        if target.may_hide_ends():
            until_revision = schedule.epoch
        if target.listed or target.replaced:
            continue
        if now_s < leadership_bounds.leases_until_s(state, schedule, target):
            # No scheduler has used it since the roster has it as silent.
            closed = target.silent_revision or schedule.epoch
            until_revision = max(until_revision, closed)
        elif now_s < leadership_bounds.unlisted_until_s(
            state, schedule, target
        ):
            targets.add(target.id)
    return Holds(until_revision, frozenset(targets))


def is_held(
    holds: Holds,
    schedule: schedule_state.Schedule,
    job: job_state.Job,
    step_run: job_state.StepRun,
    task: job_state.Task,
) -> bool:
    """Returns whether an earlier scheduler's run of a task may be somewhere."""
    # Jobs accepted under the current epoch were never seen by an earlier
    # scheduler.
    if not holds.any() or job.accepted_revision > schedule.epoch:
        return False
    if _is_accounted(schedule, task) or _opened_under_epoch(
        schedule, job, step_run
    ):
        return False
    if holds.cover(job):
        return True
    return _may_lack_records(job) or any(
        record.target in holds.targets for record in task.records
    )


def _is_accounted(
    schedule: schedule_state.Schedule, task: job_state.Task
) -> bool:
    """Returns whether all runs of a task by earlier schedulers are known.

    That the previous process has ended may become known only after the task
    was listed.
    """
    return task.accounted or task.listed_s >= schedule.predecessor.ended_s


def _opened_under_epoch(
    schedule: schedule_state.Schedule,
    job: job_state.Job,
    step_run: job_state.StepRun,
) -> bool:
    """Returns whether no earlier scheduler can have started a step.

    A step that it comes after was not done when this scheduler found its runs.
    """
    for number in step_run.spec.after:
        earlier = job.steps[step_run.occurrence, number]
        if earlier.spec.duplicates_allowed:
            continue
        if any(_is_accounted(schedule, task) for task in earlier.tasks):
            return True
    return False


def _may_lack_records(job: job_state.Job) -> bool:
    """Returns whether some runs of a job may have no record."""
    tasks = sum(step.spec.tasks for step in job.steps.values())
    return tasks > run_records.MAX_RECORDED_TASKS


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
    job = schedule.jobs.get(key.job_id)
    task = schedule.task_of(key)
    if job is None or task is None:
        return
    if not job.step_of(key).spec.duplicates_allowed:
        task.listed_s = listed_s
        last_reply_s = target.first_listed_s + LONGEST_LISTING_S
        task.accounted |= listed_s >= last_reply_s
