#!/bin/sh
# Checks the stand-ins of the third review: Python without dependencies.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins-3/stand.py
for case in 11 12 13 14 15; do
    if [ -f "$case/case.py" ]; then
        python3 -m py_compile "$case/case.py"
    fi
done
