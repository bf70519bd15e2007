"""The command that gathers what logs say about a job."""

import pathlib
import sys
from collections.abc import Iterator

import msgspec
from cleo.commands import command
from cleo.io.outputs import output

from dandelionpick import cli_options
from dandelionpick import log_search
from dandelionpick.status import ExitStatus

STDIN = "-"


class ExplainCommand(command.Command):
    """Shows what the logs of many instances say about a job, by time."""

    name = "explain"
    description = "Gathers what logs say about a job into one time line."
    arguments = [cli_options.JOB_ID, cli_options.LOG_FILES]
    options = [cli_options.JSON]

    def handle(self) -> int:
        """Reads the logs and prints the lines about the job."""
        job = self.argument("id")
        try:
            found = log_search.about(log_search.parse(self._read()), job)
        except OSError as error:
            return self._fail(
                f"{error.filename}: cannot be read ({error.strerror}); give"
                " readable log files"
            )
        except UnicodeDecodeError as error:
            return self._fail(f"the log is not UTF-8 text ({error.reason})")
        if not found:
            return self._fail(
                f"no line names job {job}; give the logs of all instances and"
                " the id at the end of the job's path"
            )
        for line in found:
            self._write(self._text_of(line))
        return ExitStatus.OK

    def _read(self) -> Iterator[str]:
        for name in self.argument("logs") or [STDIN]:
            if name == STDIN:
                yield from sys.stdin
            else:
                yield from pathlib.Path(name).read_text().splitlines()

    def _text_of(self, line: log_search.LogLine) -> str:
        if self.option("json"):
            return msgspec.json.encode(line).decode()
        fields = " ".join(
            f"{name}={value}" for name, value in line.fields.items()
        )
        text = f"{line.time} {line.instance} {line.part}: {line.message}"
        return f"{text} {fields}".rstrip()

    def _write(self, text: str) -> None:
        self.io.output.write_line(text, type=output.Type.RAW)

    def _fail(self, text: str) -> int:
        self.io.error_output.write_line(text, type=output.Type.RAW)
        return ExitStatus.FAILURE
