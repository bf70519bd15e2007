"""Tests of the command that merges the log lines about a job."""

import json
import pathlib
import tempfile
import unittest

from cleo.io.outputs import buffered_output

from dandelionpick import core
from dandelionpick.status import ExitStatus

JOB = "f1e70623bcfcf75d"
OTHER = "aaaaaaaaaaaaaaaa"


def line(second: int, part: str, message: str, **fields) -> str:
    """Builds a log line."""
    values = {
        "time": f"2026-01-10T07:44:{second:02}.000+00:00",
        "level": "info",
        "instance": f"e{second % 2}",
        "part": part,
        "message": message,
        **fields,
    }
    return json.dumps(values)


LOG_A = (
    line(1, "scheduler", "became the scheduler in epoch 3"),
    line(3, "scheduler", "starting 1 of 1 tasks", job=JOB, targets=["t1"]),
    line(4, "targets", "t1 can't be listed: lost"),
    line(4, "targets", "t2 can't be listed: lost"),
    line(9, "scheduler", "job completed", job=JOB, seconds=7.0),
    line(9, "scheduler", "job completed", job=OTHER),
)
LOG_B = (
    "not a log line",
    "  2.1 e0 " + line(2, "intake", "Submit accepted", job=JOB),
    line(5, "scheduler", "replacing e1 in epoch 3 before its lease ends"),
    line(6, "scheduler", f"stopping 4 runs for {JOB} of rank 0.0"),
    "{broken",
)


class RunTimesTest(unittest.TestCase):
    """The command compares estimated, expected and actual run times."""

    def test_errors_are_printed_by_queue(self):
        """Guards against errors that leave out or distort some steps."""
        message = "run times of a step"
        rows = [
            line(1, "scheduler", message, queue="a", actual_s=8.0, **fields)
            for fields in (
                {"estimate_s": 1.0, "expected_s": 8.0},
                {"estimate_s": 64.0, "expected_s": 4.0},
                {"estimate_s": 0, "expected_s": 16.0},
                {"estimate_s": "?", "expected_s": None},
            )
        ]
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        (folder / "a.log").write_text("\n".join((*rows, *LOG_B)))
        for name, expected in (("a.log", ExitStatus.OK), ("b.log", 1)):
            out, err = (buffered_output.BufferedOutput() for _ in range(2))
            arguments = ["dandelionpick", "run-times", str(folder / name)]
            self.assertEqual(core.main(arguments, {}, out, err), expected)
            if expected is ExitStatus.OK:
                cells = out.fetch().splitlines()[1].split()
                self.assertEqual(
                    cells, ["a", "4", "3.00", "3.00", "1.00", "1.00"]
                )


class ExplainTest(unittest.TestCase):
    """The command builds one timeline of a job from many logs."""

    def setUp(self):
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.paths = [str(folder / "a.log"), str(folder / "b.log")]
        for path, lines in zip(self.paths, (LOG_A, LOG_B), strict=True):
            pathlib.Path(path).write_text("\n".join(lines))

    def run_command(self, *args: str) -> tuple[ExitStatus, str, str]:
        out, err = (buffered_output.BufferedOutput() for _ in range(2))
        status = core.main(["dandelionpick", "explain", *args], {}, out, err)
        return status, out.fetch(), err.fetch()

    def test_lines_of_all_instances_are_sorted_by_time(self):
        """Guards against missing a cause that another instance logged."""
        status, text, _ = self.run_command(JOB, *self.paths)
        self.assertEqual(status, ExitStatus.OK)
        messages = [row.split(": ", 1)[1] for row in text.splitlines()]
        self.assertEqual(
            messages,
            [
                "Submit accepted",
                "starting 1 of 1 tasks targets=['t1']",
                "t1 can't be listed: lost",
                "replacing e1 in epoch 3 before its lease ends",
                f"stopping 4 runs for {JOB} of rank 0.0",
                "job completed seconds=7.0",
            ],
        )

    def test_json_lines_can_be_read_by_programs(self):
        """Guards against JSON output that programs can't parse."""
        _, text, _ = self.run_command(JOB, *self.paths, "--json")
        rows = [json.loads(row) for row in text.splitlines()]
        self.assertEqual(rows[-1]["fields"], {"seconds": 7.0})

    def test_errors_name_the_remedy(self):
        """Guards against empty output for a wrong id or file."""
        status, _, error = self.run_command("0" * 16, *self.paths)
        self.assertEqual(status, ExitStatus.FAILURE)
        self.assertIn("give the logs of all instances", error)
        status, _, error = self.run_command(JOB, self.paths[0] + ".gone")
        self.assertEqual(status, ExitStatus.FAILURE)
        self.assertIn("give readable log files", error)


if __name__ == "__main__":
    unittest.main()
