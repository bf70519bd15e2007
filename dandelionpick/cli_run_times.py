"""The command that tells how far off estimates of run times were."""

from cleo.commands import command
from cleo.io.outputs import output

from dandelionpick import cli_logs
from dandelionpick import cli_options
from dandelionpick import log_search
from dandelionpick import run_time_errors
from dandelionpick.status import ExitStatus


class RunTimesCommand(command.Command):
    """Prints the errors of estimates and of expected run times, by queue."""

    name = "run-times"
    description = "Compares estimated, expected and actual run times."
    arguments = [cli_options.LOG_FILES]

    def handle(self) -> int:
        """Reads the logs and prints the table."""
        try:
            rows = run_time_errors.errors_by_queue(
                log_search.parse_lines(cli_logs.read(self.argument("logs")))
            )
        except cli_logs.UnreadableError as error:
            return self._fail(str(error))
        if not rows:
            return self._fail(
                f'no line says "{run_time_errors.MESSAGE}"; give the logs of'
                " all instances, with [scheduling] learn_run_times switched on"
            )
        for text in run_time_errors.format_table(rows):
            self.io.output.write_line(text, type=output.Type.RAW)
        return ExitStatus.OK

    def _fail(self, text: str) -> int:
        self.io.error_output.write_line(text, type=output.Type.RAW)
        return ExitStatus.FAILURE
