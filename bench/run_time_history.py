"""Run times that a scheduler has learnt on an earlier day of a simulation."""

from bench import load_patterns
from dandelionpick import ids
from dandelionpick.batch import model
from dandelionpick.batch import run_time_groups
from dandelionpick.batch import run_time_records
from dandelionpick.batch import run_time_store
from dandelionpick.batch import run_times
from dandelionpick.platform import jobs

DAY_S = 120.0
# Added to the seed, so that the earlier day has other jobs.
SEED_OFFSET = 1_000


def encode(
    site: load_patterns.Site, pattern: load_patterns.Pattern, seed: int
) -> bytes:
    """Returns what the store holds after a day on which all work was done."""
    learnt = run_time_groups.RunTimes()
    for arrival in load_patterns.arrivals(
        site, pattern, seed + SEED_OFFSET, DAY_S
    ):
        spec = jobs.decode(arrival.body).unwrap()
        record = model.JobRecord(
            ids.QueueName(f"q{arrival.kind.priority}"),
            ids.OrganisationId(arrival.organisation),
            model.QueueTerms(ids.PoolName("pool")),
            spec,
            0,
        )
        for step in spec.steps:
            learnt.forget_predictions()
            prediction = run_times.predict_from(learnt, record, step)
            times_s = [
                arrival.work_s / speed for speed in _speeds_of(site, step)
            ]
            for time_s in times_s:
                run_time_records.learn(learnt, record, step, time_s, True)
            run_time_records.record_errors(
                learnt, record, step, prediction, sum(times_s) / len(times_s)
            )
    return run_time_store.encode(learnt)


def _speeds_of(site: load_patterns.Site, step: model.StepSpec) -> list[float]:
    """Returns the speed of each end; a gang is as slow as its slowest."""
    if step.gang:
        return [min(site.speeds)]
    return [
        site.speeds[number % len(site.speeds)] for number in range(step.tasks)
    ]
