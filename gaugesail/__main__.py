"""Runs one head by its environment."""

import sys

from .app import run
from .logs import make_logger


def main() -> int:
    from twisted.internet import reactor  # importing it installs it: only the main program does

    return run(reactor, make_logger())


if __name__ == "__main__":
    sys.exit(main())
