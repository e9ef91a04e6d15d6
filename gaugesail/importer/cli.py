"""Converts a balancer's configuration to the operator's file, from the command line."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from .apache import read_apache
from .jk import read_jk
from .model import ConfigLineError, render


def main(arguments: list[str]) -> int:
    """Write the operator's file to standard output, and warnings to standard error.

    :return: the exit status: 2 if the input cannot be read or converted; the error names file and line.
    """
    parser = argparse.ArgumentParser(prog="python -m gaugesail.importer", description=__doc__)
    parser.add_argument("file", help="an Apache configuration, or a workers.properties of mod_jk")
    parser.add_argument(
        "--format", choices=("apache", "jk"), help="default: jk for a file name in .properties, else apache"
    )
    parser.add_argument(
        "--host",
        action="append",
        default=[],
        metavar="NAME=ADDRESS",
        help="address of a name; DNS is not used",
    )
    args = parser.parse_args(arguments)
    read = (
        read_jk
        if (args.format or ("jk" if args.file.endswith(".properties") else "")) == "jk"
        else read_apache
    )
    hosts = dict(pair.split("=", 1) for pair in args.host if "=" in pair)
    try:
        config = read(args.file, Path(args.file).read_text())
        text = render(config, hosts)
    except ConfigLineError as error:
        print(f"error: {error}", file=sys.stderr)
        return 2
    except (OSError, UnicodeDecodeError) as error:
        print(f"error: {args.file}: {error}", file=sys.stderr)
        return 2
    for warning in config.warnings:
        print(f"warning: {warning}", file=sys.stderr)
    sys.stdout.write(text)
    return 0
