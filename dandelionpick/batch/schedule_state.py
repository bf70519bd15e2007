"""In-memory state of the scheduler: its targets, and the whole of it."""

import collections
import dataclasses

from dandelionpick import ids
from dandelionpick.batch import capacity_views
from dandelionpick.batch import contention as contention_lib
from dandelionpick.batch import evacuation_state
from dandelionpick.batch import exits
from dandelionpick.batch import features as features_lib
from dandelionpick.batch import isolation as isolation_lib
from dandelionpick.batch import job_memory
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import run_time_groups
from dandelionpick.batch import stages
from dandelionpick.batch import start_window
from dandelionpick.batch import target_api
from dandelionpick.batch import target_evidence
from dandelionpick.batch import waits as waits_lib


@dataclasses.dataclass(slots=True)
class Target:
    """A target as far as the scheduler knows.

    Attributes:
        entry: its registration in the store; None if it is gone.
        started_ms: Unix milliseconds of the start of the incarnation that was
            listed last; 0 before the first listing.
        announced_s: when its entry told of a later incarnation that has not
            been listed yet; inf if it did not.
        clock_ms: the target's clock at `clock_s`, when it was last listed.
        listing_sent_s: when that listing was sent.
        lease_ends_s: everything that runs there ends by then, unless the lease
            is extended.
        listed: it was listed under this epoch, so orders of earlier epochs are
            void.
        first_listed_s: when it was, the first time since it was not.
        has_more_ends: the last listing may not have shown all ends.
        poll_pending: a listing is in progress.
        poll_serial: number of the latest listing; replies to others are
            ignored.
        poll_sent_s: when the last listing was sent.
        poll_at_s: the next listing is not sent before this time.
        obeyed_s: when the last listing that it answered was sent; it had not
            obeyed a later scheduler by then.
        failed: the last listing failed.
        unheard: its leases have ended since it last answered.
        failing_since_s: when the first of the failed listings was sent.
        replaced: another incarnation answers at its address, so that nothing
            runs there any more.
        exit_evidence: what is known about its exit.
        backoff_until_s: nothing is started there before this time.
        failures: failed runs since the last one that was done.
        quarantined_until_s: nothing is started there before this time, because
            work failed or stalled there.
        unlisted_until_s: until then, runs of an earlier scheduler may be there,
            unless `listed` is set.
        silent_until_ms: everything on a silent target ends by this Unix time,
            as recorded in the store; no lease is extended until the record is
            gone. 0 if there is no record.
        silent_until_s: the same time on this scheduler's steady clock.
        silent_revision: revision of the roster that had it as silent when this
            scheduler took over; 0 if it had not.
        cold_until_s: it works slowly until then, as its entry says.
        runs: runs that occupy resources, by task and attempt.
        used: the sum of their resources.
        ends: ends that are not acknowledged: number, job and the version of
            its progress that has to be stored first.
        processed: number of the last end that was processed.
        acknowledged: number of the last end that it is known to have forgotten.
        last_attempts: highest attempt that ended there, by task.
        abandoned_starts: when starts were sent that got no reply and were given
            up, by task and attempt.
    """

    id: ids.TargetId
    address: str
    entry: target_api.TargetEntry | None
    started_ms: int = 0
    announced_s: float = float("inf")
    clock_ms: int = 0
    clock_s: float = 0.0
    listing_sent_s: float = 0.0
    lease_ends_s: float = float("-inf")
    listed: bool = False
    first_listed_s: float = float("inf")
    has_more_ends: bool = False
    poll_pending: bool = False
    poll_serial: int = 0
    poll_sent_s: float = float("-inf")
    poll_at_s: float = float("-inf")
    obeyed_s: float = float("-inf")
    failed: bool = False
    unheard: bool = False
    failing_since_s: float = float("inf")
    backoff_until_s: float = float("-inf")
    replaced: bool = False
    exit_evidence: exits.ExitEvidence = dataclasses.field(
        default_factory=exits.ExitEvidence
    )
    failures: int = 0
    quarantined_until_s: float = float("-inf")
    unlisted_until_s: float = float("-inf")
    silent_until_ms: int = 0
    silent_until_s: float = float("inf")
    silent_revision: int = 0
    cold_until_s: float = float("-inf")
    runs: dict[tuple[model.TaskKey, ids.Attempt], job_state.Run] = (
        dataclasses.field(default_factory=dict)
    )
    used: model.Resources = model.Resources()
    ends: list[tuple[int, ids.JobId, int]] = dataclasses.field(
        default_factory=list
    )
    processed: int = 0
    acknowledged: int = 0
    last_attempts: dict[model.TaskKey, ids.Attempt] = dataclasses.field(
        default_factory=dict
    )
    abandoned_starts: dict[tuple[model.TaskKey, ids.Attempt], float] = (
        dataclasses.field(default_factory=dict)
    )

    def is_unlisted(self) -> bool:
        """Returns whether an earlier scheduler's runs may be there unseen."""
        return not (self.listed or self.replaced)

    def is_draining(self) -> bool:
        """Returns whether it ends by plan, or has done so."""
        return self.exit_evidence.departed or (
            self.entry is not None
            and self.entry.state is target_api.TargetState.DRAINING
        )

    def is_exceeded(self) -> bool:
        """Returns whether its capacity has shrunk below what runs occupy."""
        return self.entry is not None and not self.used.fits_in(
            self.entry.capacity
        )

    def free(self) -> model.Resources:
        """Returns the resources that no run occupies."""
        if self.entry is None:
            return model.Resources()
        return self.entry.capacity.minus(self.used)


@dataclasses.dataclass(slots=True)
class Schedule:
    """State of the scheduler, apart from the configuration.

    Attributes:
        began_s: when the takeover began.
        features: the optional parts that are switched on.
        closed_domains: failure domains that are being evacuated.
        evacuations: what was observed of these evacuations.
        evidence: what runs have shown about targets.
        fencing_started_s: when the fencing stage began.
        fenced_s: when a target of an earlier scheduler was first listed; inf
            before.
        obeyed_by_all_s: no target had obeyed a later scheduler by then.
        isolation: jobs of which nothing is started because of an error.
        memory: what the jobs take in memory.
        parked: jobs that wait for memory, in the order of their acceptance,
            with the bytes that they take once they are unparked.
        units_from: where the next scheduling pass goes on among the jobs, if an
            organisation has more steps waiting than one pass looks at.
        dirty: something has changed that may allow a task to start.
        last_pass_s: when the last scheduling pass ran.
        has_unnamed_pools: a known target's pool is not configured.
        starts: bounds the starts that are in flight.
        run_count: number of the runs of all targets.
        stops_in_flight: how many stops are on their way to targets.
        planned_starts: starts of suspected tasks that are being stored; those
            of each item are sent together.
        unanswered_starts: runs whose start may not have been recorded, in the
            order in which they were sent.
        departures: when targets that are leaving will be gone at the earliest.
        waiting_units: how many steps it found waiting for room.
        unsaved: jobs whose progress has to be stored.
        saving: a commit of progress is in progress.
        save_at_s: no commit before this time.
        reservations: resources being freed, by job, occurrence and step.
        observed_until_s: until when a target on which a task started again
            after a crash gets no other work, by target.
        over_guarantee: urgent jobs above their organisation's guarantee.
        pool_views: cached view of each pool.
        headroom: accelerators kept free for urgent work in the last pass.
        contention: state of the rules for work that waits for capacity.
        roster: what the store holds about targets that may run something.
        unsettled_rosters: what it may hold instead, or may come to hold: writes
            on condition of `roster_revision` whose outcome is not known.
        roster_at_s: the roster is neither read nor written before this time.
        sweep_at_s: when ended jobs are next removed.
        early_cancels: jobs whose cancellation was read before the job itself.
        early_progress: progress read before its job, with its revision.
        run_times: what was learnt about run times.
        waits: the steps that wait, and for what.
    """

    epoch: ids.Epoch
    began_s: float
    features: features_lib.Features = features_lib.Features()
    closed_domains: frozenset[ids.FailureDomain] = frozenset()
    evacuations: evacuation_state.Evacuations = dataclasses.field(
        default_factory=evacuation_state.Evacuations
    )
    evidence: target_evidence.Evidence = target_evidence.new_field()
    stage: stages.Stage = stages.Stage.READING
    fencing_started_s: float = 0.0
    fenced_s: float = float("inf")
    obeyed_by_all_s: float = float("-inf")
    jobs: dict[ids.JobId, job_state.Job] = dataclasses.field(
        default_factory=dict
    )
    targets: dict[ids.TargetId, Target] = dataclasses.field(
        default_factory=dict
    )
    isolation: isolation_lib.Isolation = dataclasses.field(
        default_factory=isolation_lib.Isolation
    )
    memory: job_memory.Ledger = dataclasses.field(
        default_factory=lambda: job_memory.Ledger(job_memory.budget_bytes(0))
    )
    parked: dict[ids.JobId, int] = dataclasses.field(default_factory=dict)
    units_from: int = 0
    dirty: bool = True
    last_pass_s: float = float("-inf")
    has_unnamed_pools: bool = False
    starts: start_window.StartWindow = dataclasses.field(
        default_factory=start_window.StartWindow
    )
    run_count: int = 0
    stops_in_flight: int = 0
    planned_starts: list[list[job_state.Run]] = dataclasses.field(
        default_factory=list
    )
    unanswered_starts: collections.deque[job_state.Run] = dataclasses.field(
        default_factory=collections.deque
    )
    departures: dict[ids.TargetId, float] = dataclasses.field(
        default_factory=dict
    )
    waiting_units: int = 0
    unsaved: set[ids.JobId] = dataclasses.field(default_factory=set)
    saving: bool = False
    save_at_s: float = float("-inf")
    reservations: dict[
        tuple[ids.JobId, int, int], capacity_views.Reservation
    ] = dataclasses.field(default_factory=dict)
    observed_until_s: dict[ids.TargetId, float] = dataclasses.field(
        default_factory=dict
    )
    over_guarantee: frozenset[ids.JobId] = frozenset()
    pool_views: dict[ids.PoolName, capacity_views.PoolView] = dataclasses.field(
        default_factory=dict
    )
    headroom: dict[ids.PoolName, int] = dataclasses.field(default_factory=dict)
    contention: contention_lib.Contention = dataclasses.field(
        default_factory=contention_lib.Contention
    )
    roster: model.Roster = dataclasses.field(default_factory=model.Roster)
    unsettled_rosters: list[model.Roster] = dataclasses.field(
        default_factory=list
    )
    roster_revision: int = 0
    roster_read: bool = False
    roster_pending: bool = False
    roster_at_s: float = float("-inf")
    sweep_at_s: float = 0.0
    early_cancels: set[ids.JobId] = dataclasses.field(default_factory=set)
    early_progress: dict[ids.JobId, tuple[model.Progress, int]] = (
        dataclasses.field(default_factory=dict)
    )
    run_times: run_time_groups.RunTimes = dataclasses.field(
        default_factory=run_time_groups.RunTimes
    )
    waits: waits_lib.Waits = dataclasses.field(default_factory=waits_lib.Waits)

    def isolated_jobs(self) -> int:
        """Returns how many isolated jobs have not ended."""
        found = map(self.jobs.get, self.isolation.jobs)
        return sum(job is not None and not job.ended for job in found)

    def task_of(self, key: model.TaskKey) -> job_state.Task | None:
        """Returns a task, or None if its job is not known."""
        job = self.jobs.get(key.job_id)
        step = job and job.steps.get((key.occurrence, key.step))
        if not step or not 0 <= key.index < len(step.tasks):
            return None
        return step.tasks[key.index]
