"""Mutants about tasks that crash their targets, and changing capacity."""

from dandelionpick import forwarding
from dandelionpick import gang_parts
from dandelionpick import job_outcomes
from dandelionpick import requests
from dandelionpick import retries
from dandelionpick.batch import crash_budget
from dandelionpick.batch import model
from dandelionpick.batch import pass_capacity
from dandelionpick.batch import planned_starts
from dandelionpick.batch import run_endings
from dandelionpick.batch import run_records
from dandelionpick.batch import schedule_state
from dandelionpick.batch import scheduling
from dandelionpick.batch import target_health
from tests import mutant

CRASHES = (
    "tests.test_batch_crash_budget",
    "tests.test_batch_innocent_tasks",
    "tests.test_batch_planned_starts",
)


def count_no_crash() -> None:
    """Starts a task again however many targets have crashed under it."""
    crash_budget.end_if_exhausted = lambda state, step, job, tasks: False


def record_crashes_only() -> None:
    """Records a run when it is lost, not when it starts."""
    run_records._record_start = lambda schedule, run, evidence: None


def record_confirmed_starts_only() -> None:
    """Records no start whose reply is overdue."""
    run_records.record_overdue = lambda schedule, now_s: None


def count_silence() -> None:
    """Counts each lost run as a crash of its target."""
    run_endings.CRASHES = tuple(run_endings.Loss)


def count_living_targets() -> None:
    """Counts a run that is gone although its target is alive."""
    run_records._is_lost = lambda schedule, record: True


def count_every_crash_alike() -> None:
    """Gives a task up after any three crashes of its targets."""
    crash_budget.MIN_EARLY_CRASHES = 0


def trust_unconfirmed_starts() -> None:
    """Takes a start without a reply for a run."""
    run_records._judge = lambda target, run: model.CrashEvidence.EARLY


def send_before_starts_are_stored() -> None:
    """Starts a suspected task although the store has no record of that."""
    run_records.is_stored = lambda schedule, run: True


def send_without_looking() -> None:
    """Starts a suspected task on a target that may be down already."""
    planned_starts._is_ready = run_records.is_stored


def forgive_doubtful_crashes() -> None:
    """Starts a task again however often crashes don't prove anything."""
    crash_budget.MAX_CRASHES_OF_ANY_KIND = 1_000


def leave_no_room_for_lost_records() -> None:
    """Starts a task as often as allowed by what is known of its starts."""
    crash_budget.MAX_CRASHES_AFTER_STARTS = crash_budget.MAX_CRASHES_OF_ANY_KIND


def mix_suspected_work() -> None:
    """Starts a task that may crash its target beside other work."""
    pass_capacity.SHARED_TARGET_PENALTY = 0.0


def admit_to_observed() -> None:
    """Starts other work beside a task that may crash its target."""
    crash_budget.observe = lambda schedule, target_id, now_s: None


def add_up_for_ever() -> None:
    """Counts the crashes under a task that has run for long."""
    run_records.PROVED_AFTER_S = float("inf")


def wait_for_dead_leases() -> None:
    """Waits for the leases of a target whose address another one has."""
    run_endings.handle_replacement = lambda state, step, target: None


def keep_incomplete_gangs() -> None:
    """Waits for targets to end the members of an incomplete gang."""
    scheduling._stop_incomplete_gang = lambda state, step, step_run: None


def move_long_work() -> None:
    """Takes work for stalled before its first percent."""
    target_health._patience_s = lambda step_run, run, worked_s: 0.0


def retry_after_restarts() -> None:
    """Tries a request again however many executors restart under it."""
    retries.MAX_FAILURES = 1_000


def forget_losses_of_forwards() -> None:
    """Takes each forwarded request for one that has lost nothing."""
    submit = requests.submit

    def submit_anew(state, step, message, exchange_id, hops=0, lost_calls=0):
        submit(state, step, message, exchange_id, hops)

    requests.submit = submit_anew
    forwarding.has_lost_targets = lambda answer: False


def rerun_crashing_jobs() -> None:
    """Runs a job again however many workers restart under it."""
    job_outcomes.MAX_CRASHED_RUNS = 1_000


def count_late_restarts() -> None:
    """Counts each restart of a worker that has a part of a job."""
    gang_parts.EARLY_CRASH_S = float("inf")


def keep_capacity() -> None:
    """Uses the capacity that a target had when it was registered."""
    capacities: dict[str, model.Resources] = {}

    def free(target: schedule_state.Target) -> model.Resources:
        assert target.entry is not None
        capacity = capacities.setdefault(target.id, target.entry.capacity)
        return capacity.minus(target.used)

    schedule_state.Target.free = free


def fill_exceeded_targets() -> None:
    """Starts tasks on a target of which another resource is exceeded."""
    schedule_state.Target.is_exceeded = lambda target: False


MUTANTS = (
    mutant.Mutant(
        "a gang that lost members before a takeover runs again",
        keep_incomplete_gangs,
        CRASHES,
    ),
    mutant.Mutant(
        "long work is not moved before its first percent",
        move_long_work,
        ("tests.test_batch_health",),
    ),
    mutant.Mutant(
        "a target whose address another one has holds nothing",
        wait_for_dead_leases,
        CRASHES,
    ),
    mutant.Mutant(
        "a request that crashes executors is given up",
        retry_after_restarts,
        ("tests.test_forwarding",),
    ),
    mutant.Mutant(
        "peers know what a forwarded request has lost",
        forget_losses_of_forwards,
        ("tests.test_forwarding",),
    ),
    mutant.Mutant(
        "a job that crashes workers is given up",
        rerun_crashing_jobs,
        ("tests.test_gang_crashes",),
    ),
    mutant.Mutant(
        "late restarts of workers don't count",
        count_late_restarts,
        ("tests.test_gang_crashes",),
    ),
    mutant.Mutant(
        "a target's present capacity counts",
        keep_capacity,
        ("tests.test_batch_capacity",),
    ),
    mutant.Mutant(
        "nothing starts on an exceeded target",
        fill_exceeded_targets,
        ("tests.test_batch_capacity",),
    ),
    mutant.Mutant(
        "a task that crashes targets is given up", count_no_crash, CRASHES
    ),
    mutant.Mutant(
        "a run is recorded before a takeover can hide it",
        record_crashes_only,
        CRASHES,
    ),
    mutant.Mutant(
        "a start without a reply is recorded before a takeover can hide it",
        record_confirmed_starts_only,
        CRASHES,
    ),
    mutant.Mutant(
        "the start of a suspected task is stored before it is sent",
        send_before_starts_are_stored,
        CRASHES,
    ),
    mutant.Mutant(
        "a target answers before it starts a suspected task",
        send_without_looking,
        CRASHES,
    ),
    mutant.Mutant("silence is not a crash", count_silence, CRASHES),
    mutant.Mutant(
        "a target that is alive has not crashed", count_living_targets, CRASHES
    ),
    mutant.Mutant(
        "crashes in the middle of the work count less",
        count_every_crash_alike,
        CRASHES,
    ),
    mutant.Mutant(
        "a start without a reply is no run", trust_unconfirmed_starts, CRASHES
    ),
    mutant.Mutant(
        "doubtful crashes have a limit too", forgive_doubtful_crashes, CRASHES
    ),
    mutant.Mutant(
        "a start may be missing in the count",
        leave_no_room_for_lost_records,
        CRASHES,
    ),
    mutant.Mutant(
        "suspected tasks start apart from other work",
        mix_suspected_work,
        CRASHES,
    ),
    mutant.Mutant(
        "observed targets get no other work", admit_to_observed, CRASHES
    ),
    mutant.Mutant(
        "a lasting task that has run for long starts anew",
        add_up_for_ever,
        CRASHES,
    ),
)
