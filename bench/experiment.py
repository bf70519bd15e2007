"""Simulates workloads on the scheduler's reducer in virtual time.

Compares scheduling policies on the same job arrivals (see bench/policies.py).
The same seed gives the same output. Prints a table with the worth earned and,
as `net`, that worth minus the price of discarded work, and a table with the
errors of estimated and expected run times. Writes one JSON line per simulation
to build/experiment.jsonl.
"""

import concurrent.futures
import dataclasses
import itertools
import json
import pathlib
import random
import sys
from typing import Any

from cleo import application
from cleo.commands import command
from cleo.helpers import option

from bench import load_patterns
from bench import policies as policies_lib
from bench import run_time_history
from bench import run_time_lines
from dandelionpick.batch import messages
from dandelionpick.batch import model
from dandelionpick.batch import state as state_lib
from dandelionpick.platform import jobs
from dandelionpick.platform import keys
from standins import platform_targets
from tests import batch_builders as builders

OUTPUT = pathlib.Path("build/experiment.jsonl")
# Price of one core second of discarded work, in units of worth; set by the
# users.
WASTE_PRICE = 0.0013
# Jobs arrive for this long, the length of a day in the users' benchmark.
ARRIVALS_S = 34.0
# Simulated time after the last arrival. Jobs that take longer than this earn
# nothing or are stragglers.
COMPLETION_GRACE_S = 46.0
POLL_S = 0.1
# Share of the targets that a fault affects, and the slowdown of slow targets.
# Both are those of the faults that the users inject.
AFFECTED_SHARE = 1 / 8
SLOW_FACTOR = 6.5
# Time from a start on a failing target to its failure, as seen on the users'
# days: 0.1 to 0.3 s.
FAILS_AFTER_S = 0.2
# Demand changes within seconds, so the worst phases are searched for in windows
# of this length.
WINDOW_S = 5.0
# A caller submits a refused job up to this many times in all.
MAX_SUBMISSIONS = 4


@dataclasses.dataclass(slots=True)
class JobResult:
    """The result of a job.

    Attributes:
        completed_s: seconds from the start of the arrivals until the scheduler
            reported the job as completed; None if it never did.
    """

    arrival: load_patterns.Arrival
    completed_s: float | None = None

    def earned_worth(self) -> float:
        """Returns the worth earned, which depends on the job's objective."""
        if self.completed_s is None:
            return 0.0
        took_s = self.completed_s - self.arrival.submit_s
        if took_s <= self.arrival.objective_s:
            return self.arrival.worth
        if took_s <= 3 * self.arrival.objective_s:
            return self.arrival.late_worth
        return 0.0


class Simulation:
    """A simulation of one load pattern under a policy."""

    def __init__(
        self,
        site: load_patterns.Site,
        pattern: load_patterns.Pattern,
        policy: policies_lib.Policy,
        seed: int,
    ):
        self.site = site
        self.speeds = pattern.speeds or site.speeds
        self.fabric = run_time_lines.Fabric(seed)
        for instance in self.fabric.instances.values():
            instance.state.limits.stop_s = site.stop_s
            instance.state.features = policy.features
        if policy.has_history:
            history = run_time_history.encode(site, pattern, seed)
            self.fabric.store.put(state_lib.RUN_TIMES_KEY, history)
        self._configure()
        self.rng = random.Random(seed)
        self.job_results: dict[str, JobResult] = {}
        for number in range(site.targets):
            self._add_target(number)
        self.fabric.run_until(self.fabric.scheduler, 5.0)
        self.start_s = self.fabric.now_s
        numbers = itertools.count(1)
        for arrival in load_patterns.arrivals(site, pattern, seed, ARRIVALS_S):
            self._schedule_arrival(next(numbers), arrival)
        for at_s, fault in pattern.faults:
            self.fabric.call_later(
                at_s, lambda fault=fault: self._inject_fault(fault)
            )

    def _configure(self) -> None:
        routes = [
            builders.route(
                kind.priority,
                stretch_factor=kind.objective_factor,
                target_latency_ms=int(kind.objective_extra_s * 1_000),
            )
            for kind in self.site.kinds
        ]
        tenants = [
            builders.tenant(
                name, load_patterns.key_of(name), load_patterns.GUARANTEED
            )
            for name in load_patterns.organisation_names(self.site)
        ]
        value = builders.configuration_value(2, routes=routes, tenants=tenants)
        self.fabric.store.put(keys.CONFIGURATION_KEY, value)

    def _add_target(self, number: int) -> None:
        rack = f"r{number // load_patterns.TARGETS_PER_RACK}"
        target = self.fabric.add_target(
            f"t{number:02}", rack=rack, capacity=dict(self.site.capacity)
        )
        target.speed = self._speed_of(target)
        target.stop_s = self.site.stop_s

    def _speed_of(self, target: platform_targets.Target) -> float:
        return self.speeds[int(target.id[1:]) % len(self.speeds)]

    def _schedule_arrival(
        self, number: int, arrival: load_patterns.Arrival
    ) -> None:
        self.fabric.register(number, arrival.body)
        self.job_results[builders.job_id(number)] = JobResult(arrival)
        self.fabric.call_later(
            arrival.submit_s, lambda: self._submit(number, arrival, 1)
        )

    def _submit(
        self, number: int, arrival: load_patterns.Arrival, attempt: int
    ) -> None:
        spec = jobs.decode(arrival.body).unwrap()
        message = builders.submit(
            number,
            spec,
            arrival.kind.priority,
            credential=load_patterns.key_of(arrival.organisation),
        )
        name = self.rng.choice(sorted(self.fabric.instances))

        def done(reply: Any) -> None:
            if (
                isinstance(reply, messages.Refused)
                and attempt < MAX_SUBMISSIONS
            ):
                self.fabric.call_later(
                    max(reply.retry_after_s, POLL_S),
                    lambda: self._submit(number, arrival, attempt + 1),
                )

        self.fabric.exchange(name, message, done)

    def _inject_fault(self, fault: str) -> None:
        targets = list(self.fabric.world.targets.values())
        affected = random.Random(self.rng.random()).sample(
            targets, round(AFFECTED_SHARE * len(targets))
        )
        for target in targets:
            if fault == "heal":
                target.fails = target.hangs = False
                target.fails_after_s = 0.0
                target.speed = self._speed_of(target)
        for target in affected:
            if fault == "slow":
                target.speed /= SLOW_FACTOR
            elif fault == "crash":
                self.fabric.crash_target(target.id, back_s=4.5)
            elif fault == "fail":
                target.fails = True
            elif fault == "fail-starts":
                target.fails = True
                target.fails_after_s = FAILS_AFTER_S
            elif fault == "hang":
                target.hangs = True

    def run(self) -> list[JobResult]:
        """Runs the simulation and returns the results of all jobs.

        Raises:
            RuntimeError: the oracle recorded a violation.
        """
        for _ in range(int((ARRIVALS_S + COMPLETION_GRACE_S) / POLL_S)):
            self.fabric.run_for(POLL_S)
            self._record_completed()
        if self.fabric.world.broken:
            raise RuntimeError("; ".join(self.fabric.world.broken[:3]))
        return list(self.job_results.values())

    def _record_completed(self) -> None:
        scheduler = self.fabric.scheduler()
        if scheduler is None:
            return
        for job_id, job in scheduler.state.schedule.jobs.items():
            result = self.job_results[job_id]
            completed = job.shown is model.JobState.COMPLETED
            if result.completed_s is None and completed:
                result.completed_s = self.fabric.now_s - self.start_s


def earned_share(job_results: list[JobResult]) -> float:
    """Returns the worth earned as a share of the worth of all jobs."""
    total_worth = sum(result.arrival.worth for result in job_results)
    return (
        sum(result.earned_worth() for result in job_results) / total_worth
        if total_worth
        else 1.0
    )


def measure(task: tuple[str, str, str, int]) -> dict[str, Any]:
    """Simulates one site, pattern, policy and seed; returns the metrics."""
    site_name, pattern_name, policy, seed = task
    site = load_patterns.SITES[site_name]
    policies_lib.POLICIES[policy].apply()
    pattern = next(
        pattern
        for pattern in load_patterns.PATTERNS
        if pattern.name == pattern_name
    )
    simulation = Simulation(site, pattern, policies_lib.POLICIES[policy], seed)
    job_results = simulation.run()
    windows: dict[int, list[JobResult]] = {}
    for result in job_results:
        number = int(result.arrival.submit_s / WINDOW_S)
        windows.setdefault(number, []).append(result)
    worst = sorted(earned_share(window) for window in windows.values())[:2]
    runs = simulation.fabric.world.starts
    total_worth = sum(result.arrival.worth for result in job_results)
    wasted = simulation.fabric.world.wasted_core_s
    return {
        "site": site_name,
        "pattern": pattern_name,
        "policy": policy,
        "seed": seed,
        "worth": round(earned_share(job_results), 4),
        "net": round(
            earned_share(job_results) - WASTE_PRICE * wasted / total_worth, 4
        ),
        "worst_windows": round(sum(worst) / len(worst), 4),
        "small_orgs": round(
            earned_share([r for r in job_results if _is_small(site, r)]), 4
        ),
        "restarts": sum(runs.values()) - len(runs),
        "false": round(
            earned_share(
                [
                    result
                    for result in job_results
                    if result.arrival.organisation == load_patterns.LIARS
                ]
            ),
            4,
        ),
        "run_times": [line.fields for line in simulation.fabric.run_time_lines],
        **{
            kind.name: round(
                earned_share(
                    [r for r in job_results if r.arrival.kind is kind]
                ),
                4,
            )
            for kind in site.kinds
        },
    }


def _is_small(site: load_patterns.Site, result: JobResult) -> bool:
    """Returns whether a job's organisation is one of the smallest."""
    smallest = min(site.organisations)
    return result.arrival.organisation in (
        load_patterns.organisation_name(number)
        for number, demand in enumerate(site.organisations)
        if demand == smallest
    )


class Experiment(command.Command):
    """Compares scheduling policies on workloads that are hard to serve."""

    name = "experiment"
    description = "Simulates workloads on the scheduler in virtual time."
    options = [
        option("sites", flag=False, description="Comma-separated sites."),
        option("patterns", "p", "Comma-separated load patterns.", flag=False),
        option(
            "policies", "o", "Comma-separated scheduling policies.", flag=False
        ),
        option("seeds", "s", "Number of seeds.", flag=False, default="4"),
        option("jobs", "j", "Processes.", flag=False, default="3"),
    ]

    def handle(self) -> int:
        """Runs the simulations and prints the table."""
        sites = _selected(self.option("sites"), list(load_patterns.SITES))
        names = [pattern.name for pattern in load_patterns.PATTERNS]
        patterns = _selected(self.option("patterns"), names)
        policies = _selected(
            self.option("policies"), list(policies_lib.POLICIES)
        )
        tasks = list(
            itertools.product(
                sites,
                patterns,
                policies,
                range(1, int(self.option("seeds")) + 1),
            )
        )
        # A policy changes module attributes, so each simulation needs a
        # process of its own.
        with concurrent.futures.ProcessPoolExecutor(
            int(self.option("jobs")), max_tasks_per_child=1
        ) as pool:
            results = list(pool.map(measure, tasks))
        OUTPUT.parent.mkdir(exist_ok=True)
        OUTPUT.write_text("".join(json.dumps(row) + "\n" for row in results))
        self._print(results, sites, patterns, policies)
        for text in run_time_lines.format_tables(results):
            self.line(text)
        return 0

    def _print(
        self,
        results: list[dict[str, Any]],
        sites: list[str],
        patterns: list[str],
        policies: list[str],
    ) -> None:
        measures = [
            "worth",
            "net",
            "worst_windows",
            "small_orgs",
            *(kind.name for kind in load_patterns.SMALL.kinds),
            *("restarts", "false"),
        ]
        table = self.table()
        table.set_headers(["site", "pattern", "policy", *measures])
        for site, pattern, policy in itertools.product(
            sites, [*patterns, "all"], policies
        ):
            rows = [
                row
                for row in results
                if (row["site"], row["policy"]) == (site, policy)
                and pattern in (row["pattern"], "all")
            ]
            means = [
                f"{sum(row[name] for row in rows) / len(rows):.3f}"
                for name in measures
            ]
            table.add_row([site, pattern, policy, *means])
        table.render()


def _selected(text: str | None, names: list[str]) -> list[str]:
    if not text:
        return names
    chosen = text.split(",")
    if unknown := sorted(set(chosen) - set(names)):
        raise SystemExit(
            f"unknown: {', '.join(unknown)}; choose from {', '.join(names)}"
        )
    return chosen


def main() -> int:
    """Runs the command line."""
    app = application.Application("experiment")
    app.add(Experiment())
    return app.run()


if __name__ == "__main__":
    sys.exit(main())
