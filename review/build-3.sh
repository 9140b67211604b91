#!/usr/bin/env bash
# Prepares the scripts of the third review. Their stand-ins are Python programs
# that need nothing but the standard library, so that there is nothing to
# compile; python3 comes with meson, which the deploy file names. This checks
# that all is there: run it after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/dvdirect ]; then
  echo "target/dvdirect is missing: run the build of deploy/system.toml first"
  exit 1
fi
python3 - review/stand-ins-3/*.py review/1[1-5]/*.py <<'CHECK' || exit 1
import sys

if sys.version_info < (3, 8):
    sys.exit("python3 is older than 3.8")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
print("%d files of the stand-ins are ready" % (len(sys.argv) - 1))
CHECK
