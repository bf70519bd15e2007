"""Loads of jobs as they come at the worst of times, from a seed.

The kinds of jobs have the sizes, rates and objectives of the users' sheets.
"""

import dataclasses
import json
import math
import random
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

# Swing and period of the demand, as on the sheets.
SWING = 0.55
PERIOD_S = 15.0
# Share of stragglers, and how many times as long they run.
STRAGGLERS = 0.03
STRAGGLER_FACTOR = 7.0
TARGETS = 24
TARGETS_PER_RACK = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of job.

    Attributes:
        per_s: jobs a second, on average.
        width: mean number of tasks; its spread is 0.8 of that.
        widest: most tasks.
        work_s: mean run time of a task.
        spread: standard deviation of the run time, as a share.
        accelerators: a job's tasks each need one of these numbers.
        estimate_error: estimates are off by up to this share.
        factor: the objective is this many times the longest chain,
        extra_s: and this much more.
        worth: of a job of average size that meets its objective.
        late_worth: up to three times the objective.
        one_rack: share of the gangs that are slow across racks.
        checkpoints: share of the jobs that checkpoint.
    """

    name: str
    priority: int
    per_s: float
    width: float
    widest: int
    work_s: float
    spread: float
    cpu_millis: int
    memory_mb: int
    accelerators: tuple[int, ...]
    estimate_error: float
    factor: float
    extra_s: float
    worth: float
    late_worth: float
    gang: bool = False
    one_rack: float = 0.0
    checkpoints: float = 0.0
    second_step: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A deployment in which the loads are played.

    Attributes:
        stop_s: how long a stop takes.
        speeds: of the targets, in turn.
        capacity: of each target.
    """

    name: str
    stop_s: float
    speeds: tuple[float, ...]
    capacity: dict[str, int]
    kinds: tuple[Kind, ...]


GANG_SHAPES = (1, 2, 4, 8, 8)
SMALL = Site(
    "small-targets",
    0.4,
    (0.8, 1.0, 1.25),
    {"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
    (
        Kind(
            "quick-check", 0, 0.67, 3.4, 21, 2.1, 0.5, 7_500, 11_000,
            GANG_SHAPES, 0.2, 1.5, 0.4, 4.0, 0.8, gang=True, one_rack=0.8,
        ),
        Kind(
            "full-scan", 1, 0.22, 5.0, 30, 9.4, 0.3, 26_000, 68_000,
            GANG_SHAPES, 0.5, 3.0, 1.2, 3.0, 1.5, gang=True, one_rack=0.6,
            checkpoints=0.45,
        ),
        Kind(
            "batch", 2, 0.21, 16.0, 94, 8.1, 0.3, 5_600, 11_000,
            (1,), 0.9, 3.0, 3.0, 1.0, 0.5, checkpoints=0.45, second_step=0.3,
        ),
    ),
)  # fmt: skip
LARGE = Site(
    "large-targets",
    0.9,
    (1.0, 1.0, 0.77),
    {"cpu": 128_000, "mem_mb": 524_288, "gpu": 8},
    (
        Kind(
            "quick-check", 0, 1.05, 3.0, 18, 2.1, 0.5, 15_000, 61_000,
            GANG_SHAPES, 0.5, 1.5, 0.4, 4.0, 0.8, gang=True, one_rack=0.8,
        ),
        Kind(
            "full-scan", 1, 0.3, 4.0, 24, 9.4, 0.3, 52_000, 270_000,
            GANG_SHAPES, 0.9, 3.0, 1.2, 3.0, 0.3, gang=True, one_rack=0.6,
            checkpoints=0.45,
        ),
        Kind(
            "batch", 2, 0.3, 12.0, 72, 8.1, 0.3, 11_000, 46_000,
            (1,), 0.9, 3.0, 3.0, 1.0, 0.1, checkpoints=0.45, second_step=0.3,
        ),
    ),
)  # fmt: skip
SITES = {site.name: site for site in (SMALL, LARGE)}


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A job that a caller submits.

    Attributes:
        at_s: seconds from the start.
        objective_s: aimed time from submission to completion.
        worth: if it meets the objective.
        late_worth: if it takes up to three times as long.
    """

    at_s: float
    kind: Kind
    body: bytes
    objective_s: float
    worth: float
    late_worth: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load, and what happens to the targets meanwhile.

    Attributes:
        rate: multiplies a kind's rate at a time.
        faults: seconds, and what to do to the targets then.
    """

    name: str
    rate: Callable[[Kind, float], float]
    faults: tuple[tuple[float, str], ...] = ()


def _wave(kind: Kind, at_s: float) -> float:
    return 1.0 + SWING * math.sin(2 * math.pi * at_s / PERIOD_S)


def _burst(name: str, factor: float) -> Callable[[Kind, float], float]:
    def rate(kind: Kind, at_s: float) -> float:
        inside = kind.name == name and 10.0 <= at_s < 16.0
        return _wave(kind, at_s) * (factor if inside else 1.0)

    return rate


PATTERNS = (
    Pattern("wave", _wave),
    Pattern("urgent-burst", _burst("quick-check", 2.4)),
    Pattern("scan-burst", _burst("full-scan", 2.6)),
    Pattern("batch-burst", _burst("batch", 2.6)),
    Pattern("slow-targets", _wave, ((8.0, "slow"), (15.0, "heal"))),
    Pattern("lost-targets", _wave, ((8.0, "crash"),)),
    Pattern("failing-targets", _wave, ((8.0, "fail"), (15.0, "heal"))),
    Pattern("hanging-targets", _wave, ((8.0, "hang"), (14.0, "heal"))),
)


def arrivals(
    site: Site, pattern: Pattern, seed: int, seconds: float
) -> Iterator[Arrival]:
    """Yields the jobs of a pattern in their order."""
    draws = random.Random(f"{site.name}-{pattern.name}-{seed}")
    jobs = []
    for kind in site.kinds:
        at_s = 0.0
        most = kind.per_s * (1 + SWING) * 2.6
        while (at_s := at_s + draws.expovariate(most)) < seconds:
            if draws.random() < kind.per_s * pattern.rate(kind, at_s) / most:
                jobs.append(_job(site, kind, at_s, draws))
    yield from sorted(jobs, key=lambda job: job.at_s)


def _job(site: Site, kind: Kind, at_s: float, draws: random.Random) -> Arrival:
    accelerators = draws.choice(kind.accelerators)
    count = round(_log_normal(kind.width, 0.8 * kind.width, draws))
    count = min(max(1, count), kind.widest)
    one_rack = kind.gang and draws.random() < kind.one_rack
    if one_rack:
        # Callers ask for one rack only for what a rack can hold.
        count = min(count, _most_in_a_rack(site, kind, accelerators))
    work_s = _log_normal(kind.work_s, kind.spread * kind.work_s, draws)
    if draws.random() < STRAGGLERS:
        work_s *= STRAGGLER_FACTOR
    error = draws.uniform(-kind.estimate_error, kind.estimate_error)
    phase: dict[str, Any] = {
        "count": count,
        "cpu": kind.cpu_millis,
        "mem_mb": kind.memory_mb,
        "gpu": accelerators,
        "estimate_ms": int(1_000 * work_s * (1 + error)),
        "gang": kind.gang,
        "same_rack": one_rack,
        "checkpointing": draws.random() < kind.checkpoints,
    }
    phases = [phase]
    if draws.random() < kind.second_step:
        phases.append({**phase, "after": [0]})
    objective_s = kind.factor * work_s * len(phases) + kind.extra_s
    size = count * work_s * len(phases) / (kind.width * kind.work_s)
    weight = min(4.0, 0.3 + 0.7 * size)
    payload = json.dumps({"work_s": work_s})
    return Arrival(
        at_s,
        kind,
        json.dumps({"spec": payload, "phases": phases}).encode(),
        objective_s,
        weight * kind.worth,
        weight * kind.late_worth,
    )


def _most_in_a_rack(site: Site, kind: Kind, accelerators: int) -> int:
    on_a_target = min(
        site.capacity["cpu"] // kind.cpu_millis,
        site.capacity["mem_mb"] // kind.memory_mb,
        site.capacity["gpu"] // accelerators,
    )
    return TARGETS_PER_RACK * on_a_target


def _log_normal(mean: float, deviation: float, draws: random.Random) -> float:
    sigma = math.sqrt(math.log(1 + (deviation / mean) ** 2))
    return draws.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
