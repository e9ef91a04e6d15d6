"""Runs one gateway, configured by the platform's environment or by the operator's file in its arguments."""

import os
import sys

from .logs import make_logger
from .runner import run


def main() -> int:
    """Run one gateway and return the exit code of the process."""
    from twisted.internet import reactor  # only the main program imports it, as that installs the reactor

    return run(reactor, make_logger(), sys.argv[1:])


if __name__ == "__main__":
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    # The interpreter's teardown takes the longer, the more servers are listed; a SIGKILL may be near.
    os._exit(code)
