"""Replays loads through the scheduler's reducer in virtual time.

Compares policies on the same arrivals: the product's, and others that replace
one of its rules. The same seed gives the same output. Prints a table of the
worth earned and, as `net`, of the worth less the price of work that was thrown
away, and writes a JSON line for each play to build/experiment.jsonl.
"""

import concurrent.futures
import dataclasses
import itertools
import json
import pathlib
import random
import sys
from collections.abc import Callable
from typing import Any

from cleo import application
from cleo.commands import command
from cleo.helpers import option

from bench import load_patterns
from dandelionpick.batch import locality
from dandelionpick.batch import messages
from dandelionpick.batch import model
from dandelionpick.batch import scheduling
from dandelionpick.platform import jobs
from dandelionpick.platform import keys
from standins import platform_targets
from tests import batch_builders as builders
from tests import batch_fabric

OUTPUT = pathlib.Path("build/experiment.jsonl")
# What a core second of work that is thrown away costs, in worth: the users'
# price.
WASTE_PRICE = 0.0013
# A day of the users' bench lasts as long.
ARRIVALS_S = 34.0
# Jobs that take longer than this earn nothing, or were stragglers.
REST_S = 46.0
POLL_S = 0.1
# How many targets a fault strikes, an eighth of them, and how much slower slow
# ones are; as in the users' disturbances.
STRUCK_TARGETS = 3
SLOW_FACTOR = 6.5
# Demand swings within seconds; the worst windows are this long.
WINDOW_S = 5.0
# How often a caller sends a job that is refused.
TRIES = 4


@dataclasses.dataclass(slots=True)
class Entry:
    """What became of a job; done_s is None if it was never shown as done."""

    arrival: load_patterns.Arrival
    done_s: float | None = None

    def earned(self) -> float:
        """Returns the worth that the job earned."""
        if self.done_s is None:
            return 0.0
        took_s = self.done_s - self.arrival.at_s
        if took_s <= self.arrival.objective_s:
            return self.arrival.worth
        if took_s <= 3 * self.arrival.objective_s:
            return self.arrival.late_worth
        return 0.0


def _product() -> None:
    """Changes nothing."""


def _far_early() -> None:
    """Lets work run in the wrong rack after its estimated run time."""
    locality.BUSY_WAIT_FACTOR = locality.IDLE_WAIT_FACTOR


def _first_come() -> None:
    """Starts steps in the order in which their jobs were accepted."""
    urgency = scheduling.urgency

    def by_acceptance(job: Any, step_run: Any, rank: float) -> Any:
        due_s = urgency(job, step_run, rank)[-1]
        return (float(job.accepted_revision), due_s, due_s)

    scheduling.urgency = by_acceptance


def _first_fit() -> None:
    """Takes targets by name instead of by what is left over there."""
    fill = scheduling.placement._pack

    def first_fit(demand: Any, rooms: Any) -> Any:
        ordered = sorted(rooms, key=lambda room: room.target)
        numbered = [
            dataclasses.replace(room, penalty=float(number))
            for number, room in enumerate(ordered)
        ]
        return fill(demand, numbered)

    scheduling.placement._pack = first_fit


def _no_headroom() -> None:
    """Keeps no room for urgent work."""
    scheduling.headroom.GANG_HEADROOM_FACTOR = 0.0


POLICIES: dict[str, Callable[[], None]] = {
    "product": _product,
    "no-headroom": _no_headroom,
    "far-early": _far_early,
    "first-come": _first_come,
    "first-fit": _first_fit,
}


class Play:
    """One pattern under one policy."""

    def __init__(
        self,
        site: load_patterns.Site,
        pattern: load_patterns.Pattern,
        seed: int,
    ):
        self.site = site
        self.fabric = batch_fabric.Fabric(seed=seed, target_count=0)
        for instance in self.fabric.instances.values():
            instance.state.limits.stop_s = site.stop_s
        self._configure()
        self.draws = random.Random(seed)
        self.entries: dict[str, Entry] = {}
        for number in range(load_patterns.TARGETS):
            self._add_target(number)
        self.fabric.run_until(self.fabric.scheduler, 5.0)
        self.began_s = self.fabric.now_s
        numbers = itertools.count(1)
        for arrival in load_patterns.arrivals(site, pattern, seed, ARRIVALS_S):
            self._plan(next(numbers), arrival)
        for at_s, fault in pattern.faults:
            self.fabric.call_later(
                at_s, lambda fault=fault: self._strike(fault)
            )

    def _configure(self) -> None:
        routes = [
            builders.route(
                kind.priority,
                stretch_factor=kind.factor,
                target_latency_ms=int(kind.extra_s * 1_000),
            )
            for kind in self.site.kinds
        ]
        value = builders.configuration_value(2, routes=routes)
        self.fabric.store.put(keys.CONFIGURATION_KEY, value)

    def _add_target(self, number: int) -> None:
        rack = f"r{number // load_patterns.TARGETS_PER_RACK}"
        target = self.fabric.add_target(
            f"t{number:02}", rack=rack, capacity=dict(self.site.capacity)
        )
        target.speed = self._speed_of(target)
        target.stop_s = self.site.stop_s

    def _speed_of(self, target: platform_targets.Target) -> float:
        speeds = self.site.speeds
        return speeds[int(target.id[1:]) % len(speeds)]

    def _plan(self, number: int, arrival: load_patterns.Arrival) -> None:
        self.fabric.register(number, arrival.body)
        self.entries[builders.job_id(number)] = Entry(arrival)
        self.fabric.call_later(
            arrival.at_s, lambda: self._submit(number, arrival, 1)
        )

    def _submit(
        self, number: int, arrival: load_patterns.Arrival, attempt: int
    ) -> None:
        spec = jobs.decode(arrival.body).unwrap()
        message = builders.submit(number, spec, arrival.kind.priority)
        name = self.draws.choice(sorted(self.fabric.instances))

        def done(reply: Any) -> None:
            if isinstance(reply, messages.Refused) and attempt < TRIES:
                self.fabric.call_later(
                    max(reply.retry_after_s, POLL_S),
                    lambda: self._submit(number, arrival, attempt + 1),
                )

        self.fabric.exchange(name, message, done)

    def _strike(self, fault: str) -> None:
        targets = list(self.fabric.world.targets.values())
        struck = random.Random(self.draws.random()).sample(
            targets, STRUCK_TARGETS
        )
        for target in targets:
            if fault == "heal":
                target.fails = target.hangs = False
                target.speed = self._speed_of(target)
        for target in struck:
            if fault == "slow":
                target.speed /= SLOW_FACTOR
            elif fault == "crash":
                self.fabric.crash_target(target.id, back_s=4.5)
            elif fault == "fail":
                target.fails = True
            elif fault == "hang":
                target.hangs = True

    def run(self) -> list[Entry]:
        """Plays the pattern and returns what became of the jobs."""
        for _ in range(int((ARRIVALS_S + REST_S) / POLL_S)):
            self.fabric.run_for(POLL_S)
            self._note_completed()
        if self.fabric.world.broken:
            raise RuntimeError("; ".join(self.fabric.world.broken[:3]))
        return list(self.entries.values())

    def _note_completed(self) -> None:
        scheduler = self.fabric.scheduler()
        if scheduler is None:
            return
        for job_id, job in scheduler.state.schedule.jobs.items():
            entry = self.entries[job_id]
            completed = job.shown is model.JobState.COMPLETED
            if entry.done_s is None and completed:
                entry.done_s = self.fabric.now_s - self.began_s


def share(entries: list[Entry]) -> float:
    """Returns the earned share of the worth."""
    owed = sum(entry.arrival.worth for entry in entries)
    return sum(entry.earned() for entry in entries) / owed if owed else 1.0


def measure(task: tuple[str, str, str, int]) -> dict[str, Any]:
    """Plays one pattern, policy and seed; returns the measures."""
    site_name, pattern_name, policy, seed = task
    site = load_patterns.SITES[site_name]
    POLICIES[policy]()
    pattern = next(
        pattern
        for pattern in load_patterns.PATTERNS
        if pattern.name == pattern_name
    )
    play = Play(site, pattern, seed)
    entries = play.run()
    windows: dict[int, list[Entry]] = {}
    for entry in entries:
        number = int(entry.arrival.at_s / WINDOW_S)
        windows.setdefault(number, []).append(entry)
    worst = sorted(share(window) for window in windows.values())[:2]
    runs = play.fabric.world.starts
    owed = sum(entry.arrival.worth for entry in entries)
    wasted = play.fabric.world.wasted_core_s
    return {
        "site": site_name,
        "pattern": pattern_name,
        "policy": policy,
        "seed": seed,
        "worth": round(share(entries), 4),
        "net": round(share(entries) - WASTE_PRICE * wasted / owed, 4),
        "worst_windows": round(sum(worst) / len(worst), 4),
        "restarts": sum(runs.values()) - len(runs),
        **{
            kind.name: round(
                share([e for e in entries if e.arrival.kind is kind]), 4
            )
            for kind in site.kinds
        },
    }


class Experiment(command.Command):
    """Compares policies on loads that are hard to serve."""

    name = "experiment"
    description = "Replays loads through the scheduler in virtual time."
    options = [
        option("patterns", "p", "Comma-separated patterns.", flag=False),
        option("policies", "o", "Comma-separated policies.", flag=False),
        option("seeds", "s", "Number of seeds.", flag=False, default="4"),
        option("jobs", "j", "Processes.", flag=False, default="3"),
    ]

    def handle(self) -> int:
        """Runs the plays and prints the table."""
        names = [pattern.name for pattern in load_patterns.PATTERNS]
        patterns = _chosen(self.option("patterns"), names)
        policies = _chosen(self.option("policies"), list(POLICIES))
        tasks = list(
            itertools.product(
                load_patterns.SITES,
                patterns,
                policies,
                range(1, int(self.option("seeds")) + 1),
            )
        )
        # A policy changes module attributes, so each play has its own process.
        with concurrent.futures.ProcessPoolExecutor(
            int(self.option("jobs")), max_tasks_per_child=1
        ) as pool:
            results = list(pool.map(measure, tasks))
        OUTPUT.parent.mkdir(exist_ok=True)
        OUTPUT.write_text("".join(json.dumps(row) + "\n" for row in results))
        self._print(results, patterns, policies)
        return 0

    def _print(
        self,
        results: list[dict[str, Any]],
        patterns: list[str],
        policies: list[str],
    ) -> None:
        measures = [
            "worth",
            "net",
            "worst_windows",
            *(kind.name for kind in load_patterns.SMALL.kinds),
            "restarts",
        ]
        table = self.table()
        table.set_headers(["site", "pattern", "policy", *measures])
        for site, pattern, policy in itertools.product(
            load_patterns.SITES, [*patterns, "all"], policies
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


def _chosen(text: str | None, names: list[str]) -> list[str]:
    if not text:
        return names
    chosen = text.split(",")
    unknown = sorted(set(chosen) - set(names))
    if unknown:
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
