"""Repeats starts without a reply while the gang waits for its members.

The load pattern is a pool in which a few of a hundred orders get no reply.
Stopping a whole gang for one missing member costs its start, and most of the
time another preemption; of the gangs with 40 members nine in ten lose a start.
A target carries out a start once, however often it is sent, and refuses it once
the attempt has been stopped or has ended there, so that it can be sent again to
the same incarnation.
"""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick.batch import abandoned_starts
from dandelionpick.batch import evacuations
from dandelionpick.batch import job_state
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import orders
from dandelionpick.batch import roster
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import target_api

# A target that loses three starts in a row is unlikely to carry out the next.
MAX_REPETITIONS = 2
# Members of a gang arrive within this share of the time that the others wait,
# so that the last repetition can still be looked up and stopped.
MAX_WAIT_SHARE = 0.5


def repeat(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    run: job_state.Run,
) -> bool:
    """Sends a start again that a later listing lacks.

    Args:
        state: the state of the instance.
        step: the current step.
        target: the target of the run, which has just been listed.
        run: a run whose start got no reply.

    Returns:
        Whether the start was sent; otherwise the run has to be stopped.
    """
    now_s = step.moment.now_s
    if not _may_repeat(state, target, run, now_s):
        return False
    step.count("starts_repeated_total")
    step.note(
        effects.Component.SCHEDULER,
        "repeating a start without a reply, which a later listing lacks",
        job=run.task.job_id,
        task=run.task.task_name(),
        attempt=run.attempt,
        target=target.id,
        unresolved_s=round(now_s - run.unresolved_s, 3),
    )
    run.first_ordered_s = min(run.first_ordered_s, run.ordered_s)
    run.repetitions += 1
    run.state = job_state.RunState.ORDERED
    run.ordered_s = run.progressed_s = now_s
    run.unresolved_s = float("inf")
    # The earlier order may be carried out by the next incarnation, after the
    # run has ended here.
    abandoned_starts.record_order(target, run)
    orders.send_start(state, step, run)
    return True


def _may_repeat(
    state: state_lib.State,
    target: schedule_state.Target,
    run: job_state.Run,
    now_s: float,
) -> bool:
    schedule = state.schedule
    assert schedule is not None
    job = schedule.jobs.get(run.task.job_id)
    task = schedule.task_of(run.task)
    if job is None or task is None or job.ended or job.cancelled or task.done:
        return False
    waited_s = now_s - min(run.first_ordered_s, run.ordered_s)
    return (
        run.repetitions < MAX_REPETITIONS
        and waited_s < MAX_WAIT_SHARE * state.limits.gang_wait_s
        and run.sent_to_ms > 0
        and run.sent_to_ms == target.started_ms
        and leadership_bounds.may_start(state, now_s)
        and evacuations.is_view_current(state, now_s)
        and _takes_work(schedule, target)
        # A task that may crash its target is started by plan only.
        and all(record.attempt == run.attempt for record in task.records)
        and _gang_is_whole(job.step_of(run.task), run)
    )


def _takes_work(
    schedule: schedule_state.Schedule, target: schedule_state.Target
) -> bool:
    entry = target.entry
    return (
        entry is not None
        and entry.state is target_api.TargetState.READY
        and not evacuations.is_closed(schedule, target)
        and not target.is_exceeded()
        and roster.may_use(schedule, target)
    )


def _gang_is_whole(step_run: job_state.StepRun, run: job_state.Run) -> bool:
    """Returns whether all members of the gang are still meant to run."""
    if not step_run.spec.gang:
        return True
    members = [task.runs.get(run.attempt) for task in step_run.tasks]
    return all(
        member is not None
        and member.state is not job_state.RunState.STOPPING
        and member.stop_sent_s == float("-inf")
        for member in members
    )
