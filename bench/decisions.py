"""Measures how the cost of the scheduler's decisions grows with its state.

Builds the scheduler's state in memory, without a network, at several sizes up
to the intended maximum. Times a scheduling pass on a full pool, a pass that
places one job, the processing of one target's listing, and a pass at a crest
with urgent gangs among the waiting steps. Prints a table and writes
build/decisions.json.
"""

import json
import pathlib
import statistics
import sys
import time

from dandelionpick import dispatch
from dandelionpick import events
from dandelionpick import ids
from dandelionpick.batch import job_progress
from dandelionpick.batch import job_state
from dandelionpick.batch import model
from dandelionpick.batch import polling
from dandelionpick.batch import runs
from dandelionpick.batch import schedule_state
from dandelionpick.batch import scheduling
from dandelionpick.batch import stages
from dandelionpick.batch import state as state_lib
from dandelionpick.batch import target_api
from tests import crest_builders

OUTPUT = pathlib.Path("build/decisions.json")
# Numbers of targets, running tasks and queued jobs. TARGET_SIZE, the size that
# the scheduler is designed for, is measured last.
SIZES = (
    (24, 150, 20),
    (90, 500, 40),
    (270, 1_500, 120),
    (1_000, 5_400, 400),
)
TARGET_SIZE = (3_700, 20_000, 1_000)
ROUNDS = 7
TARGETS_PER_RACK = 8
ACCELERATORS_PER_TASK = (1, 2, 4, 8)
POOL = ids.PoolName("pool")
CAPACITY = model.Resources(64_000, 131_072, 8)


def build_state(targets: int, running: int, queued: int) -> state_lib.State:
    """Builds the state of a scheduler whose targets have no free capacity."""
    state = state_lib.State(
        identity=state_lib.Identity(
            ids.InstanceId("e"),
            ids.FailureDomain("a"),
            ids.Region("r"),
            "store:1",
            "e:1",
        ),
        incarnation=ids.Incarnation("i"),
        formats=None,
        limits=state_lib.Limits(),
    )
    state.election.role = state_lib.Role.LEADING
    state.election.acquired_s = float("inf")
    schedule = schedule_state.Schedule(ids.Epoch(1), 0.0)
    schedule.stage = stages.Stage.READY
    state.schedule = schedule
    for number in range(targets):
        add_target(schedule, number)
    for number in range(running):
        add_running(schedule, number, number % targets)
    for target in schedule.targets.values():
        target.used = CAPACITY
    for number in range(queued):
        spec = model.StepSpec(
            tasks=4,
            needs=model.Resources(
                1_000,
                100,
                ACCELERATORS_PER_TASK[number % len(ACCELERATORS_PER_TASK)],
            ),
            estimate_ms=1_000,
            gang=number % 2 == 0,
            one_rack=number % 2 == 0,
        )
        add_job(schedule, running + number, spec)
    return state


def add_target(schedule: schedule_state.Schedule, number: int) -> None:
    """Adds a target in state READY that the scheduler has already read."""
    target_id = ids.TargetId(f"t{number}")
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
    schedule: schedule_state.Schedule, number: int, spec: model.StepSpec
) -> job_state.Job:
    """Adds an accepted job with one step and returns it."""
    record = model.JobRecord(
        ids.QueueName("q"),
        ids.OrganisationId("o"),
        model.QueueTerms(POOL, priority=1, max_attempts=3),
        model.JobSpec("", (spec,)),
        0,
    )
    job = job_progress.build_job(ids.JobId(f"{number:016x}"), record, 2, None)
    schedule.jobs[job.id] = job
    return job


def add_running(
    schedule: schedule_state.Schedule, number: int, target: int
) -> None:
    """Adds a job with one task that runs on a target."""
    job = add_job(schedule, number, model.StepSpec(tasks=1))
    task = job.steps[0, 0].tasks[0]
    run = job_state.Run(
        task.key,
        ids.Attempt(1),
        ids.TargetId(f"t{target}"),
        model.Resources(),
        job_state.RunState.RUNNING,
        0.0,
        confirmed_s=0.0,
    )
    runs.add(schedule, run, task)


def median_time_ms(operation) -> float:
    """Returns the median run time of an operation in milliseconds."""
    times = []
    for _ in range(ROUNDS):
        started_s = time.perf_counter()
        operation()
        times.append((time.perf_counter() - started_s) * 1_000)
    return statistics.median(times)


def measure_crest(targets: int, queued: int) -> float:
    """Times the first pass at a crest: a tenth of what waits is urgent."""
    state = crest_builders.scheduler_state(targets)
    schedule = state.schedule
    assert schedule is not None
    crest_builders.fill(schedule)
    urgent = max(1, queued // 10)
    crest_builders.add_waiting(schedule, urgent, queued - urgent)
    step = dispatch.Step(events.Moment(1.0, 1_000, 0.5))
    started_s = time.perf_counter()
    scheduling.tick(state, step)
    return (time.perf_counter() - started_s) * 1_000


def measure(targets: int, running: int, queued: int) -> dict[str, float]:
    """Times the scheduler's decisions at one state size."""
    state = build_state(targets, running, queued)
    schedule = state.schedule
    clock = {"now_s": 1.0}

    def step() -> dispatch.Step:
        clock["now_s"] += 1.0
        return dispatch.Step(events.Moment(clock["now_s"], 10_000, 0.5))

    def full_pass() -> None:
        schedule.dirty = True
        scheduling.tick(state, step())

    def list_target() -> None:
        target = schedule.targets[ids.TargetId("t0")]
        listed = target_api.RunsListed(
            1,
            0,
            tuple(
                target_api.Running(run.task, run.attempt, "", 50.0)
                for run in target.runs.values()
            ),
            (),
        )
        context = polling.ListContext(
            schedule.epoch,
            target.id,
            target.poll_serial,
            clock["now_s"],
            polling.WAIT_S,
        )
        polling._apply_listing(state, step(), target, context, listed)

    crest_ms = measure_crest(targets, queued)
    full_ms = median_time_ms(full_pass)
    listing_ms = median_time_ms(list_target)
    # Frees one rack, so that the next pass places the jobs that fit into it.
    for number in range(min(TARGETS_PER_RACK, targets)):
        schedule.targets[ids.TargetId(f"t{number}")].used = model.Resources()
    started_s = time.perf_counter()
    full_pass()
    placing_ms = (time.perf_counter() - started_s) * 1_000
    return {
        "targets": targets,
        "running": running,
        "queued": queued,
        "full_pass_ms": round(full_ms, 3),
        "placing_pass_ms": round(placing_ms, 3),
        "listing_ms": round(listing_ms, 3),
        "crest_pass_ms": round(crest_ms, 3),
    }


def main() -> None:
    """Measures every size and prints the results."""
    rows = [measure(*size) for size in (*SIZES, TARGET_SIZE)]
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(rows, indent=1))
    for row in rows:
        sys.stdout.write(
            " ".join(f"{name} {value}" for name, value in row.items()) + "\n"
        )


if __name__ == "__main__":
    main()
