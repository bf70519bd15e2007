"""The program without one of its mechanisms, as `tests.mutants` names them.

Usage: python -m soak.mutant_program NAME ARGUMENTS
"""

import signal
import sys


def main() -> None:
    """Switches the mechanism off and runs the program."""
    # Imports and the patch take up to two seconds.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dandelionpick import __main__ as program
    from tests import mutants

    mutants.BY_NAME[sys.argv.pop(1)].patch()
    program.main()


if __name__ == "__main__":
    main()
