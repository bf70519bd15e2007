"""The program behind the command line, with its surroundings injected."""

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
        args: the arguments, with the program's name first.
        env: the environment variables.
        output: where results go; stdout by default.
        error_output: where messages go; stderr by default.

    Returns:
        The exit status.
    """
    app = cli.build(env)
    given = argv_input.ArgvInput(list(args))
    try:
        code = app.run(given, output, error_output)
    except CleoError as error:
        app.render_error(error, app.create_io(given, output, error_output))
        return ExitStatus.USAGE
    try:
        return ExitStatus(code)
    except ValueError:
        return ExitStatus.FAILURE
