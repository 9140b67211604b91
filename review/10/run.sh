#!/usr/bin/env bash
# Runs the case. Exit status: 1 the rule was broken, 0 it held, 2 not run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 -B case.py
