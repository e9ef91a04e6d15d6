"""Runs one head: by the platform's environment, or by the operator's file that is named."""

import gc
import sys

gc.disable()  # until the head is up: what is imported stays, and to look through it costs a tenth of a start

from .app import run  # noqa: E402
from .logs import make_logger  # noqa: E402


def main() -> int:
    from twisted.internet import reactor  # importing it installs it: only the main program does

    return run(reactor, make_logger(), sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
