"""Builders of a scheduler's state at a crest: a full pool and a long queue."""

import itertools

import msgspec

from dandelionpick import ids
from dandelionpick.batch import job_progress
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import runs
from dandelionpick.batch import schedule_state
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import target_api
from tests import batch_builders

POOL = ids.PoolName("pool")
CAPACITY = model.Resources(64_000, 262_144, 8)
TARGETS_PER_RACK = 12
URGENT_PRIORITY, BATCH_PRIORITY = 0, 2
# Shapes of the Authority's large deployment: tasks, resources of each, whether
# they form a gang in one rack.
URGENT_SHAPES = tuple(
    model.StepSpec(
        tasks,
        model.Resources(7_500, 39_000, accelerators),
        2_100,
        gang=True,
        one_rack=True,
    )
    for tasks, accelerators in ((3, 1), (5, 2), (5, 4), (8, 8))
)
BATCH_SHAPES = tuple(
    model.StepSpec(
        tasks,
        model.Resources(cpu_millis, memory_mb, accelerators),
        5_500,
        gang=accelerators > 1,
        one_rack=accelerators == 8,
    )
    for tasks, cpu_millis, memory_mb, accelerators in (
        (13, 26_000, 110_000, 2),
        (9, 26_000, 110_000, 8),
        (38, 5_600, 23_000, 1),
        (60, 5_600, 23_000, 1),
    )
)


# Shapes that fill a target's accelerators, and how many tasks that takes.
RUNNING_SHAPES = (
    (model.StepSpec(1, model.Resources(7_500, 30_000, 1), 5_500), 8),
    (model.StepSpec(1, model.Resources(15_000, 60_000, 2), 5_500), 4),
    (
        model.StepSpec(
            1, model.Resources(26_000, 110_000, 8), 5_500, gang=True
        ),
        1,
    ),
)
TARGETS_PER_JOB = 5


def scheduler_state(targets: int) -> state_lib.State:
    """Builds a scheduler that has listed all its targets, which are idle."""
    state = batch_builders.state("e0")
    state.election.role = state_lib.Role.LEADING
    state.election.acquired_s = float("inf")
    schedule = schedule_state.Schedule(ids.Epoch(1), 0.0)
    schedule.stage = stages.Stage.READY
    state.schedule = schedule
    for number in range(targets):
        _add_target(schedule, number)
    return state


def _add_target(schedule: schedule_state.Schedule, number: int) -> None:
    target_id = ids.TargetId(f"t{number:03}")
    entry = target_api.TargetEntry(
        target_id,
        f"10.0.0.1:{number}",
        POOL,
        ids.FailureDomain("a"),
        target_api.TargetState.READY,
        CAPACITY,
        frozenset(("kind",)),
        ids.Rack(f"r{number // TARGETS_PER_RACK}"),
    )
    target = schedule_state.Target(target_id, entry.address, entry)
    target.listed = True
    schedule.targets[target_id] = target
    schedule.roster.addresses[target_id] = entry.address


def add_job(
    schedule: schedule_state.Schedule, spec: model.StepSpec, priority: int
) -> job_state.Job:
    """Adds an accepted job with one step and returns it."""
    record = model.JobRecord(
        ids.QueueName(f"q{priority}"),
        ids.OrganisationId("ward"),
        model.QueueTerms(POOL, priority, max_attempts=3),
        model.JobSpec("", (spec,)),
        0,
    )
    job_id = ids.JobId(batch_builders.job_id(len(schedule.jobs) + 1))
    job = job_progress.build_job(job_id, record, 2, None)
    schedule.jobs[job.id] = job
    return job


def fill(schedule: schedule_state.Schedule) -> None:
    """Runs batch work on all targets until no accelerator is left."""
    targets = list(schedule.targets.values())
    shapes = itertools.cycle(RUNNING_SHAPES)
    for start in range(0, len(targets), TARGETS_PER_JOB):
        shape, tasks_per_target = next(shapes)
        members = targets[start : start + TARGETS_PER_JOB]
        spec = msgspec.structs.replace(
            shape, tasks=len(members) * tasks_per_target
        )
        job = add_job(schedule, spec, BATCH_PRIORITY)
        job.steps[0, 0].open = True
        for task in job.steps[0, 0].tasks:
            target = members[task.key.index // tasks_per_target]
            run = job_state.Run(
                task.key,
                ids.Attempt(1),
                target.id,
                spec.needs,
                job_state.RunState.RUNNING,
                0.0,
                confirmed_s=0.0,
            )
            runs.add(schedule, run, task)


def add_waiting(
    schedule: schedule_state.Schedule, urgent: int, batch: int
) -> None:
    """Adds jobs of the usual shapes that wait for room."""
    for number in range(urgent):
        shape = URGENT_SHAPES[number % len(URGENT_SHAPES)]
        add_job(schedule, shape, URGENT_PRIORITY)
    for number in range(batch):
        shape = BATCH_SHAPES[number % len(BATCH_SHAPES)]
        # Jobs of one kind differ in their number of tasks.
        spec = msgspec.structs.replace(shape, tasks=shape.tasks + number)
        add_job(schedule, spec, BATCH_PRIORITY)
