"""Entry point of the program."""

import os
import signal
import sys

SERVING_COMMANDS = ("run", "schedule")


def main() -> None:
    """Runs the program and exits with its status."""
    if sys.argv[1:] and sys.argv[1] in SERVING_COMMANDS:
        # Imports take up to a second. By default, a notice that the settings
        # have changed would end the process in that time.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dandelionpick import core

    sys.exit(core.main(sys.argv, os.environ))


if __name__ == "__main__":
    main()
