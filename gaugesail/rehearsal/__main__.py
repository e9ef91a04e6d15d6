"""Plays scenario files against a daemon on loopback."""

import sys

from .worlds import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
