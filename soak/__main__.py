"""The command line: `python -m soak soak --seed 7 --minutes 2`."""

import asyncio
import dataclasses
import functools
import json
import pathlib
import shutil
import sys

from cleo import application
from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option

from soak import mutants
from soak import plan
from soak import report
from soak import run
from soak import scenarios
from soak import shrinking

OUTPUT = pathlib.Path("build/soak")
MINUTE_S = 60.0

RUN_OPTIONS = [
    option("seed", "s", "Seed of the faults.", False, False, False, "1"),
    option("minutes", "m", "Length in minutes.", False, False, False, "1"),
    option("instances", "i", "Instances.", False, False, False, "3"),
    option("targets", "t", "Targets.", False, False, False, "6"),
    option("pace", "p", "Divides the pauses between series of faults.",
           False, False, False, "1"),
    option("folder", "f", "Folder of the output.", False, False, False,
           str(OUTPUT)),
]  # fmt: skip
MUTANT_OPTION = option(
    "mutant", None, "Mutant to play in place of the program.", False, False,
    False, "",
)  # fmt: skip


def build_options(
    asked: command.Command, seed: int, folder: pathlib.Path
) -> run.Options:
    """Returns what a command is asked to play, with the given seed."""
    return run.Options(
        seed=seed,
        duration_s=float(asked.option("minutes")) * MINUTE_S,
        instances=int(asked.option("instances")),
        targets=int(asked.option("targets")),
        pace=float(asked.option("pace")),
        folder=folder,
        progress=asked.line,
    )


def read_faults(path: pathlib.Path) -> tuple[plan.Fault, ...]:
    """Returns the faults that a run has written to its folder.

    Raises:
        OSError: the file can't be read.
        ValueError: the file has something else.
    """
    try:
        return tuple(map(plan.from_record, json.loads(path.read_text())))
    except (KeyError, TypeError) as error:
        raise ValueError(f"{path} has no list of faults") from error


def play_and_report(asked: command.Command, options: run.Options) -> int:
    """Plays a run and prints what was checked.

    Returns:
        The exit status; 1 if a promise was broken, in which case the output
        stays in the folder.

    Raises:
        RuntimeError: the processes did not start.
    """
    soak = run.Soak(options)
    ledger = asyncio.run(run.play_until_signal(soak))
    report.write(asked, soak.faults, ledger)
    if ledger.violations:
        asked.line_error(f"logs and faults: {options.folder}")
        return 1
    shutil.rmtree(options.folder)
    return 0


class Soak(command.Command):
    """Plays one seed and prints what was checked."""

    name = "soak"
    description = "Plays random faults against real processes on loopback."
    help = (
        "The same options give the same faults. The logs, the faults and the"
        " report of a run that breaks a promise stay in the folder.\n\n"
        "Example: <info>python -m soak soak --seed 7 --minutes 2</info>"
    )
    options = [
        *RUN_OPTIONS,
        MUTANT_OPTION,
        option("faults", None, "Plays the faults in this file in place of"
               " those of the seed.", False, False, False, ""),
    ]  # fmt: skip

    def handle(self) -> int:
        """Runs the command; returns 1 if a promise was broken."""
        seed = int(self.option("seed"))
        folder = pathlib.Path(self.option("folder")) / f"seed-{seed}"
        options = dataclasses.replace(
            build_options(self, seed, folder), mutant=self.option("mutant")
        )
        if self.option("faults"):
            faults = read_faults(pathlib.Path(self.option("faults")))
            options = dataclasses.replace(options, faults=faults)
        return play_and_report(self, options)


class Scenario(command.Command):
    """Plays scenarios, which are fixed series of faults."""

    name = "scenario"
    description = "Plays fixed series of faults."
    help = (
        "Scenarios: "
        + ", ".join(it.value for it in scenarios.Scenario)
        + ".\n\nExample: <info>python -m soak scenario hand-overs</info>"
    )
    arguments = [
        argument("names", "Scenarios; all if none is named.", True, True)
    ]
    options = [*RUN_OPTIONS, MUTANT_OPTION]

    def handle(self) -> int:
        """Runs the command; returns 1 if a promise was broken."""
        names = self.argument("names")
        chosen = map(scenarios.Scenario, names) if names else scenarios.Scenario
        status = 0
        for scenario in chosen:
            self.line(f"scenario {scenario.value}")
            folder = pathlib.Path(self.option("folder")) / scenario.value
            options = dataclasses.replace(
                build_options(self, int(self.option("seed")), folder),
                mutant=self.option("mutant"),
            )
            options = scenarios.apply(scenario, options)
            status |= play_and_report(self, options)
        return status


class Mutants(command.Command):
    """Plays mutants until a seed catches each."""

    name = "mutants"
    description = "Plays mutants of the program until a promise is broken."
    help = (
        "Each mutant lacks one mechanism. Exits with status 1 if one breaks no"
        " promise. Its output stays in the folder.\n\n"
        "Example: <info>python -m soak mutants ignore_fences --seed 200</info>"
    )
    arguments = [
        argument("names", "Mutants; all if none is named.", True, True)
    ]
    options = [
        *RUN_OPTIONS,
        option("seeds", None, "Most seeds to try.", False, False, False, "10"),
    ]

    def handle(self) -> int:
        """Runs the command; returns 1 if a mutant broke no promise."""
        first = int(self.option("seed"))
        seeds = range(first, first + int(self.option("seeds")))
        survived = 0
        for name in self.argument("names") or mutants.NAMES:
            verdict = mutants.play(
                name,
                seeds,
                functools.partial(build_options, self),
                pathlib.Path(self.option("folder")),
            )
            promises = "; ".join(it.value for it in verdict.promises)
            seen = "SURVIVED"
            if verdict.seed is not None:
                seen = f"caught by seed {verdict.seed}: {promises}"
            self.line(f"{name}: {seen}")
            survived += verdict.seed is None
        return 1 if survived else 0


class Shrink(command.Command):
    """Reduces the faults of a run that has broken a promise."""

    name = "shrink"
    description = "Finds a few faults that still break a promise."
    help = (
        "Plays the faults of a run again, with ever fewer of them, and writes"
        " the ones that are left to shrunk.json in the folder. The other"
        " options have to be those of the run.\n\n"
        "Example: <info>python -m soak shrink build/soak/seed-7/faults.json"
        " --seed 7 --minutes 2</info>"
    )
    arguments = [argument("faults", "The file that the run has left.")]
    options = [
        *RUN_OPTIONS,
        MUTANT_OPTION,
        option("plays", None, "Plays of the same faults, since what the"
               " processes make of them varies.", False, False, False, "2"),
    ]  # fmt: skip

    def handle(self) -> int:
        """Runs the command; returns 1 if the faults break nothing."""
        folder = pathlib.Path(self.option("folder"))
        options = dataclasses.replace(
            build_options(self, int(self.option("seed")), folder / "play"),
            mutant=self.option("mutant"),
            progress=lambda text: None,
        )
        faults = read_faults(pathlib.Path(self.argument("faults")))
        plays = int(self.option("plays"))
        broken = shrinking.play(options, faults, plays)
        if not broken:
            self.line_error(f"{len(faults)} faults break no promise")
            return 1
        self.line("broken: " + "; ".join(it.value for it in broken))
        kept = shrinking.shrink(
            faults,
            lambda some: bool(broken & shrinking.play(options, some, plays)),
            self.line,
        )
        records = [plan.to_record(fault) for fault in kept]
        for record in records:
            self.line(json.dumps(record))
        (folder / "shrunk.json").write_text(json.dumps(records, indent=1))
        return 0


def main() -> int:
    """Runs the command line."""
    app = application.Application("soak")
    app.add(Soak())
    app.add(Scenario())
    app.add(Mutants())
    app.add(Shrink())
    return app.run()


if __name__ == "__main__":
    sys.exit(main())
