"""Converts a balancer's configuration to the operator's file."""

import sys

from .cli import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
