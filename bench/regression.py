"""Plays the users' deployments in turn and prints one table of their scores.

Resumable: a deployment that was played on the same commit is not played again.
The results are kept in build/regression.json; the bench writes its journal
entries by itself.
"""

import pathlib
import re
import subprocess
import sys

import msgspec
from cleo import application
from cleo.commands import command
from cleo.helpers import option

OUTPUT = pathlib.Path("build/regression.json")
DEFAULT_KIT = "../given/kit/more/system"
BENCH = "more/bench-d17393/bin/fleetbench"
# Quick scores of a deployment with a hundred instances take ten minutes.
SITES = (
    "further/manantial-rota.toml",
    "further-grown/manantial-rota-grown.toml",
    "grown/sapporo-shine-grown.toml",
    "grown/kowhai-stretch-grown.toml",
    "large/sapporo-shine-large.toml",
)
_SCORE = re.compile(r"^score on the standard days of .*: ([\d.]+)$", re.M)
_DAY = re.compile(r"^(\S+) +\d+/\d+ +[\d.]+ +(-?[\d.]+) ", re.M)


class SiteResult(msgspec.Struct):
    """Result of one deployment.

    Attributes:
        commit: the commit that was played.
        score: the bench's score; None if the play did not finish.
        worth: worth by day.
        gate: the bench's line on the gate.
    """

    site: str
    commit: str
    score: float | None
    worth: dict[str, float]
    gate: str


def parse(site: str, commit: str, text: str) -> SiteResult:
    """Reads a result from the bench's output."""
    score = _SCORE.search(text)
    gate = [line for line in text.splitlines() if line.startswith("GATE")]
    return SiteResult(
        site,
        commit,
        float(score[1]) if score else None,
        {name: float(worth) for name, worth in _DAY.findall(text)},
        gate[-1] if gate else "the play did not finish",
    )


def load_results() -> list[SiteResult]:
    """Returns the results that are kept."""
    if not OUTPUT.exists():
        return []
    return msgspec.json.decode(OUTPUT.read_bytes(), type=list[SiteResult])


def current_commit() -> str:
    """Returns the commit that is checked out."""
    return subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()


def play(kit: pathlib.Path, site: str, jobs: str, why: str) -> str:
    """Plays the quick days of a deployment; returns the bench's output."""
    completed = subprocess.run(
        [
            str(kit / BENCH),
            "score",
            str(kit / site),
            "--quick",
            "--jobs",
            jobs,
            "--why",
            why,
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout + completed.stderr


class RegressionCommand(command.Command):
    """Plays the deployments that have no result on this commit yet."""

    name = "regression"
    description = "Plays the users' deployments and prints their scores."
    options = [
        option("kit", "k", "Folder of the users' pages.", False, False, False,
               DEFAULT_KIT),
        option("jobs", "j", "Days played at a time.", False, False, False, "2"),
    ]  # fmt: skip

    def handle(self) -> int:
        """Runs the command; returns 1 if a gate did not pass."""
        commit = current_commit()
        results = [
            result for result in load_results() if result.commit == commit
        ]
        played = {result.site for result in results}
        kit = pathlib.Path(self.option("kit"))
        for site in SITES:
            if site in played:
                continue
            why = f"regression run on {commit}"
            text = play(kit, site, self.option("jobs"), why)
            results.append(parse(site, commit, text))
            OUTPUT.parent.mkdir(exist_ok=True)
            OUTPUT.write_bytes(msgspec.json.encode(results))
        for result in results:
            days = " ".join(
                f"{name} {worth:.2f}" for name, worth in result.worth.items()
            )
            self.line(f"{result.site:45} {result.score} {result.gate} {days}")
        passed = all(result.gate == "GATE passed" for result in results)
        return 0 if passed else 1


def main() -> int:
    """Runs the command line."""
    app = application.Application("regression")
    app.add(RegressionCommand())
    return app.run()


if __name__ == "__main__":
    sys.exit(main())
