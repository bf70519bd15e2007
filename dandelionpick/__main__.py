"""Entry point of the program."""

import os
import sys

from dandelionpick import core


def main() -> None:
    """Runs the program and exits with its status."""
    sys.exit(core.main(sys.argv, os.environ))


if __name__ == "__main__":
    main()
