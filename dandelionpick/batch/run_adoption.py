"""Takes over the runs that an earlier scheduler has started."""

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import orders
from dandelionpick.batch import runs
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import target_api


def adopt(
    state: state_lib.State,
    step: dispatch.Step,
    target: schedule_state.Target,
    running: target_api.Running,
) -> job_state.Run:
    """Takes over a run that an earlier scheduler started."""
    schedule = state.schedule
    assert schedule is not None
    now_s = step.moment.now_s
    task = schedule.task_of(running.task)
    job = schedule.jobs.get(running.task.job_id)
    needs = model.Resources()
    if task is not None and job is not None:
        spec = job.steps[running.task.occurrence, running.task.step].spec
        needs = runs.occupied_resources(spec)
    run = job_state.Run(
        running.task,
        running.attempt,
        target.id,
        needs,
        job_state.RunState.RUNNING,
        now_s,
        job_known=task is not None,
        progressed_s=now_s,
        percent=running.percent,
        first_percent=running.percent,
    )
    runs.add(schedule, run, task)
    unwanted = task is None or job is None or job.ended or task.done
    if unwanted or len(task.runs) > 1:
        step.note(
            effects.Component.TARGETS,
            f"{target.id} runs {running.task.job_id}."
            f"{running.task.task_name()}, which is not needed; stopping it",
            warning=True,
        )
        orders.stop(state, step, run)
    return run
