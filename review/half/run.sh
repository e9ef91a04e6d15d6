#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; case.py writes record.txt anew.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "not run: no build of the deploy file" > record.txt; exit 2; }
exec ../../.venv/bin/python -B case.py
