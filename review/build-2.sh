#!/bin/sh
# Builds the stand-ins of review/6 and later: plain Python, standard library
# only, so that compiling them is all there is to do.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins-2 >/dev/null
