#!/bin/sh
# The stand-ins are plain Python and need no build; check that they compile.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
'
