#!/bin/sh
# The stand-ins are Python programs without libraries: there is nothing to build, so
# this checks that they compile.
set -e
cd "$(dirname "$0")"
for file in common/*.py [1-5]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
