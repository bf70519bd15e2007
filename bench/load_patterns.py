"""Generates workloads for times of peak demand and faults, from a seed.

The kinds of jobs have the sizes, rates and objectives that the users' data
sheets give.
"""

import dataclasses
import json
import math
import random
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

# Relative amplitude and period of the demand, from the data sheets.
DEMAND_AMPLITUDE = 0.55
DEMAND_PERIOD_S = 15.0
# Share of jobs that are stragglers, and the factor on their run time.
STRAGGLER_SHARE = 0.03
STRAGGLER_FACTOR = 7.0
# The organisation whose callers say that their work takes a tenth of the time,
# so that it is taken for more urgent.
LIARS = "liars"
GUARANTEED = 8
FALSE_FACTOR = 0.1
BURST_S = (10.0, 16.0)
# Peaks of batch work that the exams deployment sees.
PEAK_S = 6.0
PEAK_FACTOR = 2.2
TARGETS = 24
TARGETS_PER_RACK = 8


@dataclasses.dataclass(frozen=True, slots=True)
class JobKind:
    """A kind of job.

    Attributes:
        mean_rate_per_s: mean number of arrivals per second.
        mean_tasks: mean number of tasks of a step; the standard deviation is
            0.8 times the mean.
        max_tasks: largest number of tasks of a step.
        work_s: mean run time of a task.
        work_spread: standard deviation of the run time relative to its mean.
        accelerators: numbers of accelerators per task, of which each job draws
            one.
        estimate_error: largest relative error of the estimated run time.
        objective_factor: the objective is the run time of the longest chain of
            steps times this factor, plus objective_extra_s.
        objective_extra_s: constant part of the objective.
        worth: worth of a job of average size that meets its objective.
        late_worth: worth of such a job that takes up to three times the
            objective.
        one_rack_share: share of the gangs that are slower across racks.
        checkpoint_share: share of the jobs that write checkpoints.
        second_step_share: share of the jobs with a second step.
    """

    name: str
    priority: int
    mean_rate_per_s: float
    mean_tasks: float
    max_tasks: int
    work_s: float
    work_spread: float
    cpu_millis: int
    memory_mb: int
    accelerators: tuple[int, ...]
    estimate_error: float
    objective_factor: float
    objective_extra_s: float
    worth: float
    late_worth: float
    gang: bool = False
    one_rack_share: float = 0.0
    checkpoint_share: float = 0.0
    second_step_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A deployment that the workloads are simulated on.

    Attributes:
        stop_s: time that a target takes to stop a task.
        speeds: relative speeds, assigned to the targets in turn.
        capacity: capacity of each target.
        targets: number of targets.
        organisations: relative demand of each organisation.
    """

    name: str
    stop_s: float
    speeds: tuple[float, ...]
    capacity: dict[str, int]
    kinds: tuple[JobKind, ...]
    targets: int = TARGETS
    organisations: tuple[float, ...] = (1.0,)


GANG_SHAPES = (1, 2, 4, 8, 8)
SMALL = Site(
    "small-targets",
    0.4,
    (0.8, 1.0, 1.25),
    {"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
    (
        JobKind(
            "quick-check", 0, 0.67, 3.4, 21, 2.1, 0.5, 7_500, 11_000,
            GANG_SHAPES, 0.2, 1.5, 0.4, 4.0, 0.8, gang=True, one_rack_share=0.8,
        ),
        JobKind(
            "full-scan", 1, 0.22, 5.0, 30, 9.4, 0.3, 26_000, 68_000,
            GANG_SHAPES, 0.5, 3.0, 1.2, 3.0, 1.5, gang=True, one_rack_share=0.6,
            checkpoint_share=0.45,
        ),
        JobKind(
            "batch", 2, 0.21, 16.0, 94, 8.1, 0.3, 5_600, 11_000,
            (1,), 0.9, 3.0, 3.0, 1.0, 0.5, checkpoint_share=0.45,
            second_step_share=0.3,
        ),
    ),
)  # fmt: skip
LARGE = Site(
    "large-targets",
    0.9,
    (1.0, 1.0, 0.77),
    {"cpu": 128_000, "mem_mb": 524_288, "gpu": 8},
    (
        JobKind(
            "quick-check", 0, 1.05, 3.0, 18, 2.1, 0.5, 15_000, 61_000,
            GANG_SHAPES, 0.5, 1.5, 0.4, 4.0, 0.8, gang=True, one_rack_share=0.8,
        ),
        JobKind(
            "full-scan", 1, 0.3, 4.0, 24, 9.4, 0.3, 52_000, 270_000,
            GANG_SHAPES, 0.9, 3.0, 1.2, 3.0, 0.3, gang=True, one_rack_share=0.6,
            checkpoint_share=0.45,
        ),
        JobKind(
            "batch", 2, 0.3, 12.0, 72, 8.1, 0.3, 11_000, 46_000,
            (1,), 0.9, 3.0, 3.0, 1.0, 0.1, checkpoint_share=0.45,
            second_step_share=0.3,
        ),
    ),
)  # fmt: skip
# The exams deployment at 48 of its 176 targets, where accelerators are 70 %
# used on average. The widest gangs need as large a part of the pool as there.
EXAMS = Site(
    "exams",
    0.4,
    (1.0,),
    {"cpu": 32_000, "mem_mb": 131_072, "gpu": 8},
    (
        JobKind(
            "quick-check", 0, 0.824, 5.0, 30, 2.5, 0.5, 3_700, 11_000,
            GANG_SHAPES, 0.9, 1.5, 0.4, 4.0, 0.8, gang=True, one_rack_share=0.6,
        ),
        JobKind(
            "full-scan", 1, 0.194, 13.0, 21, 11.0, 0.3, 13_000, 38_000,
            GANG_SHAPES, 0.9, 3.0, 1.2, 3.0, 0.9, gang=True, one_rack_share=0.6,
            checkpoint_share=0.45,
        ),
        JobKind(
            "batch", 2, 0.297, 39.0, 234, 6.1, 0.3, 2_800, 8_200,
            (1,), 0.2, 3.0, 3.0, 1.0, 0.3, checkpoint_share=0.45,
            second_step_share=0.3,
        ),
    ),
    targets=48,
    organisations=(8.0, 5.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0),
)  # fmt: skip
SITES = {site.name: site for site in (SMALL, LARGE, EXAMS)}


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job that a caller submits.

    Attributes:
        submit_s: time of the submission, in seconds from the start.
        objective_s: intended time from submission to completion.
        worth: worth if the job meets the objective.
        late_worth: worth if it takes up to three times as long.
        organisation: the organisation that submits it.
        work_s: run time of each task.
    """

    submit_s: float
    kind: JobKind
    body: bytes
    objective_s: float
    worth: float
    late_worth: float
    organisation: str
    work_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A workload and the faults of the targets during it.

    Attributes:
        rate: returns the factor on a kind's mean rate at a time.
        faults: times in seconds and the faults injected then; "heal" ends them.
        speeds: relative speeds in place of the site's, assigned in turn.
        estimate_error: replaces that of the kinds of jobs.
        false_share: share of the jobs whose estimates are false.
        burst_organisation: the organisation that sends all batch jobs between
            BURST_S; None if all organisations do.
    """

    name: str
    rate: Callable[[JobKind, float], float]
    faults: tuple[tuple[float, str], ...] = ()
    speeds: tuple[float, ...] = ()
    estimate_error: float | None = None
    false_share: float = 0.0
    burst_organisation: int | None = None


def _sine_rate(kind: JobKind, at_s: float) -> float:
    return 1.0 + DEMAND_AMPLITUDE * math.sin(
        2 * math.pi * at_s / DEMAND_PERIOD_S
    )


def _burst_rate(name: str, factor: float) -> Callable[[JobKind, float], float]:
    def rate(kind: JobKind, at_s: float) -> float:
        inside = kind.name == name and BURST_S[0] <= at_s < BURST_S[1]
        return _sine_rate(kind, at_s) * (factor if inside else 1.0)

    return rate


def _repeated_peaks(kind: JobKind, at_s: float) -> float:
    inside = kind.name == "batch" and at_s % DEMAND_PERIOD_S < PEAK_S
    return _sine_rate(kind, at_s) * (PEAK_FACTOR if inside else 1.0)


PATTERNS = (
    Pattern("wave", _sine_rate),
    Pattern("batch-peaks", _repeated_peaks),
    Pattern("one-sender", _burst_rate("batch", 2.6), burst_organisation=0),
    Pattern("urgent-burst", _burst_rate("quick-check", 2.4)),
    Pattern("scan-burst", _burst_rate("full-scan", 2.6)),
    Pattern("batch-burst", _burst_rate("batch", 2.6)),
    Pattern("slow-targets", _sine_rate, ((8.0, "slow"), (15.0, "heal"))),
    Pattern("lost-targets", _sine_rate, ((8.0, "crash"),)),
    Pattern("failing-targets", _sine_rate, ((8.0, "fail"), (15.0, "heal"))),
    # Two more disturbances of the audio guide's days: targets that fail every
    # start shortly after it, and a quarter of the targets at another speed.
    Pattern(
        "failing-starts", _sine_rate, ((8.0, "fail-starts"), (24.0, "heal"))
    ),
    Pattern("slow-quarter", _sine_rate, speeds=(0.55, 1.2, 1.2, 1.2)),
    Pattern("hanging-targets", _sine_rate, ((8.0, "hang"), (14.0, "heal"))),
    Pattern("half-off", _sine_rate, estimate_error=0.5),
    Pattern("nine-tenths-off", _sine_rate, estimate_error=0.9),
    Pattern("false-estimates", _sine_rate, false_share=0.3),
)


def arrivals(
    site: Site, pattern: Pattern, seed: int, duration_s: float
) -> Iterator[Arrival]:
    """Yields the jobs of a pattern in the order of their submission."""
    rng = random.Random(f"{site.name}-{pattern.name}-{seed}")
    # Drawn apart, so that the workloads of sites with one organisation stay as
    # they were.
    organisations = random.Random(f"{site.name}-organisations-{seed}")
    jobs = []
    for kind in site.kinds:
        at_s = 0.0
        peak_rate_per_s = kind.mean_rate_per_s * (1 + DEMAND_AMPLITUDE) * 2.6
        while (at_s := at_s + rng.expovariate(peak_rate_per_s)) < duration_s:
            if (
                rng.random()
                < kind.mean_rate_per_s
                * pattern.rate(kind, at_s)
                / peak_rate_per_s
            ):
                arrival = _build_arrival(site, pattern, kind, at_s, rng)
                sender = _draw_organisation(
                    site, pattern, arrival, organisations
                )
                jobs.append(dataclasses.replace(arrival, organisation=sender))
    yield from sorted(jobs, key=lambda job: job.submit_s)


def organisation_name(number: int) -> str:
    """Returns the name of one of a site's organisations."""
    return f"o{number}"


def organisation_names(site: Site) -> list[str]:
    """Returns the names of the organisations that submit jobs."""
    numbers = range(len(site.organisations))
    return [*map(organisation_name, numbers), LIARS]


def key_of(name: str) -> str:
    """Returns the API key of an organisation."""
    return f"key-{name}"


def _draw_organisation(
    site: Site, pattern: Pattern, arrival: Arrival, rng: random.Random
) -> str:
    (drawn,) = rng.choices(range(len(site.organisations)), site.organisations)
    if arrival.organisation == LIARS:
        return LIARS
    if (
        pattern.burst_organisation is not None
        and arrival.kind.name == "batch"
        and BURST_S[0] <= arrival.submit_s < BURST_S[1]
    ):
        drawn = pattern.burst_organisation
    return organisation_name(drawn)


def _build_arrival(
    site: Site,
    pattern: Pattern,
    kind: JobKind,
    at_s: float,
    rng: random.Random,
) -> Arrival:
    accelerators = rng.choice(kind.accelerators)
    count = round(_log_normal(kind.mean_tasks, 0.8 * kind.mean_tasks, rng))
    count = min(max(1, count), kind.max_tasks)
    one_rack = kind.gang and rng.random() < kind.one_rack_share
    if one_rack:
        # Callers ask for a single rack only if the gang fits into one.
        count = min(count, _max_tasks_per_rack(site, kind, accelerators))
    work_s = _log_normal(kind.work_s, kind.work_spread * kind.work_s, rng)
    if rng.random() < STRAGGLER_SHARE:
        work_s *= STRAGGLER_FACTOR
    largest_error = kind.estimate_error
    if pattern.estimate_error is not None:
        largest_error = pattern.estimate_error
    estimate_s = work_s * (1 + rng.uniform(-largest_error, largest_error))
    organisation = ""
    if pattern.false_share and rng.random() < pattern.false_share:
        organisation = LIARS
        estimate_s = FALSE_FACTOR * work_s
    phase: dict[str, Any] = {
        "count": count,
        "cpu": kind.cpu_millis,
        "mem_mb": kind.memory_mb,
        "gpu": accelerators,
        "estimate_ms": int(1_000 * estimate_s),
        "gang": kind.gang,
        "same_rack": one_rack,
        "checkpointing": rng.random() < kind.checkpoint_share,
    }
    phases = [phase]
    if rng.random() < kind.second_step_share:
        phases.append({**phase, "after": [0]})
    objective_s = (
        kind.objective_factor * work_s * len(phases) + kind.objective_extra_s
    )
    size = count * work_s * len(phases) / (kind.mean_tasks * kind.work_s)
    weight = min(4.0, 0.3 + 0.7 * size)
    payload = json.dumps({"work_s": work_s})
    return Arrival(
        at_s,
        kind,
        json.dumps({"spec": payload, "phases": phases}).encode(),
        objective_s,
        weight * kind.worth,
        weight * kind.late_worth,
        organisation,
        work_s,
    )


def _max_tasks_per_rack(site: Site, kind: JobKind, accelerators: int) -> int:
    per_target = min(
        site.capacity["cpu"] // kind.cpu_millis,
        site.capacity["mem_mb"] // kind.memory_mb,
        site.capacity["gpu"] // accelerators,
    )
    return TARGETS_PER_RACK * per_target


def _log_normal(mean: float, deviation: float, rng: random.Random) -> float:
    sigma = math.sqrt(math.log(1 + (deviation / mean) ** 2))
    return rng.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
