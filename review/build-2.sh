#!/bin/sh
# Builds the stand-ins that the scripts in review/4 to 6 start. They are Python and need nothing but the standard library, so
# there is nothing to make: this checks that each can be compiled, and that the build of the deploy file has run.
cd "$(dirname "$0")" || exit 1
python3 -B - stand_ins_2/*.py [456]/*.py <<'PYTHON' || exit 1
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
[ -d ../target/deps ] || { echo "the build of deploy/system.toml has not run" >&2; exit 1; }
