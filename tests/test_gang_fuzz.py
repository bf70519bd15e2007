"""Stateful fuzz test of jobs under every kind of fault.

Without FUZZ_SEED, Hypothesis derives the examples from the source of the class
`Jobs`, comments excepted.
"""

import json
import unittest

import hypothesis.stateful as stateful
from hypothesis import strategies

from dandelionpick import caller_messages
from dandelionpick import ids
from dandelionpick import kinds
from standins import store as store_lib
from tests import builders
from tests import fabric
from tests import fuzzing
from tests import gang_oracle

ENTRIES = ("a1", "a2", "b1")
WORKERS = ("aw1", "aw2", "aw3", "bw1", "bw2")
PLACES = ("a", "b", fabric.PLATFORM)
CUTS = [(x, y) for i, x in enumerate(PLACES) for y in PLACES[i + 1 :]]
# Allows for leases of 60 s and then a change of scheduler.
SETTLE_S = 80.0
# Time for all jobs to end, in addition to their run times: they may have to
# run one after the other.
END_S = 200.0
# Added for each job.
OVERHEAD_S = 15.0
# Limit from the submission of a job to its start on a claimed shape.
CLAIM_S = 20.0
TREE = {
    **builders.TREE,
    "branches": {
        "ward": {},
        "station": {},
        "guarded": {
            "guarantees": {
                "wide": {"failure_domain": "a", "tasks": 4, "accelerators": 4}
            }
        },
    },
}

entries = strategies.sampled_from(ENTRIES)
workers = strategies.sampled_from(WORKERS)


@fuzzing.seeded
class Jobs(stateful.RuleBasedStateMachine):
    """Two failure domains, five workers, three instances."""

    def __init__(self):
        super().__init__()
        built = fabric.Fabric(seed=7)
        self.built = built
        text = builders.document(tree=TREE)
        built.store.entries["config/tree"] = store_lib.Entry(1, text)
        built.store.versions = 1
        models = {n: built.add_worker(n, n[0], f"{n[0]}r") for n in WORKERS}
        self.oracle = gang_oracle.Oracle(models)
        for name in ENTRIES:
            built.add_instance(name, name[0])
        self.exchanges: list[str] = []
        self.attempts: dict[str, int] = {}
        self.jobs: list[caller_messages.SubmitJob] = []
        built.run_for(6.0)

    def send(self, name, message):
        if self.built.instances[name].state is not None:
            self.exchanges.append(self.built.send(name, message))

    def hear(self):
        for exchange_id in list(self.exchanges):
            status = self.built.response(exchange_id)
            if status is not None:
                self.exchanges.remove(exchange_id)
                self.oracle.answered(status)

    def pass_time(self, seconds):
        end_s = self.built.now_s + seconds
        while self.built.now_s < end_s:
            self.built.run_for(min(2.0, end_s - self.built.now_s))
            self.oracle.check(self.built.now_s)
            self.hear()
            self.oracle.check(self.built.now_s)

    def new_job(self, job_class, organisation, tasks, accelerators, run_s):
        number = len(self.jobs) + 1
        job = builders.job(
            builders.uuid7(number, self.built.moment().unix_ms),
            job_class,
            organisation=ids.OrganisationId(organisation),
            tasks=tasks,
            accelerators=accelerators,
            payload=json.dumps({"run_s": run_s}),
        )
        self.jobs.append(job)
        self.attempts[job.key] = 1
        self.oracle.submitted(job, idempotent=job_class != "stretch")
        return job

    @stateful.rule(
        name=entries,
        job_class=strategies.sampled_from(("assessment", "scan", "stretch")),
        organisation=strategies.sampled_from(("ward", "station")),
        shape=strategies.sampled_from(((1, 1), (2, 4), (3, 4), (2, 8), (6, 4))),
        run_s=strategies.sampled_from((0.5, 4.0, 70.0)),
    )
    def submit(self, name, job_class, organisation, shape, run_s):
        job = self.new_job(job_class, organisation, *shape, run_s)
        self.send(name, job)

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(name=entries, data=strategies.data())
    def submit_again(self, name, data):
        job = data.draw(strategies.sampled_from(self.jobs))
        self.attempts[job.key] += 1
        fields = {f: getattr(job, f) for f in job.__struct_fields__}
        fields["attempt"] = self.attempts[job.key]
        # A job may run if it is submitted again after a refusal. The refusal
        # was right for the earlier submission, but the oracle can't tell the
        # submissions of a key apart.
        answers = self.oracle.jobs[job.key].answers
        if kinds.Outcome.NOT_RUN not in answers and not self.exchanges:
            self.send(name, caller_messages.SubmitJob(**fields))

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(
        name=entries, data=strategies.data(), rarely=strategies.integers(0, 3)
    )
    def cancel(self, name, data, rarely):
        if rarely:
            return
        job = data.draw(strategies.sampled_from(self.jobs))
        message = caller_messages.CancelJob(
            organisation=job.organisation, key=job.key
        )
        self.send(name, message)

    @stateful.rule(name=entries)
    def crash_or_restart(self, name):
        if self.built.instances[name].state is None:
            self.built.start_instance(name)
        else:
            self.built.crash(name)

    @stateful.rule(name=entries)
    def pause_or_resume(self, name):
        if self.built.instances[name].paused:
            self.built.resume(name)
        elif self.built.instances[name].state is not None:
            self.built.pause(name)

    @stateful.rule(pair=strategies.sampled_from(CUTS))
    def cut_or_join(self, pair):
        if frozenset(pair) in self.built.cuts:
            self.built.cuts.discard(frozenset(pair))
        else:
            self.built.cut(*pair)

    @stateful.rule(name=workers)
    def cut_or_join_worker(self, name):
        self.built.silent ^= {name}

    @stateful.rule(name=workers)
    def crash_or_restart_worker(self, name):
        model = self.oracle.models[name]
        if self.built.targets.pop(name, None) is None:
            self.built.targets[name] = model
        model.restart(self.built.new_incarnation(), self.built.now_s)

    @stateful.rule(name=workers)
    def break_or_mend_worker(self, name):
        model = self.oracle.models[name]
        model.fails = not model.fails

    @stateful.rule(fault=strategies.sampled_from(fabric.StoreFault))
    def disturb_store(self, fault):
        self.built.store_fault = fault

    @stateful.rule(
        drop=strategies.sampled_from((0.0, 0.2)),
        duplicate=strategies.sampled_from((0.0, 0.3)),
        delay_s=strategies.sampled_from((0.005, 3.0)),
    )
    def disturb_network(self, drop, duplicate, delay_s):
        self.built.network = fabric.Network(0.001, delay_s, drop, duplicate)

    @stateful.rule(seconds=strategies.sampled_from((3.0, 6.0, 20.0)))
    def wait(self, seconds):
        self.pass_time(seconds)

    @stateful.rule(seconds=strategies.sampled_from((1.0, 2.0, 4.0)))
    def wait_shortly(self, seconds):
        self.pass_time(seconds)

    @stateful.invariant()
    def promises_hold(self):
        """Lets the messages of a few steps of the protocol pass."""
        self.pass_time(0.004)

    def teardown(self):
        self.heal()
        self.pass_time(SETTLE_S)
        self.claim_guarantee()
        self.await_ends()

    def heal(self):
        built = self.built
        built.heal()
        built.network = fabric.Network()
        for name, instance in built.instances.items():
            if instance.paused:
                built.resume(name)
            if instance.state is None:
                built.start_instance(name)
        for name, model in self.oracle.models.items():
            model.fails = False
            built.targets[name] = model

    def claim_guarantee(self):
        """Fills all workers with borrowers, then claims the shape."""
        for _ in range(6):
            job = self.new_job("assessment", "ward", 1, 8, 20.0)
            self.send("b1", job)
        self.pass_time(4.0)
        job = self.new_job("assessment", "guarded", 4, 4, 1.0)
        self.send("a1", job)
        end_s = self.built.now_s + CLAIM_S
        while not self.oracle.jobs[job.key].ran and self.built.now_s < end_s:
            self.pass_time(0.5)
        assert self.oracle.jobs[job.key].ran, "the guarantee was not served"

    def await_ends(self):
        """Waits until no job is pending on any instance that answers."""
        end_s = self.built.now_s + END_S
        for job in self.jobs:
            end_s += json.loads(job.payload)["run_s"] + OVERHEAD_S
        waiting = list(self.jobs)
        while waiting:
            message = caller_messages.FetchJob(
                organisation=waiting[0].organisation, key=waiting[0].key
            )
            status = self.built.ask("a2", message)
            self.oracle.answered(status, final=True)
            if status.outcome is kinds.Outcome.PENDING:
                assert self.built.now_s < end_s, f"does not end: {status}"
                self.pass_time(2.0)
            else:
                waiting.pop(0)
        self.oracle.check(self.built.now_s)


GangFuzz = Jobs.TestCase
GangFuzz.settings = fuzzing.profile("gangs", examples=50, steps=25)


if __name__ == "__main__":
    unittest.main()
