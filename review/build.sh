#!/bin/sh
# Checks that the stand-ins can be run; they need no build and no network.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
