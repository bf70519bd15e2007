"""The program behind the command line, with its surroundings injected."""

from collections.abc import Mapping
from collections.abc import Sequence

from cleo.io.inputs import argv_input

from dandelionpick import cli
from dandelionpick.status import ExitStatus


def main(args: Sequence[str], env: Mapping[str, str]) -> ExitStatus:
    """Runs the command line.

    Args:
        args: the arguments, with the program's name first.
        env: the environment variables.

    Returns:
        The exit status.
    """
    code = cli.build(env).run(argv_input.ArgvInput(list(args)))
    try:
        return ExitStatus(code)
    except ValueError:
        return ExitStatus.FAILURE
