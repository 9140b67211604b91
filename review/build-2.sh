#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are Python programs that use
# the standard library only, so there is nothing to compile: this checks that
# they can be loaded.
set -u
cd "$(dirname "$0")" || exit 1
for file in lib-2/rig.py */case.py; do
  case $file in
  lib-2/* | 6/* | 7/* | 8/* | 9/* | 10/*)
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
      "$file" || exit 1
    ;;
  esac
done
echo "the stand-ins need no build"
