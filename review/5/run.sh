#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule
# was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
PYTHONPATH="$root" PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
