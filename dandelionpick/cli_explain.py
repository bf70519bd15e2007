"""The command that merges the log lines about a job."""

import msgspec
from cleo.commands import command
from cleo.io.outputs import output

from dandelionpick import cli_logs
from dandelionpick import cli_options
from dandelionpick import log_search
from dandelionpick.status import ExitStatus


class ExplainCommand(command.Command):
    """Shows the log lines of all instances about a job, sorted by time."""

    name = "explain"
    description = "Merges the log lines about a job into one timeline."
    arguments = [cli_options.JOB_ID, cli_options.LOG_FILES]
    options = [cli_options.JSON]

    def handle(self) -> int:
        """Reads the logs and prints the lines about the job."""
        job = self.argument("id")
        try:
            lines = log_search.lines_about_job(
                log_search.parse_lines(cli_logs.read(self.argument("logs"))),
                job,
            )
        except cli_logs.UnreadableError as error:
            return self._fail(str(error))
        if not lines:
            return self._fail(
                f"no line names job {job}; give the logs of all instances and"
                " the id at the end of the job's path"
            )
        for line in lines:
            self._write(self._format_line(line))
        return ExitStatus.OK

    def _format_line(self, line: log_search.LogLine) -> str:
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
