"""Expects run times from those of finished runs.

Callers' estimates are off by up to nine tenths, or false in the callers' own
favour. Ordered by them, urgent work of others waits behind long work that was
said to be short. Two predictors are combined: the usual run time of the group,
and the caller's estimate times what the organisation's run times usually are in
relation to its estimates. Each counts by its errors so far.

Without the feature, or while too few runs have ended, the caller's estimate
is all that is known.
"""

from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import preemption_gain
from dandelionpick.batch import run_time_groups
from dandelionpick.batch import schedule_state

# An error in doublings that no predictor is trusted to stay below.
MIN_ERROR = 0.05
# An estimate counts for at most this many times the usual run time of its
# group; tasks that take seven times as long are known to occur.
MAX_ESTIMATE_FACTOR = 8.0
# Progress of a few percent says little, because percentages are whole numbers
# that a listing shows late. With this many, it counts as much as the expected
# run time.
PROGRESS_PERCENT = 5.0
# A run that shows nothing after this share of its expected time is not expected
# to keep to it.
MAX_SILENT_SHARE = 0.5


def expected_s(
    schedule: schedule_state.Schedule,
    job: job_state.Job,
    step_run: job_state.StepRun,
) -> float:
    """Returns the run time that is expected of a task."""
    if not schedule.features.learn_run_times:
        return step_run.spec.estimate_ms / 1_000
    return predict(schedule, job, step_run.number).expected_s


def cautious_s(
    schedule: schedule_state.Schedule,
    job: job_state.Job,
    step_run: job_state.StepRun,
) -> float:
    """Returns a run time that about one task in ten exceeds."""
    return predict(schedule, job, step_run.number).cautious_s


def job_expected_s(
    schedule: schedule_state.Schedule, job: job_state.Job
) -> float:
    """Returns the sum of the run times that are expected of a job's steps."""
    return sum(
        predict(schedule, job, number).expected_s
        for number in range(len(job.record.spec.steps))
    )


def remaining_s(
    schedule: schedule_state.Schedule, run: job_state.Run, now_s: float
) -> float:
    """Returns how long a run is expected to last; inf if that is unknown."""
    by_progress_s = preemption_gain.remaining_s(run, now_s)
    job = schedule.jobs.get(run.task.job_id)
    if not schedule.features.learn_run_times or job is None:
        return by_progress_s
    prediction = predict(schedule, job, run.task.step)
    if not prediction.runs:
        return by_progress_s
    whole_s = prediction.expected_s * (1.0 - run.first_percent / 100.0)
    worked_s = now_s - run.ordered_s
    gained = run.percent - run.first_percent
    if gained <= 0:
        if worked_s > MAX_SILENT_SHARE * whole_s:
            return float("inf")
        return whole_s - worked_s
    share = gained / (gained + PROGRESS_PERCENT)
    return share * by_progress_s + (1.0 - share) * max(0.0, whole_s - worked_s)


def predict(
    schedule: schedule_state.Schedule, job: job_state.Job, number: int
) -> run_time_groups.Prediction:
    """Returns what is expected of the tasks of a step; cached."""
    spec = job.record.spec.steps[number]
    if not schedule.features.learn_run_times:
        return _by_estimate_alone(spec)
    learnt = schedule.run_times
    key = job.id, number
    prediction = learnt.predictions.get(key)
    if prediction is None:
        prediction = predict_from(learnt, job.record, spec)
        learnt.predictions[key] = prediction
        learnt.first_predictions.setdefault(key, prediction)
    return prediction


def _by_estimate_alone(spec: model.StepSpec) -> run_time_groups.Prediction:
    estimate_s = spec.estimate_ms / 1_000
    return run_time_groups.Prediction(estimate_s, estimate_s)


def predict_from(
    learnt: run_time_groups.RunTimes,
    record: model.JobRecord,
    spec: model.StepSpec,
) -> run_time_groups.Prediction:
    """Returns what is expected of the tasks of a step by what was learnt."""
    group, callers = learnt.usable_groups(record, spec)
    if group is None:
        return _by_estimate_alone(spec)
    times = group.times.quantiles()
    runs = round(group.weight)
    estimate_s = spec.estimate_ms / 1_000
    if (
        estimate_s <= 0
        or callers is None
        or callers.ratios.ended.count < run_time_groups.MIN_WEIGHT
    ):
        return run_time_groups.Prediction(
            times.median, times.high, times.median, 0.0, runs
        )
    ratios = callers.ratios.quantiles()
    longest_s = MAX_ESTIMATE_FACTOR * times.median
    median_s, high_s = (
        min(longest_s, max(times.low, estimate_s * ratio))
        for ratio in (ratios.median, ratios.high)
    )
    time_weight = max(MIN_ERROR, callers.time_error.mean) ** -2
    estimate_weight = max(MIN_ERROR, callers.estimate_error.mean) ** -2
    share = estimate_weight / (time_weight + estimate_weight)
    return run_time_groups.Prediction(
        times.median ** (1 - share) * median_s**share,
        times.high ** (1 - share) * high_s**share,
        times.median,
        median_s,
        runs,
    )
