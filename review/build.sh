#!/bin/sh
# The stand-ins of the cases are plain Python files beside them and need no build.
# This checks that the build of the deploy file has been made.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "review: run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m py_compile review/*/*.py && find review -name __pycache__ -type d -prune -exec rm -r {} +
