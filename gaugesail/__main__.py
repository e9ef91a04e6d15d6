"""Runs one head: by the platform's environment, or by the operator's file that is named."""

import sys

from .logs import make_logger
from .runner import run


def main() -> int:
    """Run one gateway; the exit code of the process."""
    from twisted.internet import reactor  # importing it installs it: only the main program does

    return run(reactor, make_logger(), sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
