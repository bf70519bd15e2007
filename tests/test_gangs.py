"""Tests of jobs from submission to completion, with faults in between."""

import unittest
from unittest import mock

from dandelionpick import caller_messages
from dandelionpick import effects
from dandelionpick import errors
from dandelionpick import events
from dandelionpick import kinds
from dandelionpick import reducer
from dandelionpick import schedule
from dandelionpick import worker_messages
from dandelionpick import worker_views
from standins import store
from tests import builders
from tests import fabric
from tests import gang_oracle

END_S = 60.0


def gang_fabric(
    seed: int = 1,
    workers: int = 3,
    domains: str = "a",
    tree: dict | None = None,
    instances: int = 2,
) -> fabric.Fabric:
    """Builds failure domains with instances and workers of 8 accelerators."""
    built = fabric.Fabric(seed)
    text = builders.document(tree=tree)
    built.store.entries["config/tree"] = store.Entry(1, text)
    built.store.versions = 1
    for domain in domains:
        for number in range(1, workers + 1):
            rack = f"{domain}-rack-{(number + 1) // 2}"
            built.add_worker(f"{domain}-worker-{number}", domain, rack)
        for number in range(1, instances + 1):
            built.add_instance(f"{domain}-entry-{number}", domain)
    built.run_for(8.0)
    return built


def job_key(number: int):
    """Returns the key of a job submitted at the start of a fabric."""
    return builders.uuid7(number, fabric.START_UNIX_MS)


def fetch_job(
    built: fabric.Fabric, name: str, number: int, organisation: str = "ward"
):
    """Fetches a job through an instance."""
    message = caller_messages.FetchJob(
        organisation=organisation, key=job_key(number)
    )
    return built.ask(name, message)


def await_end(built: fabric.Fabric, number: int, organisation: str = "ward"):
    """Fetches a job until it has ended; returns its last status."""
    end_s = built.now_s + END_S
    while True:
        name = next(n for n, i in built.instances.items() if i.state)
        status = fetch_job(built, name, number, organisation)
        if status and status.outcome is not kinds.Outcome.PENDING:
            return status
        if built.now_s > end_s:
            return status
        built.run_for(0.5)


def submit_jobs(built: fabric.Fabric, numbers: range, run_s: float, **fields):
    """Submits jobs of one task on a whole worker each."""
    for number in numbers:
        job = builders.job(
            job_key(number),
            **{"tasks": 1, "accelerators": 8, **fields},
            payload=f'{{"run_s": {run_s}}}',
        )
        built.send("a-entry-1", job)


def running_workers(built: fabric.Fabric, number: int) -> list[str]:
    """Returns the workers on which a job has a running part."""
    return [
        name
        for name, model in sorted(built.targets.items())
        for part in model.occupying()
        if part.hold.labels.key == job_key(number)
        and part.state is kinds.PartState.RUNNING
    ]


class JobTest(unittest.TestCase):
    """A job is accepted, runs as a gang and ends with its results."""

    def test_runs_a_gang_and_returns_one_result_for_each_worker(self):
        built = gang_fabric()
        job = builders.job(job_key(1), tasks=3, payload='{"run_s": 2}')
        status = built.ask("a-entry-1", job)
        self.assertEqual(status.outcome, kinds.Outcome.PENDING)
        ended = await_end(built, 1)
        self.assertEqual(ended.outcome, kinds.Outcome.COMPLETED)
        self.assertEqual(ended.results, ["done 2", "done 2"])

    def test_runs_a_non_idempotent_job_once(self):
        built = gang_fabric()
        built.ask("a-entry-1", builders.job(job_key(1), "stretch", tasks=3))
        ended = await_end(built, 1)
        self.assertEqual(ended.state, kinds.JobState.FINISHED)
        self.assertEqual(ended.run, 1)

    def test_one_key_through_two_failure_domains_is_one_job(self):
        """Guards against a job that runs in both failure domains."""
        built = gang_fabric(domains="ab")
        job = builders.job(job_key(1), "stretch")
        again = builders.job(job_key(1), "stretch", attempt=2)
        exchanges = [
            built.send("a-entry-1", job),
            built.send("b-entry-1", again),
        ]
        built.run_for(10.0)
        homes = {built.response(e).failure_domain for e in exchanges}
        self.assertEqual(len(homes), 1)
        gangs = {
            change.gang_id
            for model in built.targets.values()
            for change in model.transitions
        }
        self.assertEqual(len(gangs), 1)

    def test_refuses_a_key_with_another_specification(self):
        built = gang_fabric()
        built.ask("a-entry-1", builders.job(job_key(1)))
        status = built.ask("a-entry-2", builders.job(job_key(1), tasks=1))
        self.assertEqual(status.problem.kind, errors.ProblemKind.KEY_REUSED)

    def test_refuses_what_no_failure_domain_can_hold(self):
        """Guards against accepting a job that can never be placed."""
        built = gang_fabric(domains="ab")
        status = built.ask("a-entry-1", builders.job(job_key(1), tasks=7))
        problem = status.problem
        self.assertEqual(problem.kind, errors.ProblemKind.SHAPE_TOO_LARGE)
        self.assertIn("6 tasks with 4 accelerators", problem.remedy)

    def test_refuses_bad_input_with_a_typed_problem(self):
        built = gang_fabric()
        cases = (
            ({"tasks": 0}, "malformed"),
            ({"accelerators": 0}, "malformed"),
            ({"memory_gb": -1}, "malformed"),
            ({"payload": "x" * 20_000}, "body_too_large"),
            ({"organisation": "nobody"}, "unknown_organisation"),
            ({"job_class": "none"}, "unknown_class"),
            ({"key": "none"}, "key_invalid"),
            (
                {"key": builders.uuid7(1, fabric.START_UNIX_MS * 2)},
                "key_invalid",
            ),
            ({"key": builders.uuid7(1, 1_000)}, "key_expired"),
        )
        for fields, kind in cases:
            with self.subTest(kind=kind, fields=str(fields)[:40]):
                job = builders.job(**{"key": job_key(1), **fields})
                status = built.ask("a-entry-1", job)
                self.assertEqual(status.problem.kind.value, kind)

    def test_refuses_truthfully_without_the_store(self):
        """Guards against `not_run` for a key that another attempt may own.

        While the store fails, an instance can't know whether an earlier
        attempt claimed the key.
        """
        for fault in (fabric.StoreFault.REFUSES, fabric.StoreFault.SILENT):
            built = gang_fabric()
            built.store_fault = fault
            outcomes = [
                built.ask(
                    "a-entry-1", builders.job(job_key(attempt), attempt=attempt)
                ).outcome
                for attempt in (1, 2)
            ]
            self.assertEqual(outcomes[1], kinds.Outcome.UNKNOWN)
            if fault is fabric.StoreFault.REFUSES:
                self.assertEqual(outcomes[0], kinds.Outcome.NOT_RUN)

    def test_a_claim_without_an_entry_is_not_pending(self):
        """Guards against a job that looks queued but was never accepted.

        The claim of the key is in the store, but the job's record is not.
        """
        built = gang_fabric()
        job = builders.job(job_key(1))
        built.ask("a-entry-1", job)
        await_end(built, 1)
        del built.store.entries["jobs/a"]
        for name, document in list(built.store.entries.items()):
            value = document.value.replace('"completed"', '"pending"')
            built.store.entries[name] = store.Entry(document.version, value)
        for name in list(built.instances):
            built.crash(name)
            built.start_instance(name)
        built.run_for(5.0)
        status = fetch_job(built, "a-entry-2", 1)
        self.assertEqual(status.problem.kind, errors.ProblemKind.UNKNOWN_KEY)

    def test_cancels_a_running_gang_whole_through_any_instance(self):
        built = gang_fabric(domains="ab")
        submit_jobs(built, range(1, 2), 50.0, tasks=3, accelerators=8)
        built.run_for(5.0)
        self.assertEqual(len(running_workers(built, 1)), 3)
        message = caller_messages.CancelJob(organisation="ward", key=job_key(1))
        built.ask("b-entry-1", message)
        status = await_end(built, 1)
        self.assertEqual(status.state, kinds.JobState.CANCELLED)
        self.assertEqual(running_workers(built, 1), [])

    def test_a_cancelled_queued_non_idempotent_job_was_not_run(self):
        built = gang_fabric(workers=1)
        submit_jobs(built, range(1, 2), 50.0)
        built.run_for(5.0)
        submit_jobs(built, range(2, 3), 1.0, job_class="stretch")
        built.run_for(2.0)
        message = caller_messages.CancelJob(organisation="ward", key=job_key(2))
        status = built.ask("a-entry-2", message)
        self.assertEqual(status.outcome, kinds.Outcome.NOT_RUN)


class SchedulerTest(unittest.TestCase):
    """Gangs under faults of the scheduler, the workers and the store."""

    def test_two_active_schedulers_violate_no_invariant(self):
        """Guards against code that relies on a unique preferred instance.

        Two instances that both consider themselves preferred schedule the same
        jobs.
        """
        built = gang_fabric()
        oracle = gang_oracle.Oracle(dict(built.targets))
        with mock.patch.object(
            schedule.membership,
            "preferred_instance",
            lambda state, now_s: state.identity.instance,
        ):
            for number in range(1, 7):
                job_class = ("stretch", "assessment", "scan")[number % 3]
                job = builders.job(
                    job_key(number), job_class, tasks=3, payload='{"run_s": 5}'
                )
                oracle.submitted(job, job_class != "stretch")
                built.send("a-entry-1", job)
            for _ in range(400):
                built.run_for(0.5)
                oracle.check(built.now_s)
        states = {fetch_job(built, "a-entry-1", n).state for n in range(1, 7)}
        self.assertEqual(states, {kinds.JobState.FINISHED})

    def test_renews_nothing_after_a_stall_before_listing(self):
        """Guards against leases that are renewed on the basis of stale state.

        After the shorter stall the lease is still valid, but another instance
        may have stopped the gang.
        """
        for stall_s in (90.0, 30.0):
            with self.subTest(stall_s=stall_s):
                built = gang_fabric(instances=1)
                submit_jobs(built, range(1, 2), 300.0, tasks=3, accelerators=8)
                built.run_for(20.0)
                state = built.instances["a-entry-1"].state
                moment = events.Moment(built.now_s + stall_s, 0, 0.5)
                reducer.reduce(state, events.Stalled(moment, stall_s))
                emitted = reducer.reduce(state, events.Tick(moment))
                messages = [
                    effect.message
                    for effect in emitted
                    if isinstance(effect, effects.Call)
                    and isinstance(effect.message, worker_messages.RenewLeases)
                ]
                self.assertEqual([m.gang_ids for m in messages], [[], [], []])

    def test_quarantines_a_worker_that_fails_everything(self):
        """Guards against a broken worker that attracts all jobs.

        Its parts fail at once, so it is always free.
        """
        built = gang_fabric()
        built.targets["a-worker-1"].fails = True
        submit_jobs(built, range(1, 13), 2.0)
        built.run_for(40.0)
        states = {fetch_job(built, "a-entry-1", n).state for n in range(1, 13)}
        self.assertEqual(states, {kinds.JobState.FINISHED})
        failed = built.targets["a-worker-1"].transitions
        count = sum(c.state is kinds.PartState.FAILED for c in failed)
        self.assertLessEqual(count, worker_views.QUARANTINE_FAILED_JOBS + 1)

    def test_probes_a_quarantined_worker_with_idempotent_work_only(self):
        built = gang_fabric(workers=1)
        built.targets["a-worker-1"].fails = True
        submit_jobs(built, range(1, 4), 2.0)
        built.run_for(10.0)
        built.targets["a-worker-1"].fails = False
        submit_jobs(built, range(11, 12), 1.0, job_class="stretch")
        built.run_for(120.0)
        order = [
            change.labels.job_class
            for change in built.targets["a-worker-1"].transitions
            if change.state is kinds.PartState.FINISHED
        ]
        self.assertEqual(order[0], "assessment")
        self.assertIn("stretch", order)

    def test_a_cut_off_domain_keeps_gangs_and_starts_idempotent_jobs(self):
        """Guards P10: accepted jobs run without access to the store."""
        built = gang_fabric(workers=2)
        submit_jobs(built, range(1, 3), 30.0)
        built.run_for(5.0)
        submit_jobs(built, range(3, 4), 100.0)
        submit_jobs(built, range(4, 5), 1.0, job_class="stretch")
        built.run_for(2.0)
        built.cut("a", fabric.PLATFORM)
        built.run_for(90.0)
        self.assertEqual(len(running_workers(built, 3)), 1)
        states = part_states(built, 4)
        self.assertNotIn(kinds.PartState.STARTING, states)
        built.heal()
        self.assertEqual(await_end(built, 3).state, kinds.JobState.FINISHED)
        self.assertEqual(await_end(built, 4).state, kinds.JobState.FINISHED)


def part_states(built: fabric.Fabric, number: int) -> list:
    """Returns every state that a job's parts have entered."""
    return [
        change.state
        for model in built.targets.values()
        for change in model.transitions
        if change.labels.key == job_key(number)
    ]


if __name__ == "__main__":
    unittest.main()
