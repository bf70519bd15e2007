"""Mutants that disable safety mechanisms of the batch scheduler."""

import dataclasses

from dandelionpick import errors
from dandelionpick.batch import admission
from dandelionpick.batch import exits
from dandelionpick.batch import fencing
from dandelionpick.batch import headroom
from dandelionpick.batch import job_intake
from dandelionpick.batch import leadership
from dandelionpick.batch import leadership_bounds
from dandelionpick.batch import locality
from dandelionpick.batch import monitoring
from dandelionpick.batch import orders
from dandelionpick.batch import pass_capacity
from dandelionpick.batch import polling
from dandelionpick.batch import roster
from dandelionpick.batch import run_endings
from dandelionpick.batch import run_resolution
from dandelionpick.batch import runs
from dandelionpick.batch import saving
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import store_health
from dandelionpick.batch import submission
from dandelionpick.batch import takeover_holds
from dandelionpick.batch import target_health
from dandelionpick.batch import watches
from dandelionpick.platform import targets
from tests import mutant

JOBS = (
    "tests.test_batch_jobs",
    "tests.test_batch_faults",
    "tests.test_batch_succession",
    "tests.test_batch_unlisted_targets",
    "tests.test_batch_store_faults",
)
PARTITION = ("tests.test_batch_partition",)
ALL = (*JOBS, "tests.test_batch_fuzz")


def start_unread_tasks() -> None:
    """Starts tasks that may be running on a target that was not read."""
    takeover_holds.find = lambda state, schedule, now_s: takeover_holds.Holds()


def ignore_fences() -> None:
    """Continues as the scheduler although targets refuse the epoch."""
    fencing.handle_fenced = lambda state, step, epoch: None
    leadership.step_down = lambda state, step, reason: None


def acknowledge_unstored_ends() -> None:
    """Acknowledges ends to targets before the store holds them."""

    def acknowledged(schedule, target):
        target.ends.clear()
        return target.processed

    polling._drop_stored_ends = acknowledged


def keep_life() -> None:
    """Treats a restarted target as if it had kept running."""
    run_endings.handle_restart = lambda state, step, target, started_ms: None


def forget_unresolved() -> None:
    """Frees the capacity of a start without a reply immediately."""

    def failed(context, state, step, failure):
        target = orders._target_if_current(state, context.epoch, context.run)
        if target is not None:
            runs.remove(state.schedule, context.run)

    orders.dispatch.on_failure.register(orders.StartContext, failed)


def lose_cut_off_runs() -> None:
    """Starts the work of a silent target elsewhere immediately."""
    resolve = run_resolution.resolve

    def lose(state, step, target):
        if target.failed:
            run_endings.mark_all_lost(
                state, step, target, run_endings.Loss.UNHEARD
            )
        resolve(state, step, target)

    run_resolution.resolve = lose


def accept_by_any_configuration() -> None:
    """Accepts API keys although the store does not confirm them."""
    admission.is_fresh = lambda state, now_s: state.catalog.current is not None


def accept_unstored() -> None:
    """Acknowledges a submission whose write got no reply."""

    def failed(context, state, step, failure):
        request = state.open_requests.get(context.exchange_id)
        if request is not None:
            submission.open_requests.finish(
                state, step, request, submission.messages.Accepted()
            )

    submission.dispatch.on_failure.register(submission.SubmitContext, failed)


def refuse_uncertain() -> None:
    """Reports a job as not accepted although its write got no reply."""
    submission.open_requests.unknown_outcome = lambda: admission.refuse(
        errors.ProblemKind.STORE_UNAVAILABLE, "", "", 1.0
    )


def overwrite_jobs() -> None:
    """Writes a job whether it exists or not."""
    call = state_lib.call_store

    def call_without(state, step, message, context, *rest):
        if isinstance(context, submission.SubmitContext):
            message = dataclasses.replace(message, conditions=())
        call(state, step, message, context, *rest)

    state_lib.call_store = call_without


def save_as_anybody() -> None:
    """Writes progress whether this instance is the scheduler or not."""
    call = state_lib.call_store

    def call_without(state, step, message, context, *rest):
        if isinstance(context, saving.SaveContext):
            kept = tuple(
                condition
                for condition in message.conditions
                if condition.key != state_lib.SCHEDULER_KEY
            )
            message = dataclasses.replace(message, conditions=kept)
        call(state, step, message, context, *rest)

    state_lib.call_store = call_without


def use_draining() -> None:
    """Starts work on draining targets."""
    usable = pass_capacity.is_usable

    def is_usable(target, pool, now_s):
        return usable(target, pool, now_s) or (
            target.entry is not None and target.listed and not target.failed
        )

    pass_capacity.is_usable = is_usable


def take_expiry_for_exit() -> None:
    """Takes a draining target without an entry that is silent for gone."""
    exits.ExitEvidence.proves_exit = lambda evidence, heartbeat_s: (
        evidence.departed
    )


def believe_full_lists() -> None:
    """Takes runs whose end is beyond a full list of ends for lost."""
    targets.MAX_LISTED_ENDS = 1_000_000


def overcommit() -> None:
    """Frees the capacity of runs that are still being stopped."""
    stop = orders.stop

    def stop_and_free(state, step, run):
        stop(state, step, run)
        runs.remove(state.schedule, run)

    orders.stop = stop_and_free


def extend_silent() -> None:
    """Uses silent targets while the store still lists them as silent."""
    roster.may_use = lambda schedule, target: True
    roster._build_roster = lambda schedule, state, step: schedule.roster


def trust_own_roster() -> None:
    """Waits for no leases if this instance wrote the roster."""
    set_deadlines = roster._set_unlisted_deadlines

    def set_unless_own(schedule, state, step):
        if schedule.roster.scheduler != state.identity.instance:
            set_deadlines(schedule, state, step)

    roster._set_unlisted_deadlines = set_unless_own


def blame_nothing() -> None:
    """Sends work to targets on which every run fails."""
    target_health.record_ending = lambda target, ending, step: None


def watch_nothing() -> None:
    """Leaves work on targets that make no progress."""
    target_health.reschedule_stalled_runs = lambda state, step, target: None


def blame_everything() -> None:
    """Moves every run that takes long, whether it makes progress or not."""
    target_health._is_stalled = lambda state, step_run, run, now_s: (
        now_s - run.ordered_s > target_health.STALL_S
    )


def learn_jobs_out_of_order() -> None:
    """Ignores the scheduler's key in the watch of the jobs."""
    handle = job_intake.watching.apply_item.dispatch(watches.IntakeWatch)

    def apply(watch, state, step, item):
        if item.key != state_lib.SCHEDULER_KEY:
            handle(watch, state, step, item)

    job_intake.watching.apply_item.register(watches.IntakeWatch, apply)


def extend_for_ever() -> None:
    """Extends leases however long the scheduler can't renew its own lease."""
    leadership_bounds.LEADERSHIP_WITHOUT_STORE_S = 1e6
    leadership_bounds.UNCONFIRMED_LEADERSHIP_S = 1e6
    takeover_holds.find = lambda state, schedule, now_s: takeover_holds.Holds(
        schedule.epoch
        if now_s < schedule.began_s + 31.0
        and any(not target.listed for target in schedule.targets.values())
        else 0,
    )


def assume_no_successor() -> None:
    """Takes leases that it has not extended for ended, whoever else has."""
    leadership_bounds.key_confirmed_s = lambda state: float("inf")


def continue_without_evidence() -> None:
    """Sends orders although some targets may obey a successor."""
    leadership_bounds.may_send_orders = leadership_bounds.may_list


def monitor_nobody() -> None:
    """Waits for the lease of a failed scheduler to expire."""
    monitoring._call_scheduler = lambda state, step, is_retry=False: None


def replace_endlessly() -> None:
    """Replaces schedulers across a refused link without a pause."""
    monitoring.MIN_REPLACE_INTERVAL_S = 0.0


def forget_failed_calls() -> None:
    """Replaces a refused scheduler although the store refuses everyone."""
    note = store_health.record_reply

    def note_and_forget(state, step, call, reply):
        note(state, step, call, reply)
        state.store_health.last_failure_s = float("-inf")

    store_health.record_reply = note_and_forget


def keep_no_room() -> None:
    """Gives the reserved capacity to work that can wait."""
    headroom.GANG_HEADROOM_FACTOR = 0.0


def go_far() -> None:
    """Starts work in the wrong rack early, even if the pool is busy.

    It waits for the right rack only for its estimated run time.
    """
    locality.BUSY_WAIT_FACTOR = locality.IDLE_WAIT_FACTOR


MUTANTS = (
    mutant.Mutant(
        "gangs wait for their rack while the pool is busy",
        go_far,
        ("tests.test_batch_locality.CrestTest",),
    ),
    mutant.Mutant(
        "capacity is reserved for urgent work",
        keep_no_room,
        ("tests.test_batch_headroom.CrestTest",),
    ),
    mutant.Mutant(
        "nobody replaces the scheduler while the store is unavailable",
        forget_failed_calls,
        JOBS,
    ),
    mutant.Mutant(
        "a failed scheduler is replaced before its lease expires",
        monitor_nobody,
        JOBS,
    ),
    mutant.Mutant(
        "instances that refuse each other pause between replacements",
        replace_endlessly,
        JOBS,
    ),
    mutant.Mutant(
        "a scheduler without the store stops extending leases",
        extend_for_ever,
        JOBS,
    ),
    mutant.Mutant(
        "leases that a successor may have extended are not taken for ended",
        assume_no_successor,
        PARTITION,
    ),
    mutant.Mutant(
        "a scheduler without evidence that it has no successor sends no orders",
        continue_without_evidence,
        PARTITION,
    ),
    mutant.Mutant(
        "changes of the scheduler and of jobs are seen in commit order",
        learn_jobs_out_of_order,
        JOBS,
    ),
    mutant.Mutant(
        "targets on which every run fails get no work",
        blame_nothing,
        ("tests.test_batch_health",),
    ),
    mutant.Mutant(
        "work that makes no progress is moved",
        watch_nothing,
        ("tests.test_batch_health",),
    ),
    mutant.Mutant(
        "long runs that make progress are not moved",
        blame_everything,
        ("tests.test_batch_health",),
    ),
    mutant.Mutant(
        "tasks wait for targets that could not be read",
        start_unread_tasks,
        ALL,
    ),
    mutant.Mutant("a fenced scheduler steps down", ignore_fences, ALL),
    mutant.Mutant(
        "ends are stored before they are acknowledged",
        acknowledge_unstored_ends,
        ALL,
    ),
    mutant.Mutant("a restart of a target is detected", keep_life, ALL),
    mutant.Mutant(
        "a start without a reply keeps its capacity", forget_unresolved, ALL
    ),
    mutant.Mutant(
        "work on a silent target is kept until its lease expires",
        lose_cut_off_runs,
        ALL,
    ),
    mutant.Mutant(
        "API keys are accepted by a confirmed configuration only",
        accept_by_any_configuration,
        JOBS,
    ),
    mutant.Mutant(
        "a job is stored before it is acknowledged", accept_unstored, ALL
    ),
    mutant.Mutant("a lost write has an unknown outcome", refuse_uncertain, ALL),
    mutant.Mutant("a job is written once", overwrite_jobs, ALL),
    mutant.Mutant("only the scheduler stores progress", save_as_anybody, ALL),
    mutant.Mutant("draining targets get no work", use_draining, JOBS),
    mutant.Mutant(
        "an entry that expired is not taken for an exit",
        take_expiry_for_exit,
        ("tests.test_batch_draining",),
    ),
    mutant.Mutant(
        "a full list of ends does not show that a run is gone",
        believe_full_lists,
        ("tests.test_batch_many_ends",),
    ),
    mutant.Mutant("a stopping run keeps its capacity", overcommit, ALL),
    mutant.Mutant(
        "the store records which targets may hold runs", extend_silent, ALL
    ),
    mutant.Mutant(
        "a scheduler waits for the leases of its own last epoch",
        trust_own_roster,
        ("tests.test_batch_unlisted_targets",),
    ),
)
