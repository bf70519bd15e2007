"""Mutants that weaken the expected run times."""

from dandelionpick.batch import run_time_groups
from dandelionpick.batch import run_time_records
from dandelionpick.batch import run_time_store
from dandelionpick.batch import run_times
from tests import mutant

RUN_TIMES = ("tests.test_batch_run_times",)


def believe_estimates() -> None:
    """Expects what callers say, whatever was learnt."""
    run_times.predict_from = lambda learnt, record, spec: (
        run_times._by_estimate_alone(spec)
    )


def share_ratios() -> None:
    """Corrects the estimates of all organisations alike."""
    run_time_groups.estimate_keys = lambda record: (
        run_time_groups.GroupKey(record.queue),
    )


def count_ended_only() -> None:
    """Leaves out runs that were stopped or still run."""
    learn = run_time_records.learn

    def learn_ended(learnt, record, spec, time_s, is_done):
        if is_done:
            learn(learnt, record, spec, time_s, is_done)

    run_time_records.learn = learn_ended
    run_time_records._running_weights = lambda schedule, now_s: {}


def store_as_anybody() -> None:
    """Writes what was learnt whether this instance is the scheduler or not."""
    call = run_time_store._call

    def call_without(state, step, schedule, message):
        if isinstance(message, run_time_store.store_api.Commit):
            message = run_time_store.store_api.Commit((), message.writes)
        call(state, step, schedule, message)

    run_time_store._call = call_without


def wait_in_vain() -> None:
    """Takes a run that shows nothing to end when it was expected to."""
    run_times.MAX_SILENT_SHARE = 1.0


MUTANTS = (
    mutant.Mutant(
        "expected run times follow those of finished runs",
        believe_estimates,
        RUN_TIMES,
    ),
    mutant.Mutant(
        "false estimates of an organisation give it no advantage",
        share_ratios,
        RUN_TIMES,
    ),
    mutant.Mutant(
        "runs that were stopped or still run count",
        count_ended_only,
        RUN_TIMES,
    ),
    mutant.Mutant(
        "only the scheduler stores run times", store_as_anybody, RUN_TIMES
    ),
    mutant.Mutant(
        "a run without progress is not taken to end soon",
        wait_in_vain,
        RUN_TIMES,
    ),
)
