"""The importer's command line."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from .apache import read_apache
from .jk import read_jk
from .model import BadLine, render


def main(arguments: list[str]) -> int:
    """Write the operator's file to standard output; 2 and file:line where a line is bad."""
    parser = argparse.ArgumentParser(prog="python -m gaugesail.importer", description=__doc__)
    parser.add_argument("file", help="an Apache configuration, or a workers.properties of mod_jk")
    parser.add_argument(
        "--format", choices=("apache", "jk"), help="by default told by the name: .properties is jk"
    )
    parser.add_argument("--host", action="append", default=[], metavar="NAME=ADDRESS", help="there is no DNS")
    given = parser.parse_args(arguments)
    read = (
        read_jk
        if (given.format or ("jk" if given.file.endswith(".properties") else "")) == "jk"
        else read_apache
    )
    hosts = dict(pair.split("=", 1) for pair in given.host if "=" in pair)
    try:
        found = read(given.file, Path(given.file).read_text())
        text = render(found, hosts)
    except BadLine as error:
        print(f"error: {error}", file=sys.stderr)
        return 2
    except (OSError, UnicodeDecodeError) as error:
        print(f"error: {given.file}: {error}", file=sys.stderr)
        return 2
    for warning in found.warnings:
        print(f"warning: {warning}", file=sys.stderr)
    sys.stdout.write(text)
    return 0
