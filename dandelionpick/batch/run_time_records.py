"""Records how long runs take, for the expected run times."""

import collections

from dandelionpick import dispatch
from dandelionpick import effects
from dandelionpick import ids
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import run_time_groups
from dandelionpick.batch import run_times
from dandelionpick.batch import schedule_state
from dandelionpick.batch import state as state_lib

# The tasks of a step are alike, so that together they weigh as much as this
# many.
MAX_WEIGHT_PER_STEP = 4.0
# A run that has done less of the work than this says little about the whole.
MIN_SHARE = 0.25
# How often predictions follow what was learnt, and runs in progress are
# counted. Counting takes time in proportion to the jobs.
REFRESH_S = 1.0


def refresh(schedule: schedule_state.Schedule, now_s: float) -> None:
    """Counts the runs in progress, and lets predictions be made anew."""
    learnt = schedule.run_times
    if (
        not schedule.features.learn_run_times
        or now_s - learnt.refreshed_s < REFRESH_S
    ):
        return
    learnt.refreshed_s = now_s
    learnt.forget_predictions()
    _drop_ended(schedule)
    weights = _running_weights(schedule, now_s)
    for key, group in learnt.groups.items():
        group.times.set_running(weights.get(key, {}))


def _drop_ended(schedule: schedule_state.Schedule) -> None:
    """Forgets the steps of jobs that have ended."""
    learnt = schedule.run_times
    for steps in (learnt.first_predictions, learnt.steps):
        for key in list(steps):
            job = schedule.jobs.get(key[0])
            if job is None or job.ended:
                del steps[key]


def _running_weights(
    schedule: schedule_state.Schedule, now_s: float
) -> dict[run_time_groups.GroupKey, dict[int, float]]:
    """Returns the weights of what runs by group and bin of its time so far.

    All runs of a step count as its first one found.
    """
    first: dict[tuple[ids.JobId, int, int], job_state.Run] = {}
    counts: collections.Counter[tuple[ids.JobId, int, int]] = (
        collections.Counter()
    )
    for target in schedule.targets.values():
        for run in target.runs.values():
            if (
                run.state is job_state.RunState.RUNNING
                and run.first_percent <= 0
            ):
                step_key = run.task[:3]
                first.setdefault(step_key, run)
                counts[step_key] += 1
    weights: dict[run_time_groups.GroupKey, dict[int, float]] = (
        collections.defaultdict(lambda: collections.defaultdict(float))
    )
    for step_key, run in first.items():
        job = schedule.jobs.get(run.task.job_id)
        step_run = job and job.steps.get(step_key[1:])
        if not job or not step_run or job.ended:
            continue
        spec = step_run.spec
        is_complete = not spec.gang or counts[step_key] == len(step_run.tasks)
        worked_s = now_s - _began_s(step_run, run)
        if spec.until_cancelled or not is_complete or worked_s <= 0:
            continue
        bin_key = run_time_groups.key_of(worked_s)
        for group_key in run_time_groups.time_keys(job.record, spec):
            weights[group_key][bin_key] += counts[step_key] * _weight(spec)
    return weights


def _weight(spec: model.StepSpec) -> float:
    """Returns what a run weighs; one end of a gang stands for all."""
    if spec.gang:
        return 1.0 / spec.tasks
    return min(1.0, MAX_WEIGHT_PER_STEP / spec.tasks)


def _began_s(step_run: job_state.StepRun, run: job_state.Run) -> float:
    """Returns when a run began to work; a gang begins when all are there."""
    if not step_run.spec.gang:
        return run.ordered_s
    members = (task.runs.get(run.attempt) for task in step_run.tasks)
    return max(
        member.ordered_s
        if member.confirmed_s == float("inf")
        else member.confirmed_s
        for member in members
        if member is not None
    )


def record_end(
    state: state_lib.State,
    step: dispatch.Step,
    run: job_state.Run,
    ending: model.Ending,
) -> None:
    """Records how long a run took, or that it lasted at least that long.

    It is called while the run is still among those of its task.
    """
    schedule = state.schedule
    assert schedule is not None
    job = schedule.jobs.get(run.task.job_id)
    if not schedule.features.learn_run_times or job is None:
        return
    task = schedule.task_of(run.task)
    if task is None or task.done or ending is model.Ending.ALONE:
        return
    step_run = job.step_of(run.task)
    if step_run.spec.until_cancelled or _is_slowed(schedule, step_run, run):
        return
    if step_run.spec.gang and any(
        run.attempt not in member.runs for member in step_run.tasks
    ):
        # Another member has ended, which stands for all.
        return
    worked_s = step.moment.now_s - _began_s(step_run, run)
    if run.first_percent > 0:
        worked_s -= state.limits.restore_s
    share = 1.0 - run.first_percent / 100.0
    if worked_s <= 0 or share < MIN_SHARE:
        return
    is_done = ending is model.Ending.DONE
    if is_done:
        times = schedule.run_times.steps.setdefault(
            (job.id, step_run.occurrence, step_run.number),
            run_time_groups.StepTimes(),
        )
        times.total_s += worked_s / share
        times.count += 1
    learn(
        schedule.run_times,
        job.record,
        step_run.spec,
        worked_s / share,
        is_done,
    )


def _is_slowed(
    schedule: schedule_state.Schedule,
    step_run: job_state.StepRun,
    run: job_state.Run,
) -> bool:
    """Returns whether a run was away from its data, or its gang spread out."""
    spec = step_run.spec
    if not spec.data_rack and not spec.one_rack:
        return False
    racks = set()
    for task in step_run.tasks:
        member = task.runs.get(run.attempt)
        target = member and schedule.targets.get(member.target)
        if target and target.entry is not None:
            racks.add(target.entry.rack)
    return len(racks) > 1 or bool(spec.data_rack and {spec.data_rack} != racks)


def learn(
    learnt: run_time_groups.RunTimes,
    record: model.JobRecord,
    spec: model.StepSpec,
    time_s: float,
    is_done: bool,
) -> None:
    """Adds a run time to its groups.

    Args:
        learnt: what was learnt so far.
        record: the job.
        spec: the step.
        time_s: how long a task or the gang took, or lasted at least.
        is_done: it is the whole time.
    """
    weight = 1.0 if spec.gang else _weight(spec)
    learnt.changed = True
    estimate_keys = run_time_groups.estimate_keys(record)
    time_keys = run_time_groups.time_keys(record, spec)
    for key in dict.fromkeys((*time_keys, *estimate_keys)):
        learnt.group(key).times.add(time_s, weight, is_done)
    if spec.estimate_ms > 0:
        ratio = time_s / (spec.estimate_ms / 1_000)
        for key in estimate_keys:
            learnt.group(key).ratios.add(ratio, weight, is_done)


def note_step_end(
    state: state_lib.State,
    step: dispatch.Step,
    job: job_state.Job,
    step_run: job_state.StepRun,
) -> None:
    """Compares what was expected with what a step took, if it has ended."""
    schedule = state.schedule
    assert schedule is not None
    learnt = schedule.run_times
    if step_run.tasks_left or not learnt.steps:
        return
    key = job.id, step_run.occurrence, step_run.number
    times = learnt.steps.pop(key, None)
    if times is None:
        return
    first_key = job.id, step_run.number
    prediction = learnt.first_predictions.pop(
        first_key, None
    ) or run_times.predict(schedule, job, step_run.number)
    actual_s = times.total_s / times.count
    record_errors(learnt, job.record, step_run.spec, prediction, actual_s)
    estimate_s = step_run.spec.estimate_ms / 1_000
    queue = job.record.queue
    if estimate_s > 0:
        step.emit(
            effects.Observe(
                "run_time_ratio", actual_s / estimate_s, (queue, "estimate")
            )
        )
    if prediction.expected_s > 0:
        step.emit(
            effects.Observe(
                "run_time_ratio",
                actual_s / prediction.expected_s,
                (queue, "expected"),
            )
        )
    step.note(
        effects.Component.SCHEDULER,
        "run times of a step",
        job=job.id,
        step=f"{step_run.occurrence}.{step_run.number}",
        queue=queue,
        estimate_s=estimate_s,
        expected_s=round(prediction.expected_s, 3),
        actual_s=round(actual_s, 3),
        known_runs=prediction.runs,
    )


def record_errors(
    learnt: run_time_groups.RunTimes,
    record: model.JobRecord,
    spec: model.StepSpec,
    prediction: run_time_groups.Prediction,
    actual_s: float,
) -> None:
    """Records how far off both predictors were for a step.

    An estimate counts from the first step on, so that callers who estimate well
    are trusted early.
    """
    estimate_s = spec.estimate_ms / 1_000
    for key in run_time_groups.estimate_keys(record):
        group = learnt.group(key)
        if prediction.by_times_s:
            group.time_error.add(actual_s, prediction.by_times_s)
        if estimate_s > 0:
            group.estimate_error.add(
                actual_s, prediction.by_estimate_s or estimate_s
            )
