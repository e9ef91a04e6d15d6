#!/bin/sh
# Builds the stand-ins of the second review.  They are Python files that need no compiler and no package;
# this checks that the deploy file's build has left an interpreter that can read them.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in review/standins_2.py review/scsi_2.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    test -f "$file" || continue
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done
