#!/bin/sh
# Builds the stand-ins of the scripts: they are plain Python, so that this only
# checks that they compile. They need only the standard library.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile standins.py */case.py
