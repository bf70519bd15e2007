"""Runs the command line with an injected environment and outputs."""

from collections.abc import Mapping
from collections.abc import Sequence

from cleo.exceptions import CleoError
from cleo.io.inputs import argv_input
from cleo.io.outputs.output import Output

from dandelionpick import cli
from dandelionpick.status import ExitStatus


def main(
    args: Sequence[str],
    env: Mapping[str, str],
    output: Output | None = None,
    error_output: Output | None = None,
) -> ExitStatus:
    """Runs the command line.

    Args:
        args: the arguments, starting with the program name.
        env: the environment variables.
        output: receives the results; stdout by default.
        error_output: receives messages; stderr by default.

    Returns:
        The exit status.
    """
    app = cli.build_application(env)
    arg_input = argv_input.ArgvInput(list(args))
    try:
        exit_code = app.run(arg_input, output, error_output)
    except CleoError as error:
        app.render_error(error, app.create_io(arg_input, output, error_output))
        return ExitStatus.USAGE
    try:
        return ExitStatus(exit_code)
    except ValueError:
        return ExitStatus.FAILURE
