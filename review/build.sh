#!/bin/sh
# Builds the stand-ins of the cases.  They are one Python module on the standard library alone, run by the
# interpreter that the deploy file's build makes: here it is only checked that all of it compiles.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
