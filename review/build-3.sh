#!/bin/sh
# Builds the stand-ins of review/11 and later: plain Python of the standard
# library, so that compiling them is all there is to do.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.py 11/case.py 12/case.py 13/case.py 14/case.py 15/case.py; do
    python3 -B -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
