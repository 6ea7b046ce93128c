#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: they are Python and need the standard
# library only, so that compiling them shows that they can start.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
P
