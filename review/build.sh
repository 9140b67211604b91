#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library. Python is there
# with meson, a package of the deploy file; this only checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - lib/*.py */case.py <<'END'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
print("%d stand-in files compile" % (len(sys.argv) - 1))
END
